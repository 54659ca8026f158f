//! Tests that run `bilberryctl` as a process. The store is a stand-in; it and the nodes run in the
//! test's own process.

use node::Node;
use node::Settings;
use standin::Store;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

const TOPIC: &str = "keyed.bilberrycove";

const RULES: &str = "\
operation press POST /slots class=booking deadline=2s # asked by Anna
keys press retention=1h # asked by the board
";

/// A temporary rules file; removed when dropped.
struct RulesFile(PathBuf);

impl RulesFile {
    fn new(text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ctl-{}.rules", uuid::Uuid::new_v4()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for RulesFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Runs `bilberryctl`. Returns its exit code, standard output and standard error.
async fn ctl(args: &[&str]) -> (i32, String, String) {
    let output = tokio::process::Command::new(env!("CARGO_BIN_EXE_bilberryctl"))
        .args(args)
        .output()
        .await
        .unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Publishes a file with additional arguments.
async fn publish(
    store: &Store,
    file: &RulesFile,
    operator: &str,
    extra_args: &[&str],
) -> (i32, String, String) {
    let addr = store.addr.to_string();
    let mut args = vec!["publish", file.path(), "--store", &addr];
    args.extend(["--operator", operator]);
    args.extend(extra_args);
    ctl(&args).await
}

/// Checks the exit code and the output, without the ids of publications.
async fn assert_output(args: &[&str], expected_code: i32, expected: &str) {
    let (code, out, err) = ctl(args).await;
    let output = out + &err;
    let lines = output
        .lines()
        .map(|line| line.split(" publication=").next());
    let lines: Vec<&str> = lines.map(Option::unwrap).collect();
    assert_eq!((code, &*lines.join("\n")), (expected_code, expected));
}

async fn start_node(store: &Store) -> Node {
    let text = format!(
        "[node]\nservice = press\nfailure_domain = milano-1\nregion = lombardia\n\
         http_addr = 127.0.0.1:0\npeer_addr = 127.0.0.1:0\n\
         [backend_server]\naddr = 127.0.0.1:1\n[store]\naddr = {}\n",
        store.addr
    );
    node::start(Settings::parse(&text).unwrap()).await.unwrap()
}

#[actix_rt::test]
async fn check_needs_no_store() {
    let good = RulesFile::new(RULES);
    assert_output(
        &["check", good.path()],
        0,
        "1 operations, 1 services with limits",
    )
    .await;
    let bad = RulesFile::new("operation press POST /slots class=gift # asked by Anna\nx\n");
    let expected = format!(
        "{0}:1:29: `class` takes lookup, order, booking, payment or print-job\n\
         {0}:2:2: missing comment that names the requester: end the line with `# asked by NAME`",
        bad.path()
    );
    assert_output(&["check", bad.path()], 2, &expected).await;
    assert_output(&["check", "/nowhere"], 2, "/nowhere cannot be read").await;
    assert_output(&[], 2, "no command; see bilberryctl --help").await;
    assert_eq!(ctl(&["publish", good.path()]).await.0, 2);
    assert_eq!(ctl(&["--help"]).await.0, 0);
}

/// Invalid rules must not reach the store, where every node would have to refuse them. An operator
/// name that is too long is not sent either.
#[actix_rt::test]
async fn invalid_publication_is_not_sent() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (code, ..) = publish(&store, &RulesFile::new("operation"), "anna", &[]).await;
    assert_eq!((code, store.end_offset(TOPIC)), (2, 0));
    let long_name = "x".repeat(65);
    let (code, ..) = publish(&store, &RulesFile::new(RULES), &long_name, &[]).await;
    assert_eq!((code, store.end_offset(TOPIC)), (2, 0));
}

/// Two operators publish on top of the same version. Both must not believe that their rules are in
/// force: one publication is rejected, with the name of the other operator.
#[actix_rt::test]
async fn concurrent_publications_have_one_winner() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let file = RulesFile::new(RULES);
    assert_eq!(publish(&store, &file, "anna", &[]).await.0, 0);

    let expect = ["--expect", "1"];
    let publishers = [("ugo", &expect[..]), ("marco", &expect[..])];
    let [(ugo, _), (marco, _)] = publishers;
    let (first, second) = tokio::join!(
        publish(&store, &file, ugo, &expect),
        publish(&store, &file, marco, &expect)
    );
    let (accepted, rejected, winner) = match first.0 {
        0 => (first, second, ugo),
        _ => (second, first, marco),
    };
    assert_eq!((accepted.0, &*accepted.1), (0, "version 2 accepted\n"));
    let error =
        format!("rejected: published on top of version 1, but version 2 by {winner} is in force\n");
    assert_eq!((rejected.0, rejected.2), (4, error));
    assert_eq!(store.end_offset(TOPIC), 2);

    let addr = store.addr.to_string();
    let (_, listed, _) = ctl(&["log", "--store", &addr]).await;
    let lines: Vec<&str> = listed.lines().collect();
    assert!(lines[0].starts_with("offset=0 version=1 operator=anna publication="));
    assert!(lines[1].starts_with(&format!("offset=1 version=2 operator={winner} ")));
    let in_force = format!("in force: version=2 operator={winner} publication=");
    assert!(lines[2].starts_with(&in_force) && lines[2].ends_with(" next_offset=2"));
}

/// The store appends the record, but its answer is lost. If this were reported as a failure, the
/// operator would publish again and be rejected because of their own publication.
#[actix_rt::test]
async fn lost_answer_is_resolved_by_reading_the_stream() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    store.faults.drop_append_responses.set(1);
    let (code, out, _) = publish(&store, &RulesFile::new(RULES), "anna", &[]).await;
    assert_eq!((code, &*out), (0, "version 1 accepted\n"));
    assert_eq!(store.end_offset(TOPIC), 1);
}

/// The answer is lost and the store becomes unavailable, so the outcome cannot be determined. If
/// this were reported as a failure, the operator would believe that the old rules are in force.
#[actix_rt::test]
async fn unknown_outcome_is_reported() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    store.faults.drop_append_responses.set(1);
    let file = RulesFile::new(RULES);
    let becomes_unavailable = async {
        while store.end_offset(TOPIC) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        store.faults.unavailable.set(true);
    };
    let ((code, _, err), ()) =
        tokio::join!(publish(&store, &file, "anna", &[]), becomes_unavailable);
    assert_eq!(code, 3);
    assert!(err.starts_with("outcome unknown: publication "), "{err}");
    store.faults.unavailable.set(false);
    let (_, out, _) = ctl(&["log", "--store", &store.addr.to_string()]).await;
    assert!(out.starts_with("offset=0 version=1 operator=anna"), "{out}");
}

#[actix_rt::test]
async fn unavailable_store_is_reported() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    store.faults.unavailable.set(true);
    let (code, _, err) = publish(&store, &RulesFile::new(RULES), "anna", &[]).await;
    assert_eq!((code, &*err), (3, "store request failed: status 503\n"));
    let addr = store.addr.to_string();
    assert_eq!(ctl(&["log", "--store", &addr]).await.0, 3);
    assert_eq!(ctl(&["status", "--store", &addr]).await.0, 3);
}

/// The store appends the record only after the tool has sent it again. If both appends took effect,
/// the stream would contain the publication twice, and a version would be skipped.
#[actix_rt::test]
async fn delayed_append_takes_effect_once() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    store.faults.delayed_appends.set(1);
    store.faults.append_delay.set(Duration::from_millis(2200));
    let (code, out, _) = publish(&store, &RulesFile::new(RULES), "anna", &[]).await;
    assert_eq!((code, &*out), (0, "version 1 accepted\n"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(store.end_offset(TOPIC), 1);
}

/// All nodes were stopped for longer than the store retains records. The newest record of each key
/// still holds the rules, and the next publication follows them.
#[actix_rt::test]
async fn rules_survive_the_expiry_of_their_records() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let file = RulesFile::new(RULES);
    assert_eq!(publish(&store, &file, "anna", &[]).await.0, 0);
    store.expire_records();
    let (code, out, _) = publish(&store, &file, "ugo", &["--expect", "1"]).await;
    assert_eq!((code, &*out), (0, "version 2 accepted\n"));
    store.expire_records();

    let node = start_node(&store).await;
    wait_for_status_line(&node, "rules_version 2").await;
    let addr = store.addr.to_string();
    let (_, listed, _) = ctl(&["log", "--store", &addr]).await;
    assert!(
        listed.contains("in force: version=2 operator=ugo"),
        "{listed}"
    );
}

/// Polls the status page of a node until it contains the line.
async fn wait_for_status_line(node: &Node, line: &str) {
    let url = format!("http://{}/-/status", node.http_addr);
    loop {
        let mut response = awc::Client::default().get(&url).send().await.unwrap();
        let page = response.body().await.unwrap();
        let page = String::from_utf8_lossy(&page).into_owned();
        if page.lines().any(|candidate| candidate == line) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn status_lists_the_nodes_in_the_store() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let node = start_node(&store).await;
    publish(&store, &RulesFile::new(RULES), "anna", &[]).await;
    wait_for_status_line(&node, "rules_version 1").await;
    wait_for_status_line(&node, "listed true").await;
    let unknown_service = format!("http://{}/nobody/x", node.http_addr);
    awc::Client::default()
        .get(unknown_service)
        .send()
        .await
        .unwrap();

    let addr = store.addr.to_string();
    let (code, out, _) = ctl(&["status", "--store", &addr]).await;
    let lines: Vec<&str> = out.lines().collect();
    assert_eq!(
        (code, lines[0]),
        (0, "store version=1 next_offset=2 instances=1")
    );
    let start = format!(
        "node={} service=press failure_domain=milano-1",
        node.peer_addr
    );
    assert!(lines[1].starts_with(&start), "{out}");
    let end = "version=1 lag=0 listed=true runs=0 not_run.no-such-operation=1";
    assert!(lines[1].ends_with(end), "{out}");

    let http = node.http_addr.to_string();
    let (code, out, _) = ctl(&["status", "--node", &http, "--node", "127.0.0.1:1"]).await;
    assert_eq!(code, 1);
    assert!(out.contains("version=1 listed=true"), "{out}");
    assert!(out.ends_with("node=127.0.0.1:1 no answer\n"), "{out}");
    assert_output(&["status"], 2, "neither --store nor --node is given").await;
}

#[actix_rt::test]
async fn explain_uses_a_file_or_the_rules_in_force() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let file = RulesFile::new(RULES);
    publish(&store, &file, "anna", &[]).await;
    let expected = "\
line 1: operation press POST /slots class=booking deadline=2s retries=0, asked by Anna
default: concurrency=2..400
default: queue=100ms
line 2: retention=1h, asked by the board
default: percent=20";
    assert_output(
        &["explain", file.path(), "POST", "/press/slots"],
        0,
        expected,
    )
    .await;
    let addr = store.addr.to_string();
    let in_force = format!("version 1\n{expected}");
    assert_output(
        &["explain", "--store", &addr, "POST", "/press/slots"],
        0,
        &in_force,
    )
    .await;
    let no_match = "no operation matches: refused as no-such-operation";
    assert_output(
        &["explain", file.path(), "GET", "/press/slots"],
        0,
        no_match,
    )
    .await;
    assert_eq!(ctl(&["explain", "GET", "/press/slots"]).await.0, 2);
}

#[actix_rt::test]
async fn generated_key_has_the_digest_used_in_rules() {
    let (code, out, _) = ctl(&["key"]).await;
    let (key, digest) = out.trim().split_once('\n').unwrap();
    assert_eq!((code, digest), (0, &*rules::KeyDigest::of(key).to_string()));
    let file = RulesFile::new(&format!(
        "{RULES}organisation anna keys={digest} # asked by Anna\n"
    ));
    assert_eq!(ctl(&["check", file.path()]).await.0, 0);
    assert_ne!(ctl(&["key"]).await.1, out);
}

/// Starts a server that answers each request with this status page.
async fn start_status_server(page: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut buf = [0; 1024];
            assert!(stream.read(&mut buf).await.unwrap() > 0);
            let response = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{page}",
                page.len()
            );
            stream.write_all(response.as_bytes()).await.unwrap();
        }
    });
    addr
}

/// Guards against a status line that hides that an instance is slow.
#[actix_rt::test]
async fn status_shows_the_speed_of_servers() {
    let page = "service press\ngauge.server.slowdown_percent 250\n\
                gauge.server.mean_slowdown_percent 122\ngauge.server.run_time_us 50000\n";
    let addr = start_status_server(page).await.to_string();
    let (code, out, err) = ctl(&["status", "--node", &addr]).await;
    assert_eq!(code, 0, "{err}");
    let expected = " slowdown_percent=250 mean_slowdown_percent=122 run_time_us=50000";
    assert!(out.contains(expected), "{out}");
    let addr = start_status_server("service press\n").await.to_string();
    let (_, out, _) = ctl(&["status", "--node", &addr]).await;
    assert!(!out.contains("slowdown_percent"), "{out}");
}

/// Guards against a status line that hides why an instance gets fewer requests than others.
#[actix_rt::test]
async fn status_shows_limits_and_departures_of_servers() {
    let page = "service press\ngauge.server.rate_limited 1\n\
                gauge.server.rate_limit_millihertz 10900\ngauge.server.leaving 1\n";
    let addr = start_status_server(page).await.to_string();
    let (code, out, err) = ctl(&["status", "--node", &addr]).await;
    assert_eq!(code, 0, "{err}");
    assert!(out.contains(" rate_limit=10.900 leaving=true"), "{out}");
    let addr = start_status_server("service press\n").await.to_string();
    let (_, out, _) = ctl(&["status", "--node", &addr]).await;
    assert!(
        !out.contains("rate_limit") && !out.contains("leaving"),
        "{out}"
    );
}
