//! What this node's backend server says about itself in its responses.

use crate::Counter;
use crate::Diagnostic;
use crate::Engine;
use crate::Output;
use policy::RateError;
use policy::RequestRate;
use stdx::plain;
use stdx::Time;

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
}

impl Default for ServerReport {
    /// The report of a response that says nothing.
    fn default() -> Self {
        Self {
            rate_limit: Ok(None),
            leaving: Ok(false),
        }
    }
}

/// A rate limit that a backend server has named.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NamedLimit {
    pub(crate) rate: RequestRate,
    /// When a response last named it.
    confirmed_at: Time,
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
        let errors = [report.rate_limit.err(), report.leaving.err()];
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
        let previous = server.named_limit;
        if let Ok(rate) = report.rate_limit {
            server.named_limit = NamedLimit::update(previous, now, sent_at, rate);
        }
        let limit = server.named_limit.map(|limit| limit.rate);
        let starts_leaving = report.leaving == Ok(true) && !server.reported_leaving;
        server.reported_leaving |= starts_leaving;
        if limit != previous.map(|previous| previous.rate) {
            self.outputs
                .push(Output::Diagnostic(Diagnostic::ServerLimit {
                    id: id.into(),
                    limit,
                    previous: previous.map(|previous| previous.rate),
                    age: previous.map(|previous| now.since(previous.confirmed_at)),
                }));
        }
        if starts_leaving {
            self.outputs
                .push(Output::Diagnostic(Diagnostic::ServerLeaving {
                    id: id.into(),
                }));
        }
    }

    /// Whether the backend server has named a rate limit that is in force. The driver may omit
    /// reports that say nothing while there is none.
    pub fn has_rate_limit(&self) -> bool {
        self.rate_limit().is_some()
    }

    /// The rate limit that the backend server has named, if one is in force.
    pub(crate) fn rate_limit(&self) -> Option<RequestRate> {
        let limit = self.own_server.as_ref()?.named_limit?;
        Some(limit.rate)
    }

    /// Whether the backend server has said in a response that it is about to stop.
    pub(crate) fn reported_leaving(&self) -> bool {
        let server = self.own_server.as_ref();
        server.is_some_and(|server| server.reported_leaving)
    }
}
