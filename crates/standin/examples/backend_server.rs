//! Runs the stand-in for a backend server as a process:
//! `backend_server ADDR NODE TAKES_MS [METHOD/PATH]...`.
//!
//! `TAKES_MS` is the service time, and each `METHOD/PATH` a call that the server makes through its
//! node for each request.

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
    let service_time_ms = args
        .next()
        .and_then(|arg| arg.parse().ok())
        .expect("TAKES_MS is a number");
    let child_calls = args.map(|arg| parse_child_call(&arg)).collect();
    let config = BackendConfig {
        service_time: Duration::from_millis(service_time_ms),
        slots: 0,
        child_calls,
    };
    let backend = Backend::start(addr, config)
        .await
        .expect("the address is free");
    backend.node.set(Some(node));
    println!("listening {}", backend.addr);
    std::future::pending::<()>().await;
}

fn parse_child_call(arg: &str) -> ChildCall {
    let (method, path) = arg.split_once('/').expect("a call is METHOD/PATH");
    ChildCall {
        method: method.parse().expect("METHOD is an HTTP method"),
        path: format!("/{path}"),
    }
}
