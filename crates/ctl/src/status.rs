//! `status`: what the nodes say of themselves, held against the store.

use crate::args::Status;
use crate::error::CommandError;
use crate::nodes;
use crate::nodes::Page;
use crate::stream::Stream;
use std::net::SocketAddr;

/// How many nodes are asked at a time.
const AT_ONCE: usize = 32;

/// Which counters are shown: everything that was refused, retried or left open.
const SHOWN: [&str; 4] = ["not_run.", "unknown.", "retry.", "redirect."];

/// Where a node is asked.
#[derive(Debug, Clone, Copy)]
enum Door {
    Http(SocketAddr),
    Peer(SocketAddr),
}

pub(crate) async fn status(args: Status) -> Result<(), CommandError> {
    let stream = match args.store {
        Some(store) => Some(Stream::open(store, &args.stream).await?),
        None => None,
    };
    let mut doors: Vec<Door> = args.node.iter().copied().map(Door::Http).collect();
    let state = stream.as_ref().map(|stream| &stream.state);
    if let Some(state) = state {
        println!(
            "store version={} next_offset={} instances={}",
            state.rules_version,
            state.next_offset,
            state.instances().count()
        );
        if doors.is_empty() {
            doors.extend(state.instances().map(|instance| Door::Peer(instance.addr)));
        }
    } else if doors.is_empty() {
        return Err(CommandError::NoAddress);
    }
    let next = state.map(|state| state.next_offset);
    let mut silent = 0;
    for chunk in doors.chunks(AT_ONCE) {
        let asked: Vec<_> = chunk
            .iter()
            .map(|door| (*door, actix_rt::spawn(ask(*door))))
            .collect();
        for (door, page) in asked {
            match page.await.ok().flatten() {
                Some(page) => print(door, &page, next),
                None => {
                    silent += 1;
                    println!("node={} no answer", addr(door));
                }
            }
        }
    }
    match silent {
        0 => Ok(()),
        silent => Err(CommandError::Silent(silent)),
    }
}

async fn ask(door: Door) -> Option<Page> {
    match door {
        Door::Http(addr) => nodes::ask_http(addr).await,
        Door::Peer(addr) => nodes::ask_peer(addr).await,
    }
}

fn addr(door: Door) -> SocketAddr {
    match door {
        Door::Http(addr) | Door::Peer(addr) => addr,
    }
}

fn print(door: Door, page: &Page, next: Option<u64>) {
    let value = |key: &str| page.get(key).map_or("?", String::as_str);
    let mut line = format!("node={}", addr(door));
    for key in ["service", "failure_domain", "incarnation"] {
        line.push_str(&format!(" {key}={}", value(key)));
    }
    line.push_str(&format!(" version={}", value("rules_version")));
    // Records that the store has and the node has not folded.
    let theirs = page.get("next_offset").and_then(|next| next.parse().ok());
    if let (Some(next), Some(theirs)) = (next, theirs) {
        line.push_str(&format!(" lag={}", next.saturating_sub(theirs)));
    }
    line.push_str(&format!(
        " listed={} runs={}",
        value("listed"),
        value("runs")
    ));
    for (key, count) in page {
        let name = key.strip_prefix("counter.").unwrap_or("");
        if SHOWN.iter().any(|prefix| name.starts_with(prefix)) {
            line.push_str(&format!(" {name}={count}"));
        }
    }
    println!("{line}");
}
