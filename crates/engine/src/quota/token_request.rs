//! What a request for a token is judged by, and how its caller is recognised when it returns.

use crate::request::Arrival;
use crate::Engine;
use organisation::TokenClaim;
use organisation::TokenRank;
use proto::hash64;
use proto::Request;
use rules::Operation;
use std::time::Duration;
use stdx::Time;

/// The shortest wait of a request for which the lender is not known to be short: enough to ask it
/// once, also for a caller whose objective has ended but who still waits.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// Part of a caller's remaining time up to which it honours a retry delay.
const HONOURED_FRACTION: u32 = 3;

/// A request for a token.
#[derive(Debug)]
pub(crate) struct TokenRequest {
    pub(crate) arrival: Arrival,
    pub(crate) claim: TokenClaim,
    pub(crate) objective: Time,
    /// The hash of the caller and the request, if it was computed.
    pub(crate) hash: Option<u64>,
}

/// A hash of a caller and its request that is the same for each of its attempts: without the
/// attempt's id, and without the service if a route has chosen it.
pub(crate) fn hash_of(arrival: &Arrival) -> u64 {
    let Arrival {
        caller,
        key,
        request,
        ..
    } = arrival;
    let service = match request.host.is_empty() {
        true => &*request.service,
        false => "",
    };
    let Request {
        organisation,
        host,
        method,
        path,
        headers,
        body,
        ..
    } = request;
    hash64(&(
        caller,
        key,
        organisation,
        host,
        service,
        method,
        path,
        headers,
        body,
    ))
}

fn earlier(time: Time, by: Duration) -> Time {
    Time::ZERO + time.since(Time::ZERO).saturating_sub(by)
}

impl Engine {
    /// Computes how long a request may wait, and its place among others.
    pub(crate) fn token_request(
        &self,
        now: Time,
        arrival: Arrival,
        operation: &Operation,
        hash: Option<u64>,
        was_promised: bool,
    ) -> TokenRequest {
        let allowance = self.quota.slack.times.allowance(operation);
        let objective = arrival.first_at + operation.latency_objective;
        let timeout = arrival
            .caller_timeout
            .unwrap_or(operation.latency_objective);
        let deadline = arrival.at + operation.deadline.min(timeout);
        let latest_start = earlier(objective, allowance);
        let wait_until = latest_start.min(earlier(deadline, allowance));
        let claim = TokenClaim {
            rank: TokenRank {
                is_lookup: !operation.class.is_protected(),
                priority: operation.priority,
            },
            is_urgent: operation.class.is_protected() && !operation.is_patient(),
            latest_start,
            wait_until: wait_until.max(now + MIN_WAIT).min(deadline),
            max_wait: operation.deadline.saturating_sub(allowance),
            retry_limit: timeout / HONOURED_FRACTION,
            was_promised,
        };
        TokenRequest {
            arrival,
            claim,
            objective,
            hash,
        }
    }

    /// The longest retry delay that the caller of a request honours now.
    pub(crate) fn longest_retry_delay(now: Time, request: &TokenRequest) -> Duration {
        let arrival = &request.arrival;
        let caller_end = arrival.caller_timeout.map(|timeout| arrival.at + timeout);
        now.until(caller_end.unwrap_or(request.objective)) / HONOURED_FRACTION
    }
}
