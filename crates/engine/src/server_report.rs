//! What this node's backend server says about itself in its responses.

use crate::Counter;
use crate::Diagnostic;
use crate::Engine;
use crate::Output;
use membership::Membership;
use policy::RateError;
use policy::RequestRate;
use proto::LoadReport;
use std::sync::Arc;
use std::time::Duration;
use stdx::plain;
use stdx::Time;

/// How long a limited server may go without a response before it is asked for one.
const LIMIT_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// The rate of requests to a server that has no health check and names a lower limit. Without any
/// request, its node would never learn that the limit was lifted.
const MIN_RATE_WITHOUT_CHECKS: RequestRate = RequestRate::from_millihertz(250);

/// The age up to which the load that another instance has reported is considered.
pub(crate) const MAX_LOAD_AGE: Duration = Duration::from_secs(3);

/// How often the node of a limited server asks other instances of the service for their load, and
/// how many of them. The regular probes reach each of them once in a round over all nodes, which is
/// too late to tell whether what exceeds the limit can be sent there.
pub(crate) const LOAD_QUERY_INTERVAL: Duration = Duration::from_secs(1);
pub(crate) const QUERIED_SIBLINGS: usize = 3;

/// Utilisation of an instance whose concurrency limit is reached.
const FULL_UTILISATION: u16 = 1000;

plain! {
    /// Why a header in which a backend server reports about itself was rejected.
    #[derive(Hash)]
    pub enum ReportError {
        /// The header is repeated, or not visible ASCII.
        Repeated,
        /// The value is not a decimal number.
        NotANumber,
        /// The value is a number, but not a rate.
        Rate(RateError),
        /// The value has no defined meaning.
        UnknownValue,
        /// The value has too few or too many figures.
        FigureCount,
        /// The value is a number that the server cannot mean.
        OutOfRange,
    }
}

impl ReportError {
    pub(crate) fn name(self) -> &'static str {
        match self {
            ReportError::Repeated => "repeated",
            ReportError::NotANumber => "not-a-number",
            ReportError::Rate(RateError::NotFinite) => "not-finite",
            ReportError::Rate(RateError::Negative) => "negative",
            ReportError::Rate(RateError::TooLarge) => "too-large",
            ReportError::UnknownValue => "unknown-value",
            ReportError::FigureCount => "figure-count",
            ReportError::OutOfRange => "out-of-range",
        }
    }
}

/// What a backend server says about itself in one response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerReport {
    /// The rate of requests from all nodes together that it accepts, if it names one.
    pub rate_limit: Result<Option<RequestRate>, ReportError>,
    /// Whether it is about to stop and accepts no new work.
    pub leaving: Result<bool, ReportError>,
    /// How long work takes on its machine at this moment, in percent of the usual, if it says so.
    pub slowdown_percent: Result<Option<u16>, ReportError>,
}

impl Default for ServerReport {
    /// The report of a response that says nothing.
    fn default() -> Self {
        Self {
            rate_limit: Ok(None),
            leaving: Ok(false),
            slowdown_percent: Ok(None),
        }
    }
}

/// A rate limit that a backend server has named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NamedLimit {
    pub(crate) rate: RequestRate,
    /// When a response last named it.
    confirmed_at: Time,
    /// When the server last reported about itself or was last asked to.
    checked_at: Time,
    /// Whether other instances of the service had capacity when their load was last known.
    siblings_have_room: bool,
    /// When other instances of the service were last asked for their load.
    siblings_asked_at: Option<Time>,
}

impl NamedLimit {
    /// The limit after a response to a request that was sent at `sent_at` named `rate`.
    ///
    /// Responses on different connections may be read in another order than they were sent in. So a
    /// limit is raised or lifted only by the response to a request that was sent after the limit
    /// was last named.
    fn update(
        previous: Option<Self>,
        now: Time,
        sent_at: Time,
        rate: Option<RequestRate>,
    ) -> Option<Self> {
        let contradicted = previous.filter(|previous| {
            sent_at < previous.confirmed_at && rate.is_none_or(|rate| rate > previous.rate)
        });
        let named = rate.map(|rate| Self {
            rate,
            confirmed_at: now,
            checked_at: now,
            siblings_have_room: previous.is_none_or(|previous| previous.siblings_have_room),
            siblings_asked_at: previous.and_then(|previous| previous.siblings_asked_at),
        });
        contradicted.or(named)
    }
}

impl Engine {
    /// Handles what a server incarnation says about itself in a response to a request that was sent
    /// at `sent_at`.
    pub(crate) fn on_server_report(
        &mut self,
        now: Time,
        id: &str,
        sent_at: Time,
        report: ServerReport,
    ) {
        let errors = [
            report.rate_limit.err(),
            report.leaving.err(),
            report.slowdown_percent.err(),
        ];
        for error in errors.into_iter().flatten() {
            self.count(Counter::MalformedServerReport(error));
        }
        let Some(server) = self.own_server.as_mut() else {
            return;
        };
        // A restarted server may have the id of its predecessor.
        if !server.has_id(id) || sent_at < server.known_since {
            return;
        }
        if let Ok(Some(percent)) = report.slowdown_percent {
            self.server.set_slowdown(now, percent);
            self.count(Counter::SlowdownReport);
        }
        let Some(server) = self.own_server.as_mut() else {
            return;
        };
        let previous = server.named_limit;
        if let Ok(rate) = report.rate_limit {
            server.named_limit = NamedLimit::update(previous, now, sent_at, rate);
        }
        let limit = server.named_limit.map(|limit| limit.rate);
        let starts_leaving = report.leaving == Ok(true) && !server.is_leaving;
        if limit != previous.map(|previous| previous.rate) {
            self.outputs
                .push(Output::Diagnostic(Diagnostic::ServerLimit {
                    id: id.into(),
                    limit,
                    previous: previous.map(|previous| previous.rate),
                    age: previous.map(|previous| now.since(previous.confirmed_at)),
                }));
            self.apply_rate_limit(now);
        }
        if starts_leaving {
            let leaving = Diagnostic::ServerLeaving { id: id.into() };
            self.outputs.push(Output::Diagnostic(leaving));
            self.on_server_leaving(now, id);
        }
    }

    /// Applies the limit that the server has named, to all paths by which work reaches it.
    pub(crate) fn apply_rate_limit(&mut self, now: Time) {
        let rate = self.rate_limit();
        let lowest = match self.health_path() {
            Some(_) => RequestRate::from_millihertz(0),
            None => MIN_RATE_WITHOUT_CHECKS,
        };
        self.server
            .set_rate_limit(now, rate.map(|rate| rate.max(lowest)));
    }

    /// When the server has to be asked whether it still names its limit.
    pub(crate) fn next_limit_check(&self) -> Option<Time> {
        let limit = self.own_server.as_ref()?.named_limit?;
        self.health_path()?;
        Some(limit.checked_at + LIMIT_CHECK_INTERVAL)
    }

    /// Asks a limited server that has got no requests for a while for a response, because only a
    /// response can say that the limit was raised or lifted.
    pub(crate) fn check_rate_limit(&mut self, now: Time) {
        if self.next_limit_check().is_none_or(|due| now < due) {
            return;
        }
        let Some(path) = self.health_path() else {
            return;
        };
        let Some(server) = &mut self.own_server else {
            return;
        };
        if let Some(limit) = &mut server.named_limit {
            limit.checked_at = now;
        }
        let id = server.id().clone();
        self.outputs.push(Output::CheckServer { id, path });
    }

    /// Updates whether other instances of the service have capacity for the work that exceeds the
    /// rate limit, and asks some of them from time to time.
    pub(crate) fn check_siblings(&mut self, now: Time) {
        let server = self.own_server.as_mut();
        let Some(limit) = server.and_then(|server| server.named_limit.as_mut()) else {
            return;
        };
        let service = &self.own_instance.service;
        limit.siblings_have_room =
            siblings_have_room(&self.members, now, service).unwrap_or(limit.siblings_have_room);
        self.server.set_siblings_have_room(limit.siblings_have_room);
        let is_due = |asked_at| now >= asked_at + LOAD_QUERY_INTERVAL;
        if limit.siblings_asked_at.is_none_or(is_due) {
            limit.siblings_asked_at = Some(now);
            let effects = self.members.query_loads(service, QUERIED_SIBLINGS);
            self.apply_membership_effects(now, effects);
        }
    }

    fn health_path(&self) -> Option<Arc<str>> {
        let rules = &self.journal.rules;
        rules.health_paths.get(&self.own_instance.service).cloned()
    }

    /// Whether the backend server has named a rate limit that is in force.
    pub fn has_rate_limit(&self) -> bool {
        self.rate_limit().is_some()
    }

    /// The rate limit that the backend server has named, if one is in force.
    pub(crate) fn rate_limit(&self) -> Option<RequestRate> {
        let limit = self.own_server.as_ref()?.named_limit?;
        Some(limit.rate)
    }

    /// Whether the backend server has said that it is about to stop, in a response or otherwise.
    pub(crate) fn server_is_leaving(&self) -> bool {
        let server = self.own_server.as_ref();
        server.is_some_and(|server| server.is_leaving)
    }
}

/// Whether another instance of the service has capacity; `None` if the load of none is known.
fn siblings_have_room(members: &Membership, now: Time, service: &str) -> Option<bool> {
    let mut loads = members.recent_loads(now, service, MAX_LOAD_AGE).peekable();
    if loads.peek().is_some() {
        let has_room = |load: LoadReport| load.utilisation < FULL_UTILISATION && load.level == 0;
        return Some(loads.any(has_room));
    }
    let has_sibling = members.usable_peers(service).next().is_some();
    (!has_sibling).then_some(false)
}
