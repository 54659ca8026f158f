//! A backend server's stand-in as a process: `backend_server ADDR NODE TAKES_MS [METHOD/PATH]...`,
//! where each `METHOD/PATH` is a call that it makes through its node.

use bilberry_standin::Backend;
use bilberry_standin::BackendConfig;
use bilberry_standin::ChildCall;
use std::time::Duration;

#[actix_rt::main]
async fn main() {
    let mut args = std::env::args().skip(1);
    let addr = args
        .next()
        .and_then(|arg| arg.parse().ok())
        .expect("ADDR is IP:PORT");
    let node = args
        .next()
        .and_then(|arg| arg.parse().ok())
        .expect("NODE is IP:PORT");
    let takes = args
        .next()
        .and_then(|arg| arg.parse().ok())
        .expect("TAKES_MS is a number");
    let children = args.map(|arg| child(&arg)).collect();
    let work = BackendConfig {
        service_time: Duration::from_millis(takes),
        slots: 0,
        child_calls: children,
    };
    let backend = Backend::start(addr, work)
        .await
        .expect("the address is free");
    backend.node.set(Some(node));
    println!("listening {}", backend.addr);
    std::future::pending::<()>().await;
}

fn child(arg: &str) -> ChildCall {
    let (method, path) = arg.split_once('/').expect("a child is METHOD/PATH");
    ChildCall {
        method: method.parse().expect("a method"),
        path: format!("/{path}"),
    }
}
