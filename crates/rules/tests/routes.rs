//! Route matching and the split of requests among target services.

use bilberry_rules::Operation;
use bilberry_rules::Route;
use bilberry_rules::Routes;
use bilberry_rules::RuleOrigin;
use proto::Class;
use std::sync::Arc;
use std::time::Duration;

fn route(targets: &[(&str, u32)]) -> Route {
    let targets: Vec<(Arc<str>, u32)> = targets
        .iter()
        .map(|(service, weight)| ((*service).into(), *weight))
        .collect();
    Route {
        operation: Operation {
            service: targets[0].0.clone(),
            method: "*".into(),
            path: "*".into(),
            class: Class::Lookup,
            idempotent: true,
            deadline: Duration::from_secs(1),
            latency_objective: Duration::from_secs(1),
            priority: 0,
            retries: 1,
            public: false,
            origin: RuleOrigin {
                line: 1,
                requested_by: "Anna".into(),
            },
        },
        targets,
    }
}

fn check(path: &str, expected: Option<&str>) {
    let mut routes = Routes::default();
    let host = "shop.example".into();
    for (prefix, service) in [("/", "all"), ("/a/", "a"), ("/a/b/", "b"), ("/a/b/c/", "c")] {
        routes.insert(&host, prefix.into(), route(&[(service, 1)]));
    }
    let found = routes.find("shop.example", path);
    let service = found.map(|route| &*route.operation.service);
    assert_eq!(service, expected, "{path}");
    assert!(routes.find("other.example", path).is_none());
}

#[test]
fn longest_prefix_matches() {
    check("/x", Some("all"));
    check("/a", Some("all"));
    check("/a/", Some("a"));
    check("/a/x?day=/a/b/c/", Some("a"));
    check("/a/b/cc", Some("b"));
    check("/a/b/c/d/e", Some("c"));
    check("", None);
}

/// The share of each target must be proportional to its weight over the whole range of random
/// values.
#[test]
fn requests_are_split_by_weight() {
    let route = route(&[("a", 90), ("b", 10)]);
    let to_b = (0..=u16::MAX).filter(|sample| &**route.target(*sample) == "b");
    let share = to_b.count() as f64 / f64::from(u16::MAX);
    assert!((0.099..0.101).contains(&share), "{share}");
}
