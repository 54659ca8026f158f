//! The parsed rules.

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
    /// Where a rule stands in the file, and who requested it.
    pub struct RuleOrigin {
        /// The line number, from 1.
        pub line: u32,
        /// The text after `asked by` in the comment.
        pub requested_by: Arc<str>,
    }
}

data! {
    /// An `operation` rule, which sets the class, deadline and retry policy for a method and path
    /// of a service.
    pub struct Operation {
        /// The service.
        pub service: Arc<str>,
        /// The HTTP method, or `*` for any.
        pub method: Arc<str>,
        /// The path; a final `*` matches any suffix.
        pub path: Arc<str>,
        /// The class of the calls.
        pub class: Class,
        /// Whether running the operation twice has the same effect as running it once.
        pub idempotent: bool,
        /// Maximum duration of a call whose caller sets no shorter deadline.
        pub deadline: Duration,
        /// Priority among operations that are shed together (lookups, or all other classes); 0 is
        /// the most urgent and is shed last.
        pub priority: u8,
        /// Time from a caller's first attempt within which a response is of the most value. It may
        /// be longer than `deadline`, which limits one attempt.
        pub latency_objective: Duration,
        /// Number of retries that a root call of this operation may use in its whole call tree.
        pub retries: u16,
        /// Whether callers need no API key when organisations are configured.
        pub public: bool,
        /// The origin of the rule.
        pub origin: RuleOrigin,
    }
}

data! {
    /// The limits of a service, with defaults where no rule sets them.
    pub struct ServiceLimits {
        /// Lower bound of the adaptive concurrency limit, in calls.
        pub min_concurrency: u16,
        /// Upper bound of the adaptive concurrency limit, in calls.
        pub max_concurrency: u16,
        /// Maximum time that a call waits in the queue.
        pub max_queue_time: Duration,
        /// How long the record of an idempotency key is kept after its run has ended.
        pub key_retention: Duration,
        /// Requests that a caller may re-send, as a percentage of its first sends, enforced at the
        /// entry node.
        pub resend_percent: u16,
        /// The origin of each limit that was set by a rule; the others are defaults.
        pub origins: IndexMap<LimitKind, RuleOrigin>,
    }
}

/// Default for [`ServiceLimits::resend_percent`].
const DEFAULT_RESEND_PERCENT: u16 = 20;

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            min_concurrency: 2,
            max_concurrency: 400,
            max_queue_time: Duration::from_millis(100),
            key_retention: Duration::from_secs(15 * 60),
            resend_percent: DEFAULT_RESEND_PERCENT,
            origins: IndexMap::new(),
        }
    }
}

data! {
    /// The contents of a rules file.
    #[derive(Default)]
    pub struct Rules {
        /// The `operation` rules in file order.
        pub operations: Vec<Operation>,
        /// The limits set by `limit`, `keys` and `resends` rules, by service.
        pub limits: IndexMap<Arc<str>, ServiceLimits>,
        /// Routes by host and path.
        pub routes: Routes,
        /// The path of the health check by service. Its response also shows whether the backend
        /// server is about to leave.
        pub health_paths: IndexMap<Arc<str>, Arc<str>>,
        /// The organisations whose callers may send requests. `None` admits every caller.
        pub organisations: Option<Organisations>,
    }
}

impl Rules {
    /// Returns the rule that applies to a call, which is the first match in the file. `path` may
    /// contain a query.
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

    /// Returns [`ServiceLimits::resend_percent`] of a service. This is called for each request, so
    /// it does not clone the limits.
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

    /// Iterates over all operations, including those of routes.
    pub fn all_operations(&self) -> impl Iterator<Item = &Operation> {
        let routes = self.routes.iter().map(|route| &route.operation);
        self.operations.iter().chain(routes)
    }

    /// Whether work is scheduled by the time that its callers can still wait: some of them can wait,
    /// so that capacity can go first to those who cannot.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = "operation press POST /slots class=booking deadline=2s # asked by Anna";
    /// let rules = bilberry_rules::Rules::parse(text).unwrap();
    /// assert!(!rules.schedules_by_slack());
    /// ```
    pub fn schedules_by_slack(&self) -> bool {
        self.all_operations().any(Operation::is_patient)
    }

    /// Iterates over all combinations of class and priority that a request can have. A combination
    /// may occur more than once.
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

    /// Returns the limits of a service.
    pub fn service_limits(&self, service: &str) -> ServiceLimits {
        self.limits.get(service).cloned().unwrap_or_default()
    }
}

/// Ratio of the latency objective to the deadline from which callers of an operation can wait: a
/// caller who is refused can come back and a second attempt of full length still meets the
/// objective.
const PATIENT_RATIO: u32 = 2;

impl Operation {
    /// Whether callers can come back after a refusal and still be served within the objective.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = "operation press POST /slots class=booking deadline=2s objective=5s # asked by Anna";
    /// let rules = bilberry_rules::Rules::parse(text).unwrap();
    /// assert!(rules.operation("press", "POST", "/slots").unwrap().is_patient());
    /// ```
    pub fn is_patient(&self) -> bool {
        self.latency_objective >= self.deadline * PATIENT_RATIO
    }

    fn matches(&self, service: &str, method: &str, path: &str) -> bool {
        let method_matches = &*self.method == "*" || &*self.method == method;
        let path_matches = match self.path.strip_suffix('*') {
            Some(prefix) => path.starts_with(prefix),
            None => &*self.path == path,
        };
        &*self.service == service && method_matches && path_matches
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
