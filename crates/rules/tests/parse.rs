//! Errors in rules files and the explanation of rules.

use bilberry_rules::KeyDigest;
use bilberry_rules::Rules;
use bilberry_rules::MAX_FILE_BYTES;
use bilberry_rules::MAX_RULES;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const VALID_RULE: &str = "operation press POST /slots class=booking deadline=2s # asked by Anna\n";

/// Parses `before` followed by `last` and compares the error messages with those that an operator
/// must see.
fn check(before: &str, last: &str, expected: &[&str]) {
    let messages = match Rules::parse(&format!("{before}{last}")) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(|e| e.to_string()).collect(),
    };
    assert_eq!(messages, expected, "{last}");
}

#[test]
fn errors_report_line_and_column() {
    check("", VALID_RULE, &[]);
    check("", "", &["1:1: file contains no operation rule"]);
    check(
        "",
        "# only a comment\n\n",
        &["1:1: file contains no operation rule"],
    );
    let missing = "missing comment that names the requester: end the line with `# asked by NAME`";
    check(
        VALID_RULE,
        "limit press queue=1s",
        &[&format!("2:21: {missing}")],
    );
    check(
        VALID_RULE,
        "limit press queue=1s # Anna",
        &[&format!("2:22: {missing}")],
    );
    check(
        VALID_RULE,
        "limit press queue=1s # asked by  ",
        &[&format!("2:22: {missing}")],
    );
    check(
        VALID_RULE,
        "  deny press # asked by Ugo",
        &["2:3: unknown rule `deny`: expected operation, limit, keys, resends or organisation"],
    );
    check(
        VALID_RULE,
        "limit press # asked by Ugo",
        &["2:13: missing concurrency or queue"],
    );
    check(
        "",
        "operation press GET /x class=lookup deadline=2s priority=10 # asked by Ugo",
        &["1:49: `priority` takes a whole number from 0, the most urgent, to 9"],
    );
    check(
        VALID_RULE,
        "limit # asked by Ugo",
        &["2:7: missing service"],
    );
    check(
        VALID_RULE,
        "keys press # asked by Ugo",
        &["2:12: missing retention"],
    );
    check(
        VALID_RULE,
        "limit press queue=1s queue=2s # asked by Ugo",
        &["2:22: duplicate option `queue`"],
    );
    check(
        VALID_RULE,
        "keys press retention=1h percent=3 # asked by Ugo",
        &["2:25: unknown option `percent`"],
    );
    check(
        VALID_RULE,
        "limit preß queue=1s # asked by Ugo",
        &["2:7: `service` takes 1 to 64 letters, digits, `-`, `_` or `.`"],
    );
    check(
        VALID_RULE,
        "limit press concurrency=9..3 # asked by Ugo\nresends press percent=x # asked by Ugo",
        &[
            "2:13: `concurrency` takes MIN..MAX, each from 1 to 10000",
            "3:15: `percent` takes a whole number from 0 to 1000",
        ],
    );
}

#[test]
fn invalid_operations_are_rejected() {
    let rest = "class=order deadline=1s # asked by Ugo";
    let path =
        "`path` takes a path that starts with `/`, without a query, and with `*` only at the end";
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
        &["1:13: `method` takes an upper-case method, or `*` for any"],
    );
    check(
        "",
        "operation a GET /x class=order # asked by Ugo",
        &["1:32: missing deadline"],
    );
    check(
        "",
        "operation a GET /x class=order deadline=1s idempotent=no # asked by Ugo",
        &["1:44: `idempotent` takes no value"],
    );
    // A retry happens only if the earlier attempt certainly did not run, so it does not require an
    // idempotent operation.
    check("", &format!("operation a POST /x retries=2 {rest}"), &[]);
}

/// A rule below one that already matches all its calls would never apply, which could go unnoticed
/// until a payment is treated as a lookup.
#[test]
fn unreachable_operation_is_rejected() {
    let unreachable = "operation press POST /slots class=payment deadline=1s # asked by Ugo";
    check(VALID_RULE, unreachable, &["2:1: already set on line 1"]);
    for pattern in ["* /slots", "POST /sl*", "* /*"] {
        let first = format!("operation press {pattern} class=lookup deadline=1s # asked by Ugo\n");
        check(
            &first,
            unreachable,
            &["2:1: unreachable: line 1 matches first"],
        );
    }
    check(
        VALID_RULE,
        "operation press * /* class=lookup deadline=1s # asked by Ugo",
        &[],
    );
    check(VALID_RULE, &unreachable.replace(" press", " order"), &[]);
    check(VALID_RULE, &unreachable.replace("POST", "GET"), &[]);
    let limit = "limit press queue=1s # asked by Ugo\n";
    check(
        &format!("{VALID_RULE}{limit}"),
        limit,
        &["3:13: already set on line 2"],
    );
}

#[test]
fn file_size_rules_and_reported_errors_are_limited() {
    check(
        "",
        &" ".repeat(MAX_FILE_BYTES + 1),
        &["1:1: file exceeds 262144 bytes"],
    );
    let rule = |n| format!("operation s GET /{n} class=lookup deadline=1s # asked by A\n");
    let full: String = (0..MAX_RULES).map(rule).collect();
    check(&full, "", &[]);
    check(
        &full,
        VALID_RULE,
        &["1:1: file contains more than 2000 rules"],
    );
    assert_eq!(Rules::parse(&"x\n".repeat(1000)).unwrap_err().len(), 100);
}

/// An operator must be able to tell why a call was treated as it was, for example after a
/// complaint.
#[test]
fn explanation_names_every_rule_that_applies() {
    let text = format!("{VALID_RULE}\nkeys press retention=2h # asked by the board\n");
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

/// Generates words that resemble parts of valid rules.
fn rule_word() -> impl Strategy<Value = String> {
    let words = "operation|limit|keys|resends|press|POST|/slots\\*?|class=|class=order|deadline=1s\
        |deadline=99999999999999999999h|retries=3|idempotent|concurrency=1\\.\\.|queue=0ms|#|# asked by A\
        |\n|=|\\.\\.|ß=é|[\\PC]{0,4}";
    prop::string::string_regex(words).unwrap()
}

proptest! {
    #![proptest_config(config())]

    /// Rules files reach nodes as records of the log. If an invalid one made the parser panic, all
    /// nodes would crash at the same moment.
    #[test]
    fn parser_never_panics(
        words in prop::collection::vec(rule_word(), 0..40),
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

/// The explanation must show the line that set a priority and its requester, because the priority
/// may be the reason why one lookup was shed before another.
#[test]
fn explanation_includes_the_priority() {
    let text =
        "operation press GET /days class=lookup idempotent deadline=2s priority=2 # asked by Ugo";
    let rules = Rules::parse(text).unwrap();
    let explanation = rules.explain("press", "GET", "/days").to_string();
    let first = explanation.lines().next().unwrap();
    assert!(first.contains(" priority=2 "), "{first}");
    assert!(first.ends_with("asked by Ugo"), "{first}");
}

const DIGEST: &str = "sha256:a6a99e93ec19ace525f95f61b460500529945fd8c1183fa268e36ff143aceb90";
const OTHER_DIGEST: &str =
    "sha256:e3cbb1536588e2953f0d2f9443505b2e0a190e02f8d40b1d35cd3e29f5f753be";

#[test]
fn organisation_errors_report_line_and_column() {
    let first =
        format!("{VALID_RULE}organisation anna keys={DIGEST} rate=20 burst=5 # asked by Ugo\n");
    check(&first, "", &[]);
    let check = |last: &str, expected: &str| check(&first, last, &[expected]);
    check(
        "organisation marco keys=secret # asked by Ugo",
        "3:20: `keys` takes comma-separated key digests as printed by `bilberryctl key`",
    );
    check(
        &format!("organisation marco keys={OTHER_DIGEST},{DIGEST} # asked by Ugo"),
        "3:20: key already used by the organisation on line 2",
    );
    check(
        &format!("organisation anna keys={OTHER_DIGEST} # asked by Ugo"),
        "3:1: already set on line 2",
    );
    check(
        "organisation marco rate=5 # asked by Ugo",
        "3:27: missing keys",
    );
    check(
        &format!("organisation marco keys={OTHER_DIGEST} burst=5 # asked by Ugo"),
        "3:97: missing rate",
    );
    check(
        &format!("organisation marco keys={OTHER_DIGEST} rate=0 # asked by Ugo"),
        "3:97: `rate` takes a whole number of requests per second from 1 to 65535",
    );
}

#[test]
fn organisation_is_found_by_its_keys() {
    let line = format!(
        "organisation anna keys={DIGEST},{OTHER_DIGEST} rate=20 burst=5 priority=1 # asked by Ugo"
    );
    let rules = Rules::parse(&format!("{VALID_RULE}{line}")).unwrap();
    let organisations = rules.organisations.unwrap();
    for digest in [DIGEST, OTHER_DIGEST] {
        let (_, anna) = organisations
            .find(&KeyDigest::parse(digest).unwrap())
            .unwrap();
        assert_eq!((&*anna.name, anna.priority), ("anna", Some(1)));
        assert_eq!(anna.quota.unwrap().rate(), 20.0);
    }
    assert!(organisations.find(&KeyDigest::of("anna")).is_none());
}

#[test]
fn debug_output_hides_key_digests() {
    let shown = format!("{:?}", KeyDigest::parse(DIGEST).unwrap());
    assert!(!shown.contains("a6a99e"), "{shown}");
}

/// Guards against callers who cannot wait being served after others because a rule was read as
/// patient: work is scheduled by slack only if an objective is at least twice the deadline.
#[test]
fn objective_of_twice_the_deadline_schedules_by_slack() {
    let schedules = |objective: &str| {
        let text = format!(
            "operation press POST /slots class=booking deadline=2s{objective} # asked by Anna"
        );
        Rules::parse(&text).unwrap().schedules_by_slack()
    };
    assert!(!schedules(""));
    assert!(!schedules(" objective=3999ms"));
    assert!(schedules(" objective=4s"));
    check(
        "",
        "operation press GET /x class=lookup deadline=2s objective=0s # asked by Ugo",
        &["1:49: `objective` takes a duration from 1ms to 24h"],
    );
}
