//! Routes, which map a host and path to a service if callers do not name the service.

use crate::Operation;
use crate::Rules;
use indexmap::IndexMap;
use proto::Request;
use std::sync::Arc;
use stdx::data;

data! {
    /// The operation and target services for requests with a given host and path prefix.
    pub struct Route {
        /// The operation. Its service is the first of `targets`.
        pub operation: Operation,
        /// The services among which requests are split, with their weights; never empty.
        pub targets: Vec<(Arc<str>, u32)>,
    }
}

data! {
    /// The routes of all hosts.
    #[derive(Default)]
    pub struct Routes {
        /// Routes by host, then by path prefix. Every prefix ends with a slash.
        hosts: IndexMap<Arc<str>, IndexMap<Arc<str>, Route>>,
    }
}

impl Routes {
    /// Adds a route, replacing any earlier route for the same host and prefix.
    pub fn insert(&mut self, host: &Arc<str>, prefix: Arc<str>, route: Route) {
        let prefixes = self.hosts.entry(host.clone()).or_default();
        prefixes.insert(prefix, route);
    }

    /// Returns the route with the longest matching prefix. There is one lookup for each slash in
    /// the path, so the cost does not depend on the number of routes.
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

    /// Iterates over all routes.
    pub fn iter(&self) -> impl Iterator<Item = &Route> {
        self.hosts.values().flat_map(IndexMap::values)
    }
}

impl Route {
    /// Returns the service for a request with this random value. The range of values is divided in
    /// proportion to the weights, so every node picks the same service for a request.
    pub fn target(&self, sample: u16) -> &Arc<str> {
        let total: u64 = self
            .targets
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut point = u64::from(sample) * total / (u64::from(u16::MAX) + 1);
        for (service, weight) in &self.targets {
            match point.checked_sub(u64::from(*weight)) {
                Some(rest) => point = rest,
                None => return service,
            }
        }
        &self.operation.service
    }
}

/// The rule that applies to a request.
#[derive(Debug, Clone, Copy)]
pub enum MatchedRule<'a> {
    /// The request names its service; the operation matches its method and path.
    Operation(&'a Operation),
    /// The request names a host; the route determines the service.
    Route(&'a Route),
}

impl<'a> MatchedRule<'a> {
    /// Returns the operation of the rule.
    pub fn operation(self) -> &'a Operation {
        match self {
            MatchedRule::Operation(operation) => operation,
            MatchedRule::Route(route) => &route.operation,
        }
    }
}

impl Rules {
    /// Returns the rule that applies to a request, matched by host if the request names one, else
    /// by service.
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

    /// Creates rules that contain only routes.
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
