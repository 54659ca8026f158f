//! Rules files with faults, and what is said of them.

use bilberry_rules::KeyDigest;
use bilberry_rules::Rules;
use bilberry_rules::MAX_FILE_BYTES;
use bilberry_rules::MAX_RULES;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const GOOD: &str = "operation press POST /slots class=booking deadline=2s # asked by Anna\n";

/// Parses a file that ends in `last`; gives the faults as the operator reads them.
fn check(before: &str, last: &str, expected: &[&str]) {
    let faults = match Rules::parse(&format!("{before}{last}")) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(|e| e.to_string()).collect(),
    };
    assert_eq!(faults, expected, "{last}");
}

#[test]
fn each_fault_has_its_place() {
    check("", GOOD, &[]);
    check("", "", &["1:1: the file holds no rule"]);
    check("", "# only a comment\n\n", &["1:1: the file holds no rule"]);
    let nobody = "no comment says who asked for it: end the line with `# asked by NAME`";
    check(GOOD, "limit press queue=1s", &[&format!("2:21: {nobody}")]);
    check(
        GOOD,
        "limit press queue=1s # Anna",
        &[&format!("2:22: {nobody}")],
    );
    check(
        GOOD,
        "limit press queue=1s # asked by  ",
        &[&format!("2:22: {nobody}")],
    );
    check(
        GOOD,
        "  deny press # asked by Ugo",
        &["2:3: `deny` is no kind of rule: use operation, limit, keys, resends or organisation"],
    );
    check(
        GOOD,
        "limit press # asked by Ugo",
        &["2:13: concurrency or queue is missing"],
    );
    check(
        "",
        "operation press GET /x class=lookup deadline=2s priority=10 # asked by Ugo",
        &["1:49: `priority` takes a whole number from 0, the most urgent, to 9"],
    );
    check(
        GOOD,
        "limit # asked by Ugo",
        &["2:7: the service is missing"],
    );
    check(
        GOOD,
        "keys press # asked by Ugo",
        &["2:12: retention is missing"],
    );
    check(
        GOOD,
        "limit press queue=1s queue=2s # asked by Ugo",
        &["2:22: `queue` stands twice"],
    );
    check(
        GOOD,
        "keys press retention=1h percent=3 # asked by Ugo",
        &["2:25: `percent` is no option of this rule"],
    );
    check(
        GOOD,
        "limit preß queue=1s # asked by Ugo",
        &["2:7: `service` takes 1 to 64 letters, digits, `-`, `_` or `.`"],
    );
    check(
        GOOD,
        "limit press concurrency=9..3 # asked by Ugo\nresends press percent=x # asked by Ugo",
        &[
            "2:13: `concurrency` takes MIN..MAX, each from 1 to 10000",
            "3:15: `percent` takes a whole number from 0 to 1000",
        ],
    );
}

#[test]
fn operations_are_checked() {
    let rest = "class=order deadline=1s # asked by Ugo";
    let path =
        "`path` takes a path that starts with `/`, without a query, with `*` only at its end";
    check(
        "",
        &format!("operation a GET x {rest}"),
        &[&format!("1:17: {path}")],
    );
    check(
        "",
        &format!("operation a GET /*/x {rest}"),
        &[&format!("1:17: {path}")],
    );
    check(
        "",
        &format!("operation a GET /x?y {rest}"),
        &[&format!("1:17: {path}")],
    );
    check(
        "",
        &format!("operation a get /x {rest}"),
        &["1:13: `method` takes a method in capitals, or `*` for any"],
    );
    check(
        "",
        "operation a GET /x class=order # asked by Ugo",
        &["1:32: deadline is missing"],
    );
    check(
        "",
        "operation a GET /x class=order deadline=1s idempotent=no # asked by Ugo",
        &["1:44: `idempotent` takes no value"],
    );
    // Retries are spent only on what certainly did not run, so they do not need idempotence.
    check("", &format!("operation a POST /x retries=2 {rest}"), &[]);
}

/// An operator adds a rule below one that already matches everything. It would never be used, and
/// nobody would notice until a payment is treated as a lookup.
#[test]
fn a_hidden_rule_is_refused() {
    let hidden = "operation press POST /slots class=payment deadline=1s # asked by Ugo";
    check(GOOD, hidden, &["2:1: already set on line 1"]);
    for pattern in ["* /slots", "POST /sl*", "* /*"] {
        let first = format!("operation press {pattern} class=lookup deadline=1s # asked by Ugo\n");
        check(&first, hidden, &["2:1: never used: line 1 matches first"]);
    }
    check(
        GOOD,
        "operation press * /* class=lookup deadline=1s # asked by Ugo",
        &[],
    );
    check(GOOD, &hidden.replace(" press", " order"), &[]);
    check(GOOD, &hidden.replace("POST", "GET"), &[]);
    let limit = "limit press queue=1s # asked by Ugo\n";
    check(
        &format!("{GOOD}{limit}"),
        limit,
        &["3:13: already set on line 2"],
    );
}

#[test]
fn files_are_bounded() {
    check(
        "",
        &" ".repeat(MAX_FILE_BYTES + 1),
        &["1:1: the file exceeds 262144 bytes"],
    );
    let rule = |n| format!("operation s GET /{n} class=lookup deadline=1s # asked by A\n");
    let most: String = (0..MAX_RULES).map(rule).collect();
    check(&most, "", &[]);
    check(&most, GOOD, &["1:1: the file holds more than 2000 rules"]);
    assert_eq!(Rules::parse(&"x\n".repeat(1000)).unwrap_err().len(), 100);
}

/// A customer complains and the operator asks why the call was treated as it was.
#[test]
fn every_rule_that_decides_a_call_is_named() {
    let text = format!("{GOOD}\nkeys press retention=2h # asked by the board\n");
    let rules = Rules::parse(&text).unwrap();
    let explanation = rules.explain("press", "POST", "/slots?day=3").to_string();
    let expected = "\
line 1: operation press POST /slots class=booking deadline=2s retries=0, asked by Anna
default: concurrency=2..400
default: queue=100ms
line 3: retention=2h, asked by the board
default: percent=20
";
    assert_eq!(explanation, expected);
    let explanation = rules.explain("press", "GET", "/slots").to_string();
    assert_eq!(
        explanation,
        "no operation matches: refused as no-such-operation\n"
    );
}

fn config() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    }
}

/// A word that is close to what a rule may hold.
fn word() -> impl Strategy<Value = String> {
    let words = "operation|limit|keys|resends|press|POST|/slots\\*?|class=|class=order|deadline=1s\
        |deadline=99999999999999999999h|retries=3|idempotent|concurrency=1\\.\\.|queue=0ms|#|# asked by A\
        |\n|=|\\.\\.|ß=é|[\\PC]{0,4}";
    prop::string::string_regex(words).unwrap()
}

proptest! {
    #![proptest_config(config())]

    /// A broken file reaches a node as a record of the log. If parsing panicked, every node of the
    /// fleet would end at the same moment.
    #[test]
    fn no_text_makes_it_panic(
        words in prop::collection::vec(word(), 0..40),
        raw in any::<String>(),
    ) {
        for text in [words.join(" "), raw] {
            if let Err(errors) = Rules::parse(&text) {
                prop_assert!(!errors.is_empty());
                let lines = text.lines().count().max(1) as u32;
                prop_assert!(errors.iter().all(|e| (1..=lines).contains(&e.line) && e.column >= 1));
            }
        }
    }
}

/// An operator wonders why one lookup is shed before another. The line that ranked it is told, with who
/// asked for it.
#[test]
fn a_priority_is_explained() {
    let text =
        "operation press GET /days class=lookup idempotent deadline=2s priority=2 # asked by Ugo";
    let rules = Rules::parse(text).unwrap();
    let explanation = rules.explain("press", "GET", "/days").to_string();
    let first = explanation.lines().next().unwrap();
    assert!(first.contains(" priority=2 "), "{first}");
    assert!(first.ends_with("asked by Ugo"), "{first}");
}

const DIGEST: &str = "sha256:a6a99e93ec19ace525f95f61b460500529945fd8c1183fa268e36ff143aceb90";
const OTHER: &str = "sha256:e3cbb1536588e2953f0d2f9443505b2e0a190e02f8d40b1d35cd3e29f5f753be";

#[test]
fn each_fault_of_an_organisation_has_its_place() {
    let first = format!("{GOOD}organisation anna keys={DIGEST} rate=20 burst=5 # asked by Ugo\n");
    check(&first, "", &[]);
    let check = |last: &str, expected: &str| check(&first, last, &[expected]);
    check(
        "organisation marco keys=secret # asked by Ugo",
        "3:20: `keys` takes digests of keys as `bilberryctl key` prints them, with commas between them",
    );
    check(
        &format!("organisation marco keys={OTHER},{DIGEST} # asked by Ugo"),
        "3:20: the organisation on line 2 has one of these keys",
    );
    check(
        &format!("organisation anna keys={OTHER} # asked by Ugo"),
        "3:1: already set on line 2",
    );
    check(
        "organisation marco rate=5 # asked by Ugo",
        "3:27: keys is missing",
    );
    check(
        &format!("organisation marco keys={OTHER} burst=5 # asked by Ugo"),
        "3:97: rate is missing",
    );
    check(
        &format!("organisation marco keys={OTHER} rate=0 # asked by Ugo"),
        "3:97: `rate` takes a whole number of requests a second from 1 to 65535",
    );
}

#[test]
fn an_organisation_is_found_by_its_keys() {
    let line = format!(
        "organisation anna keys={DIGEST},{OTHER} rate=20 burst=5 priority=1 # asked by Ugo"
    );
    let rules = Rules::parse(&format!("{GOOD}{line}")).unwrap();
    let organisations = rules.organisations.unwrap();
    for digest in [DIGEST, OTHER] {
        let (_, anna) = organisations
            .find(&KeyDigest::parse(digest).unwrap())
            .unwrap();
        assert_eq!((&*anna.name, anna.priority), ("anna", Some(1)));
        assert_eq!(anna.quota.unwrap().rate(), 20.0);
    }
    assert!(organisations.find(&KeyDigest::of("anna")).is_none());
}

#[test]
fn a_digest_is_not_shown_where_rules_are() {
    let shown = format!("{:?}", KeyDigest::parse(DIGEST).unwrap());
    assert!(!shown.contains("a6a99e"), "{shown}");
}
