//! Runs the stand-in for the store as a process: `store ADDR`. Without `ADDR`, it listens on a free
//! loopback port.

use std::net::SocketAddr;

#[actix_rt::main]
async fn main() {
    let addr = std::env::args().nth(1).and_then(|addr| addr.parse().ok());
    let addr = addr.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let store = bilberry_standin::Store::start(addr)
        .await
        .expect("the address is free");
    println!("listening {}", store.addr);
    std::future::pending::<()>().await;
}
