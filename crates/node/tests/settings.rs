//! Settings files: defaults, and errors that end the process at once with a message.

use bilberry_node::Settings;
use std::process::Command;

const VALID_SETTINGS: &str = "\
[node]
service = press
failure_domain = milano-1
region = lombardia
http_addr = 127.0.0.1:8080
peer_addr = 127.0.0.1:8081
[backend_server]
addr = 127.0.0.1:9000
[store]
addr = 127.0.0.1:9100
";

/// Adds `line` to its section of valid settings, replacing an earlier line with the same key.
fn with_line(section: &str, line: &str) -> String {
    let key = line.split('=').next().unwrap();
    let kept = VALID_SETTINGS.lines().scan("", |current, old| {
        if old.starts_with('[') {
            *current = old;
        }
        Some((*current, old))
    });
    let kept = kept.filter(|(header, old)| *header != section || !old.starts_with(key));
    let mut text: String = kept.map(|(_, old)| format!("{old}\n")).collect();
    if !text.contains(section) {
        text.push_str(&format!("{section}\n"));
    }
    text.replace(section, &format!("{section}\n{line}"))
}

fn check(section: &str, line: &str, expected: &str) {
    let error = Settings::parse(&with_line(section, line)).unwrap_err();
    assert!(error.to_string().starts_with(expected), "{error}");
}

#[test]
fn valid_settings_have_defaults() {
    let settings = Settings::parse(VALID_SETTINGS).unwrap();
    assert_eq!(settings.store_stream, "bilberrycove");
    assert_eq!(settings.max_body, 1 << 20);
    let large = Settings::parse(&with_line("[node]", "max_body = 3145728")).unwrap();
    assert!(large.max_bodies >= large.max_body);
}

#[test]
fn invalid_values_are_rejected() {
    let node = "[node]";
    check(node, "service = a b", "[node] service = a b: takes 1 to 64");
    check(node, "service = -", "[node] service = -: takes");
    check(node, "region =", "[node] region = : takes");
    check(
        node,
        "http_addr = here",
        "[node] http_addr = here: takes IP:PORT",
    );
    check(
        node,
        "contacts = 1.2.3.4:5, x",
        "[node] contacts = 1.2.3.4:5, x: takes",
    );
    check(node, "max_body = 0", "[node] max_body = 0: takes");
    check(
        node,
        "max_body = 9999999",
        "[node] max_body = 9999999: takes",
    );
    check(node, "max_bodies = 10", "[node] max_bodies = 10: takes");
    check(node, "body_timeout = 5", "[node] body_timeout = 5: takes");
    check(
        node,
        "caller_header = a b",
        "[node] caller_header = a b: takes",
    );
    check("[retries]", "ratio = 2", "[retries] ratio = 2: takes");
    check("[retries]", "window_s = 0", "[retries] window_s = 0: takes");
    check("[retries]", "spare = some", "[retries] spare = some: takes");
    check(
        "[backend_server]",
        "addr = 127.0.0.1:0",
        "[backend_server] addr",
    );
    check(
        "[store]",
        "addr = 0.0.0.0:9",
        "[store] addr = 0.0.0.0:9: takes",
    );
    check("[store]", "stream = a b", "[store] stream = a b: takes");
    check(
        "[logging]",
        "level = loud",
        "[logging] level = loud: takes off",
    );
    check(
        "[metrics]",
        "addr = nowhere",
        "[metrics] addr = nowhere: takes",
    );
}

/// A node is configured to listen on 0.0.0.0 for its peers and advertises that address. The others
/// would connect to themselves, and the node would be listed but never receive a call.
#[test]
fn unreachable_address_is_rejected() {
    for addr in ["0.0.0.0:1", "[::]:1", "224.0.0.1:1", "255.255.255.255:1"] {
        check(
            "[node]",
            &format!("peer_addr = {addr}"),
            &format!("[node] peer_addr = {addr}"),
        );
    }
}

/// A node may listen on all addresses if it advertises a specific one.
#[test]
fn wildcard_address_requires_advertised_address() {
    let text = with_line("[node]", "advertised_addr = 10.0.0.1:7000");
    let text = text.replace("peer_addr = 127.0.0.1:8081", "peer_addr = 0.0.0.0:8081");
    let settings = Settings::parse(&text).unwrap();
    assert!(settings.peer_addr.ip().is_unspecified());
    for addr in ["0.0.0.0:1", "10.0.0.1:0"] {
        let line = format!("advertised_addr = {addr}");
        check("[node]", &line, &format!("[node] {line}: takes IP:PORT"));
    }
}

/// A key is misspelt or set twice. If that were ignored, the node would use a default or one of the
/// two values, and the operator would not know which.
#[test]
fn unknown_and_repeated_keys_are_rejected() {
    check("[node]", "contact = 1.2.3.4:5", "[node] contact: unknown");
    check("[nodes]", "service = x", "[nodes] service: unknown");
    let twice = VALID_SETTINGS.replace("region =", "region = a\nregion =");
    let error = Settings::parse(&twice).unwrap_err().to_string();
    assert_eq!(error, "[node] region: set twice");
}

#[test]
fn process_exits_with_code_2() {
    let file = std::env::temp_dir().join(format!("bad-{}.ini", uuid::Uuid::new_v4()));
    std::fs::write(&file, with_line("[node]", "peer_addr = 0.0.0.0:1")).unwrap();
    let node = Command::new(env!("CARGO_BIN_EXE_bilberry-node"))
        .arg(&file)
        .output()
        .unwrap();
    std::fs::remove_file(&file).unwrap();
    assert_eq!(node.status.code(), Some(2));
    let stderr = String::from_utf8(node.stderr).unwrap();
    assert!(
        stderr.contains("[node] peer_addr = 0.0.0.0:1: takes IP:PORT"),
        "{stderr}"
    );
}

/// Returns the contents of the first code block that starts with `fence`.
fn code_block(page: &'static str, fence: &str) -> &'static str {
    let start = page.find(fence).unwrap() + fence.len();
    let end = page[start..].find("```").unwrap();
    &page[start..start + end]
}

/// Operators copy the examples of the configuration page, so they must be valid.
#[test]
fn examples_of_configuration_page_are_valid() {
    const PAGE: &str = include_str!("../../../docs/CONFIGURATION.md");
    let settings = Settings::parse(code_block(PAGE, "```ini\n")).unwrap();
    assert_eq!(settings.contacts.len(), 2);
    let rules = PAGE.split("## Rules").nth(1).unwrap();
    let rules = rules::Rules::parse(code_block(rules, "```\n")).unwrap();
    assert_eq!(rules.operations.len(), 5);
}
