//! The `status` command: shows the status of nodes and how far they lag behind the store.

use crate::args::Status;
use crate::error::CommandError;
use crate::nodes;
use crate::nodes::StatusPage;
use crate::stream::Stream;
use std::net::SocketAddr;

/// How many nodes are queried at the same time.
const MAX_CONCURRENT_REQUESTS: usize = 32;

/// Prefixes of the counters that are shown: calls that were refused, retried, redirected or ended
/// with an unknown outcome.
const SHOWN_COUNTERS: [&str; 4] = ["not_run.", "unknown.", "retry.", "redirect."];

/// The address at which a node's status page is fetched.
#[derive(Debug, Clone, Copy)]
enum StatusEndpoint {
    /// The `http_addr` of a node.
    Http(SocketAddr),
    /// The address that a node announces to other nodes.
    Peer(SocketAddr),
}

/// Prints one line for the store and one for each node.
pub(crate) async fn status(args: Status) -> Result<(), CommandError> {
    let stream = match args.store {
        Some(store) => Some(Stream::open(store, &args.stream).await?),
        None => None,
    };
    let mut endpoints: Vec<StatusEndpoint> = args
        .node
        .iter()
        .copied()
        .map(StatusEndpoint::Http)
        .collect();
    let state = stream.as_ref().map(|stream| &stream.state);
    if let Some(state) = state {
        println!(
            "store version={} next_offset={} instances={}",
            state.rules_version,
            state.next_offset,
            state.instances().count()
        );
        if endpoints.is_empty() {
            endpoints.extend(
                state
                    .instances()
                    .map(|instance| StatusEndpoint::Peer(instance.addr)),
            );
        }
    } else if endpoints.is_empty() {
        return Err(CommandError::MissingAddress);
    }
    let store_offset = state.map(|state| state.next_offset);
    let mut unanswered = 0;
    for chunk in endpoints.chunks(MAX_CONCURRENT_REQUESTS) {
        let requests: Vec<_> = chunk
            .iter()
            .map(|endpoint| (*endpoint, actix_rt::spawn(fetch_page(*endpoint))))
            .collect();
        for (endpoint, page) in requests {
            match page.await.ok().flatten() {
                Some(page) => print_status(endpoint, &page, store_offset),
                None => {
                    unanswered += 1;
                    println!("node={} no answer", endpoint_addr(endpoint));
                }
            }
        }
    }
    match unanswered {
        0 => Ok(()),
        count => Err(CommandError::NoResponse(count)),
    }
}

async fn fetch_page(endpoint: StatusEndpoint) -> Option<StatusPage> {
    match endpoint {
        StatusEndpoint::Http(addr) => nodes::fetch_over_http(addr).await,
        StatusEndpoint::Peer(addr) => nodes::fetch_from_peer_addr(addr).await,
    }
}

fn endpoint_addr(endpoint: StatusEndpoint) -> SocketAddr {
    match endpoint {
        StatusEndpoint::Http(addr) | StatusEndpoint::Peer(addr) => addr,
    }
}

/// Prints one line for a node; `lag` only if the end of the store's stream is known.
fn print_status(endpoint: StatusEndpoint, page: &StatusPage, store_offset: Option<u64>) {
    let value = |key: &str| page.get(key).map_or("?", String::as_str);
    let mut line = format!("node={}", endpoint_addr(endpoint));
    for key in ["service", "failure_domain", "incarnation"] {
        line.push_str(&format!(" {key}={}", value(key)));
    }
    line.push_str(&format!(" version={}", value("rules_version")));
    // The number of records in the store that the node has not applied.
    let node_offset = page
        .get("next_offset")
        .and_then(|offset| offset.parse().ok());
    if let (Some(store_offset), Some(node_offset)) = (store_offset, node_offset) {
        line.push_str(&format!(
            " lag={}",
            store_offset.saturating_sub(node_offset)
        ));
    }
    line.push_str(&format!(
        " listed={} runs={}",
        value("listed"),
        value("runs")
    ));
    line.push_str(&format_server_report(page));
    for (key, count) in page {
        let name = key.strip_prefix("counter.").unwrap_or("");
        if SHOWN_COUNTERS.iter().any(|prefix| name.starts_with(prefix)) {
            line.push_str(&format!(" {name}={count}"));
        }
    }
    println!("{line}");
}

/// The rate limit in requests per second that the node's backend server has named, how long work
/// takes on its machine and the run time at the usual speed, and whether it leaves; empty if none of
/// these is the case.
fn format_server_report(page: &StatusPage) -> String {
    let gauge = |name: &str| -> u64 {
        let value = page.get(&format!("gauge.server.{name}"));
        value.and_then(|value| value.parse().ok()).unwrap_or(0)
    };
    let mut text = String::new();
    if gauge("rate_limited") > 0 {
        let millihertz = gauge("rate_limit_millihertz");
        text.push_str(&format!(
            " rate_limit={}.{:03}",
            millihertz / 1000,
            millihertz % 1000
        ));
    }
    if gauge("slowdown_percent") > 0 {
        for name in ["slowdown_percent", "mean_slowdown_percent", "run_time_us"] {
            text.push_str(&format!(" {name}={}", gauge(name)));
        }
    }
    if gauge("leaving") > 0 {
        text.push_str(" leaving=true");
    }
    text
}
