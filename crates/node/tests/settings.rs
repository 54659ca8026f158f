//! Settings files: defaults, and the errors by which invalid settings are rejected.

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

/// Checks that valid settings with `line` in place of the same key are rejected, with an error that
/// starts with `expected`.
fn assert_rejected(section: &str, line: &str, expected: &str) {
    let error = Settings::parse(&with_line(section, line)).unwrap_err();
    assert!(error.to_string().starts_with(expected), "{error}");
}

#[test]
fn valid_settings_have_defaults() {
    let settings = Settings::parse(VALID_SETTINGS).unwrap();
    assert_eq!(settings.store_stream, "bilberrycove");
    assert_eq!(settings.max_body, 1 << 20);
    // The default of `max_bodies`, the limit for all bodies together, leaves room for a body of the
    // largest size.
    let large = Settings::parse(&with_line("[node]", "max_body = 3145728")).unwrap();
    assert!(large.max_bodies >= large.max_body);
}

#[test]
fn invalid_values_are_rejected() {
    let node = "[node]";
    assert_rejected(node, "service = a b", "[node] service = a b: takes 1 to 64");
    assert_rejected(node, "service = -", "[node] service = -: takes");
    assert_rejected(node, "region =", "[node] region = : takes");
    assert_rejected(
        node,
        "http_addr = here",
        "[node] http_addr = here: takes IP:PORT",
    );
    assert_rejected(
        node,
        "contacts = 1.2.3.4:5, x",
        "[node] contacts = 1.2.3.4:5, x: takes",
    );
    assert_rejected(node, "max_body = 0", "[node] max_body = 0: takes");
    assert_rejected(
        node,
        "max_body = 9999999",
        "[node] max_body = 9999999: takes",
    );
    assert_rejected(node, "max_bodies = 10", "[node] max_bodies = 10: takes");
    assert_rejected(node, "max_held = 10", "[node] max_held = 10: takes");
    assert_rejected(
        node,
        "max_connections = 0",
        "[node] max_connections = 0: takes",
    );
    assert_rejected(
        node,
        "max_descriptors = 10",
        "[node] max_descriptors = 10: takes",
    );
    // A duration without a unit.
    assert_rejected(node, "body_timeout = 5", "[node] body_timeout = 5: takes");
    assert_rejected(
        node,
        "caller_header = a b",
        "[node] caller_header = a b: takes",
    );
    assert_rejected("[retries]", "ratio = 2", "[retries] ratio = 2: takes");
    assert_rejected("[retries]", "window_s = 0", "[retries] window_s = 0: takes");
    assert_rejected("[retries]", "spare = some", "[retries] spare = some: takes");
    assert_rejected(
        "[backend_server]",
        "addr = 127.0.0.1:0",
        "[backend_server] addr",
    );
    assert_rejected(
        "[store]",
        "addr = 0.0.0.0:9",
        "[store] addr = 0.0.0.0:9: takes",
    );
    assert_rejected("[store]", "stream = a b", "[store] stream = a b: takes");
    assert_rejected(
        "[logging]",
        "level = loud",
        "[logging] level = loud: takes off",
    );
    assert_rejected(
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
        assert_rejected(
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
        assert_rejected("[node]", &line, &format!("[node] {line}: takes IP:PORT"));
    }
}

/// A key is misspelt or set twice. If that were ignored, the node would use a default or one of the
/// two values, and the operator would not know which.
#[test]
fn unknown_and_repeated_keys_are_rejected() {
    assert_rejected("[node]", "contact = 1.2.3.4:5", "[node] contact: unknown");
    assert_rejected("[nodes]", "service = x", "[nodes] service: unknown");
    let twice = VALID_SETTINGS.replace("region =", "region = a\nregion =");
    let error = Settings::parse(&twice).unwrap_err().to_string();
    assert_eq!(error, "[node] region: set twice");
}

#[test]
fn process_with_invalid_settings_exits_with_code_2() {
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

/// Returns the contents of the first code block of a page that starts with `fence`.
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
    let rules_section = PAGE.split("## Rules").nth(1).unwrap();
    let example = rules::Rules::parse(code_block(rules_section, "```\n")).unwrap();
    assert_eq!(example.operations.len(), 5);
}
