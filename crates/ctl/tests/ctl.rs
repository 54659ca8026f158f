//! The operator's tool as a process, with the store's stand-in and nodes in the test's own process.

use node::Node;
use node::Settings;
use standin::Store;
use std::path::PathBuf;
use std::time::Duration;

const LOOPBACK: ([u8; 4], u16) = ([127, 0, 0, 1], 0);

const TOPIC: &str = "keyed.bilberrycove";

const RULES: &str = "\
operation press POST /slots class=booking deadline=2s # asked by Anna
keys press retention=1h # asked by the board
";

/// A rules file; removed when dropped.
struct File(PathBuf);

impl File {
    fn new(text: &str) -> Self {
        let path = std::env::temp_dir().join(format!("ctl-{}.rules", uuid::Uuid::new_v4()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Exit code, what was printed, what was complained of.
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

async fn publish(
    store: &Store,
    file: &File,
    operator: &str,
    more: &[&str],
) -> (i32, String, String) {
    let addr = store.addr.to_string();
    let mut args = vec!["publish", file.path(), "--store", &addr];
    args.extend(["--operator", operator]);
    args.extend(more);
    ctl(&args).await
}

/// Exit code and output, publications' ids left out.
async fn check(args: &[&str], code: i32, expected: &str) {
    let (got, out, err) = ctl(args).await;
    let said = out + &err;
    let lines = said.lines().map(|line| line.split(" publication=").next());
    let said: Vec<&str> = lines.map(Option::unwrap).collect();
    assert_eq!((got, &*said.join("\n")), (code, expected));
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
async fn a_file_is_checked_without_a_store() {
    let good = File::new(RULES);
    check(
        &["check", good.path()],
        0,
        "1 operations, 1 services with limits",
    )
    .await;
    let bad = File::new("operation press POST /slots class=gift # asked by Anna\nx\n");
    let expected = format!(
        "{0}:1:29: `class` takes lookup, order, booking, payment or print-job\n\
         {0}:2:2: missing comment that names the requester: end the line with `# asked by NAME`",
        bad.path()
    );
    check(&["check", bad.path()], 2, &expected).await;
    check(&["check", "/nowhere"], 2, "/nowhere cannot be read").await;
    check(&[], 2, "no command; see bilberryctl --help").await;
    assert_eq!(ctl(&["publish", good.path()]).await.0, 2);
    assert_eq!(ctl(&["--help"]).await.0, 0);
}

/// A file with faults must never reach the store, where every node would have to refuse it.
#[actix_rt::test]
async fn a_bad_file_is_not_published() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let (code, ..) = publish(&store, &File::new("operation"), "anna", &[]).await;
    assert_eq!((code, store.end_offset(TOPIC)), (2, 0));
    let long = "x".repeat(65);
    let (code, ..) = publish(&store, &File::new(RULES), &long, &[]).await;
    assert_eq!((code, store.end_offset(TOPIC)), (2, 0));
}

/// Two operators edit the same version and publish. Both must not believe that their rules are in
/// force; the second is told who came first.
#[actix_rt::test]
async fn of_two_operators_one_wins_and_the_other_is_told() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let file = File::new(RULES);
    assert_eq!(publish(&store, &file, "anna", &[]).await.0, 0);

    let expect = ["--expect", "1"];
    let race = [("ugo", &expect[..]), ("marco", &expect[..])];
    let [(ugo, _), (marco, _)] = race;
    let (first, second) = tokio::join!(
        publish(&store, &file, ugo, &expect),
        publish(&store, &file, marco, &expect)
    );
    let (won, lost, name) = match first.0 {
        0 => (first, second, ugo),
        _ => (second, first, marco),
    };
    assert_eq!((won.0, &*won.1), (0, "version 2 accepted\n"));
    let told =
        format!("rejected: published on top of version 1, but version 2 by {name} is in force\n");
    assert_eq!((lost.0, lost.2), (4, told));
    assert_eq!(store.end_offset(TOPIC), 2);

    let addr = store.addr.to_string();
    let (_, listed, _) = ctl(&["log", "--store", &addr]).await;
    let lines: Vec<&str> = listed.lines().collect();
    assert!(lines[0].starts_with("offset=0 version=1 operator=anna publication="));
    assert!(lines[1].starts_with(&format!("offset=1 version=2 operator={name} ")));
    let in_force = format!("in force: version=2 operator={name} publication=");
    assert!(lines[2].starts_with(&in_force) && lines[2].ends_with(" next_offset=2"));
}

/// The store takes the record, and its answer is lost. An operator who was told of a failure would
/// publish again, and be rejected by their own publication.
#[actix_rt::test]
async fn a_lost_answer_is_settled_by_reading() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    store.faults.drop_append_responses.set(1);
    let (code, out, _) = publish(&store, &File::new(RULES), "anna", &[]).await;
    assert_eq!((code, &*out), (0, "version 1 accepted\n"));
    assert_eq!(store.end_offset(TOPIC), 1);
}

/// The answer is lost and the store goes down, so that nobody can tell what became of the publication.
/// Told of a failure, the operator would believe the old rules to be in force.
#[actix_rt::test]
async fn an_open_outcome_is_told_as_open() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    store.faults.drop_append_responses.set(1);
    let file = File::new(RULES);
    let goes_down = async {
        while store.end_offset(TOPIC) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        store.faults.unavailable.set(true);
    };
    let ((code, _, err), ()) = tokio::join!(publish(&store, &file, "anna", &[]), goes_down);
    assert_eq!(code, 3);
    assert!(err.starts_with("outcome open: publication "), "{err}");
    store.faults.unavailable.set(false);
    let (_, out, _) = ctl(&["log", "--store", &store.addr.to_string()]).await;
    assert!(out.starts_with("offset=0 version=1 operator=anna"), "{out}");
}

#[actix_rt::test]
async fn a_store_that_is_down_is_told() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    store.faults.unavailable.set(true);
    let (code, _, err) = publish(&store, &File::new(RULES), "anna", &[]).await;
    assert_eq!((code, &*err), (3, "the store: status 503\n"));
    let addr = store.addr.to_string();
    assert_eq!(ctl(&["log", "--store", &addr]).await.0, 3);
    assert_eq!(ctl(&["status", "--store", &addr]).await.0, 3);
}

/// The store takes the record only after the operator's tool has asked again. Were both taken, the
/// operator's own second try would be on top of their first, and versions would skip one.
#[actix_rt::test]
async fn a_publication_that_is_taken_late_counts_once() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    store.faults.delayed_appends.set(1);
    store.faults.append_delay.set(Duration::from_millis(2200));
    let (code, out, _) = publish(&store, &File::new(RULES), "anna", &[]).await;
    assert_eq!((code, &*out), (0, "version 1 accepted\n"));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(store.end_offset(TOPIC), 1);
}

/// The whole fleet was off for longer than the store keeps records. The rules are still there, and
/// the next publication follows them.
#[actix_rt::test]
async fn rules_outlive_their_records() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let file = File::new(RULES);
    assert_eq!(publish(&store, &file, "anna", &[]).await.0, 0);
    store.expire_records();
    let (code, out, _) = publish(&store, &file, "ugo", &["--expect", "1"]).await;
    assert_eq!((code, &*out), (0, "version 2 accepted\n"));
    store.expire_records();

    let node = start_node(&store).await;
    until(&node, "rules_version 2").await;
    let addr = store.addr.to_string();
    let (_, listed, _) = ctl(&["log", "--store", &addr]).await;
    assert!(
        listed.contains("in force: version=2 operator=ugo"),
        "{listed}"
    );
}

/// Asks until the status page has the line.
async fn until(node: &Node, line: &str) {
    let url = format!("http://{}/-/status", node.http_addr);
    loop {
        let mut response = awc::Client::default().get(&url).send().await.unwrap();
        let page = response.body().await.unwrap();
        let page = String::from_utf8_lossy(&page).into_owned();
        if page.lines().any(|found| found == line) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[actix_rt::test]
async fn status_finds_the_nodes_in_the_store() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let node = start_node(&store).await;
    publish(&store, &File::new(RULES), "anna", &[]).await;
    until(&node, "rules_version 1").await;
    until(&node, "listed true").await;
    let refused = format!("http://{}/nobody/x", node.http_addr);
    awc::Client::default().get(refused).send().await.unwrap();

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
    check(&["status"], 2, "neither --store nor --node is given").await;
}

#[actix_rt::test]
async fn explain_reads_a_file_or_what_is_in_force() {
    let store = Store::start(LOOPBACK.into()).await.unwrap();
    let file = File::new(RULES);
    publish(&store, &file, "anna", &[]).await;
    let expected = "\
line 1: operation press POST /slots class=booking deadline=2s retries=0, asked by Anna
default: concurrency=2..400
default: queue=100ms
line 2: retention=1h, asked by the board
default: percent=20";
    check(
        &["explain", file.path(), "POST", "/press/slots"],
        0,
        expected,
    )
    .await;
    let addr = store.addr.to_string();
    let in_force = format!("version 1\n{expected}");
    check(
        &["explain", "--store", &addr, "POST", "/press/slots"],
        0,
        &in_force,
    )
    .await;
    let none = "no operation matches: refused as no-such-operation";
    check(&["explain", file.path(), "GET", "/press/slots"], 0, none).await;
    assert_eq!(ctl(&["explain", "GET", "/press/slots"]).await.0, 2);
}

#[actix_rt::test]
async fn a_key_comes_with_the_digest_that_the_rules_take() {
    let (code, out, _) = ctl(&["key"]).await;
    let (key, digest) = out.trim().split_once('\n').unwrap();
    assert_eq!((code, digest), (0, &*rules::KeyDigest::of(key).to_string()));
    let file = File::new(&format!(
        "{RULES}organisation anna keys={digest} # asked by Anna\n"
    ));
    assert_eq!(ctl(&["check", file.path()]).await.0, 0);
    assert_ne!(ctl(&["key"]).await.1, out);
}
