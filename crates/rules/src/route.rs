//! Routes: which service a host and path lead to, where callers name no service.

use crate::Operation;
use crate::Rules;
use indexmap::IndexMap;
use proto::Request;
use std::sync::Arc;
use std::time::Duration;
use stdx::data;

data! {
    /// What the requests for one host and path prefix mean.
    pub struct Route {
        /// What they mean, but for the service: that is the first of `targets`.
        pub operation: Operation,
        /// The services that share the requests, with their weights; at least one.
        pub targets: Vec<(Arc<str>, u32)>,
        /// The time within which an answer is worth most to its caller.
        pub latency_objective: Duration,
    }
}

data! {
    /// The routes of all hosts.
    #[derive(Default)]
    pub struct Routes {
        /// By host, then by path prefix. Every prefix ends with a slash.
        hosts: IndexMap<Arc<str>, IndexMap<Arc<str>, Route>>,
    }
}

impl Routes {
    /// Enters a route. One that was entered before for the same host and prefix is replaced.
    pub fn insert(&mut self, host: &Arc<str>, prefix: Arc<str>, route: Route) {
        let prefixes = self.hosts.entry(host.clone()).or_default();
        prefixes.insert(prefix, route);
    }

    /// The route with the longest prefix of the path. Each slash of the path is looked up once, so
    /// the cost does not grow with the number of routes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.hosts.get(host)?;
        let path = path.split('?').next().unwrap_or(path);
        let mut rest = path;
        while let Some(slash) = rest.rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return Some(route);
            }
            rest = &path[..slash];
        }
        None
    }

    /// Every route.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flat_map(IndexMap::values)
    }
}

impl Route {
    /// The service for a request with this random value. The values are cut in proportion to the
    /// weights, so the same request gets the same service at every node.
    pub fn target(&self, dice: u16) -> &Arc<str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut point = u64::from(dice) * total / (u64::from(u16::MAX) + 1);
        for (service, weight) in &self.targets {
            match point.checked_sub(u64::from(*weight)) {
                Some(rest) => point = rest,
                None => return service,
            }
        }
        &self.operation.service
    }
}

/// What decides a request.
#[derive(Debug, Clone, Copy)]
pub enum MatchedRule<'a> {
    /// The request names its service; this says what its method and path mean.
    Operation(&'a Operation),
    /// The request names a host; this says where it leads.
    Route(&'a Route),
}

impl<'a> MatchedRule<'a> {
    /// What the request means.
    pub fn operation(self) -> &'a Operation {
        match self {
            MatchedRule::Operation(operation) => operation,
            MatchedRule::Route(route) => &route.operation,
        }
    }
}

impl Rules {
    /// The rule that decides a request: by its host if it names one, else by its service.
    ///
    /// # Examples
    ///
    /// ```
    /// let text = "operation press POST /slots class=booking deadline=2s # asked by Anna";
    /// let rules = bilberry_rules::Rules::parse(text).unwrap();
    /// let request = proto::Request::new("press", "POST", "/slots", Default::default());
    /// assert!(!rules.match_rule(&request).unwrap().operation().idempotent);
    /// ```
    pub fn match_rule(&self, req: &Request) -> Option<MatchedRule<'_>> {
        if req.host.is_empty() {
            let operation = self.operation(&req.service, &req.method, &req.path);
            return operation.map(MatchedRule::Operation);
        }
        self.routes
            .find(&req.host, &req.path)
            .map(MatchedRule::Route)
    }

    /// Rules that consist of routes alone.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_rules::{Routes, Rules};
    ///
    /// let rules = Rules::with_routes(Routes::default());
    /// assert!(rules.routes.find("shop.example", "/patterns/7").is_none());
    /// ```
    pub fn with_routes(routes: Routes) -> Self {
        Self {
            routes,
            ..Self::default()
        }
    }
}
