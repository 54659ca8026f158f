//! The rules, parsed.

use crate::LimitKind;
use crate::Organisations;
use crate::Routes;
use indexmap::IndexMap;
use indexmap::IndexSet;
use proto::Class;
use std::sync::Arc;
use std::time::Duration;
use stdx::data;

data! {
    /// Where a rule stands and who asked for it.
    pub struct RuleOrigin {
        /// The line in the file, from 1.
        pub line: u32,
        /// The comment's text after `asked by`.
        pub requested_by: Arc<str>,
    }
}

data! {
    /// An `operation` rule: what a method and path of a service means.
    pub struct Operation {
        /// The service.
        pub service: Arc<str>,
        /// The method; `*` for any.
        pub method: Arc<str>,
        /// The path; a final `*` stands for any rest.
        pub path: Arc<str>,
        /// What it is for.
        pub class: Class,
        /// Whether running it twice is the same as running it once.
        pub idempotent: bool,
        /// The longest a call may take, when its caller sets no shorter deadline.
        pub deadline: Duration,
        /// How urgent it is among operations that are shed alike: 0 is the most urgent, and the last
        /// to be shed.
        pub priority: u8,
        /// Retries that a root call of this operation may spend over its whole tree.
        pub retries: u16,
        /// Whether callers need no key, where there are organisations.
        pub public: bool,
        /// Where this rule stands.
        pub origin: RuleOrigin,
    }
}

data! {
    /// The bounds that hold for a service; the defaults where no rule sets them.
    pub struct ServiceLimits {
        /// The least that the adaptive concurrency limit goes down to, in calls.
        pub min_concurrency: u16,
        /// The most that it goes up to, in calls.
        pub max_concurrency: u16,
        /// The longest a call waits in the queue.
        pub queue: Duration,
        /// How long the record of a key is kept after its run ended.
        pub key_retention: Duration,
        /// A caller's own re-sends, in hundredths of its first sends, at the edge.
        pub resend_percent: u16,
        /// Who asked for which of these bounds; the others are defaults.
        pub origin: IndexMap<LimitKind, RuleOrigin>,
    }
}

/// Hundredths of first sends, where no rule says otherwise.
const DEFAULT_RESEND_PERCENT: u16 = 20;

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            min_concurrency: 2,
            max_concurrency: 400,
            queue: Duration::from_millis(100),
            key_retention: Duration::from_secs(15 * 60),
            resend_percent: DEFAULT_RESEND_PERCENT,
            origin: IndexMap::new(),
        }
    }
}

data! {
    /// A whole rules file.
    #[derive(Default)]
    pub struct Rules {
        /// `operation` rules in the file's order.
        pub operations: Vec<Operation>,
        /// `limit`, `keys` and `resends` rules by service.
        pub limits: IndexMap<Arc<str>, ServiceLimits>,
        /// Routes by host and path.
        pub routes: Routes,
        /// Where a service's backend servers say whether they are healthy and stay, by service.
        pub health_paths: IndexMap<Arc<str>, Arc<str>>,
        /// The organisations whose callers may send requests; anybody may if there are none.
        pub organisations: Option<Organisations>,
    }
}

impl Rules {
    /// The rule that decides a call: the first in the file that matches. `path` may have a query.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = "operation press POST /slots class=booking deadline=2s # asked by Anna";
    /// let rules = bilberry_rules::Rules::parse(text).unwrap();
    /// assert!(!rules.operation("press", "POST", "/slots?day=3").unwrap().idempotent);
    /// assert!(rules.operation("press", "GET", "/slots").is_none());
    /// ```
    pub fn operation(&self, service: &str, method: &str, path: &str) -> Option<&Operation> {
        let path = path.split('?').next().unwrap_or(path);
        self.operations
            .iter()
            .find(|operation| operation.matches(service, method, path))
    }

    /// A caller's own re-sends that the edge lets through, in hundredths of its first sends. RuleOrigin
    /// for each request, so it copies no bounds.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = "operation press GET /days class=lookup idempotent deadline=2s # asked by Anna\n\
    ///             resends press percent=5 # asked by Anna";
    /// let rules = bilberry_rules::Rules::parse(text).unwrap();
    /// assert_eq!(rules.resend_percent("press"), 5);
    /// assert_eq!(rules.resend_percent("order"), rules.service_limits("order").resend_percent);
    /// ```
    pub fn resend_percent(&self, service: &str) -> u16 {
        let limit = self.limits.get(service);
        limit.map_or(DEFAULT_RESEND_PERCENT, |limit| limit.resend_percent)
    }

    /// Every operation, those of routes among them.
    pub fn all_operations(&self) -> impl Iterator<Item = &Operation> {
        let routes = self.routes.iter().map(|route| &route.operation);
        self.operations.iter().chain(routes)
    }

    /// Each class and priority that a request can have.
    pub fn class_priorities(&self) -> impl Iterator<Item = (Class, u8)> + '_ {
        let organisations = self.organisations.iter().flat_map(Organisations::iter);
        let priorities = organisations.filter_map(|(_, organisation)| organisation.priority);
        let priorities: IndexSet<u8> = priorities.collect();
        self.all_operations().flat_map(move |operation| {
            let mut all = priorities.clone();
            all.insert(operation.priority);
            let class = operation.class;
            all.into_iter().map(move |priority| (class, priority))
        })
    }

    /// The bounds of a service.
    pub fn service_limits(&self, service: &str) -> ServiceLimits {
        self.limits.get(service).cloned().unwrap_or_default()
    }
}

impl Operation {
    fn matches(&self, service: &str, method: &str, path: &str) -> bool {
        let method_fits = &*self.method == "*" || &*self.method == method;
        let path_fits = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => &*self.path == path,
        };
        &*self.service == service && method_fits && path_fits
    }

    /// Whether this rule matches every call that `later` matches.
    pub(crate) fn covers(&self, later: &Operation) -> bool {
        let method_covers = &*self.method == "*" || self.method == later.method;
        let path_covers = match self.path.strip_suffix('*') {
            Some(prefix) => later.path.starts_with(prefix),
            None => self.path == later.path,
        };
        self.service == later.service && method_covers && path_covers
    }
}
