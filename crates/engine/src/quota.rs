//! The quota controller: elects the nodes that lend tokens, and holds requests that wait for one.

mod loans;
mod run_time;
mod slack;
mod slack_queues;
mod token_request;

use crate::quota::slack_queues::SlackQueues;
use crate::request::Arrival;
use crate::request::RefusedRequest;
use crate::Engine;
use crate::RequestToken;
use indexmap::IndexMap;
use organisation::Borrower;
use organisation::Lender;
use organisation::QuotaToken;
use organisation::QuotaTolerance;
use organisation::GROUP_COUNT;
use proto::hash64;
use proto::Incarnation;
use proto::OrganisationId;
use proto::PeerState;
use proto::Reason;
use proto::Refusal;
use rand::RngExt;
use rules::Organisations;
use std::time::Duration;
use stdx::Time;

/// How long a request waits for a token. A short burst above the rate passes within this time, and
/// a refused caller that returns costs another request.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// The maximum number of requests that wait for tokens.
const MAX_WAITING_REQUESTS: usize = 1024;

/// The retry delay for a caller when no lender could be asked.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The shortest retry delay for a caller whose organisation has used up its quota. The actual delay
/// is up to twice as long, so that such callers do not return at the same time.
const EXCEEDED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How long the result of an election is used while no peer changes.
const ELECTION_TTL: Duration = Duration::from_millis(500);

/// The tokens that this node borrows and lends, and the requests that wait for them.
#[derive(Debug)]
pub(crate) struct QuotaController {
    pub(crate) borrower: Borrower,
    lender: Lender,
    /// Requests that wait for a token, the oldest first.
    waiting: IndexMap<RequestToken, (OrganisationId, Arrival)>,
    /// Requests that wait while the rules schedule by slack.
    pub(crate) slack: SlackQueues,
    /// Organisations whose tokens were returned or whose quotas were removed, so that waiting
    /// requests may be admitted.
    returned: Vec<OrganisationId>,
    /// The lender of each group.
    elected: [Option<Incarnation>; GROUP_COUNT as usize],
    /// The number of nodes that vote.
    voters: usize,
    elected_at: Option<Time>,
}

impl QuotaController {
    pub(crate) fn new(tolerance: QuotaTolerance) -> Self {
        Self {
            borrower: Borrower::new(tolerance),
            lender: Lender::new(tolerance),
            waiting: IndexMap::new(),
            slack: SlackQueues::new(),
            returned: Vec::new(),
            elected: [None; GROUP_COUNT as usize],
            voters: 1,
            elected_at: None,
        }
    }

    /// Whether any request waits for a token.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty() || self.slack.has_waiting()
    }

    /// Discards the last election because the peers have changed.
    pub(crate) fn invalidate_election(&mut self) {
        self.elected_at = None;
    }
}

impl Engine {
    /// Whether there are quotas to enforce, or requests that still wait for a token after the last
    /// organisation was removed from the rules.
    fn has_quotas(&self) -> bool {
        self.journal.rules.organisations.is_some() || self.quota.has_waiting()
    }

    /// Applies the quotas of new rules.
    pub(crate) fn update_quotas(&mut self) {
        let organisations = self.journal.rules.organisations.as_ref();
        let quota_of = |id| organisations.and_then(|all| all.get(id)?.quota);
        let mut all = organisations.into_iter().flat_map(Organisations::iter);
        let active = all.any(|(_, organisation)| organisation.quota.is_some());
        self.quota.borrower.set_quotas(active, quota_of);
        self.quota.borrower.set_by_urgency(self.schedules_by_slack);
        self.quota.lender.retain(|id| quota_of(id).is_some());
        let released = self.quota.slack.retain(|id| quota_of(id).is_some());
        self.quota.returned.extend(released);
    }

    pub(crate) fn next_quota_timer(&self) -> Option<Time> {
        if !self.has_quotas() {
            return None;
        }
        if !self.quota.returned.is_empty() {
            return Some(Time::ZERO);
        }
        let oldest = self.quota.waiting.first();
        let expiry = oldest.map(|(_, (_, arrival))| arrival.at + MAX_WAIT);
        let slack = self.quota.slack.next_timer();
        let timers = [self.quota.borrower.next_timer(), expiry, slack];
        timers.into_iter().flatten().min()
    }

    pub(crate) fn tick_quotas(&mut self, now: Time) {
        if !self.has_quotas() {
            return;
        }
        for organisation in std::mem::take(&mut self.quota.returned) {
            self.admit_waiting(now, organisation);
            self.admit_by_slack(now, organisation);
            self.release_by_slack(now, organisation);
        }
        self.refuse_expired_requests(now);
        self.tick_slack(now);
        if !self.quota.borrower.is_due(now) {
            return;
        }
        self.refresh_election(now);
        for group in 0..GROUP_COUNT {
            let mut lender = self.quota.elected[usize::from(group)];
            if lender.is_some_and(|lender| self.quota.borrower.avoids(now, group, lender)) {
                lender = self.elect_lender(now, group);
            }
            if let Some(loans) = self.quota.borrower.poll(now, group, lender) {
                self.request_loans(now, group, loans);
            }
        }
    }

    pub(crate) fn refresh_election(&mut self, now: Time) {
        let elected_at = self.quota.elected_at;
        if elected_at.is_some_and(|at| now.since(at) < ELECTION_TTL) {
            return;
        }
        self.quota.elected_at = Some(now);
        self.quota.voters = self.members.voter_count(now);
        for group in 0..GROUP_COUNT {
            self.quota.elected[usize::from(group)] = self.elect_lender(now, group);
        }
    }

    /// The node that lends in a group: the first one by rendezvous hashing.
    fn elect_lender(&self, now: Time, group: u8) -> Option<Incarnation> {
        let peers = self.members.peers();
        let alive = peers.filter(|peer| peer.state == PeerState::Alive);
        let peers = alive.map(|peer| peer.instance.incarnation);
        let own_incarnation = (!self.stopping).then_some(self.own_instance.incarnation);
        let borrower = &self.quota.borrower;
        let nodes = peers
            .chain(own_incarnation)
            .filter(|node| !borrower.avoids(now, group, *node));
        nodes.max_by_key(|node| (hash64(&(group, node)), *node))
    }

    /// Admits waiting requests as long as there are tokens.
    pub(crate) fn admit_waiting(&mut self, now: Time, id: OrganisationId) {
        let waiting = self.quota.waiting.iter();
        let waiting = waiting.filter(|(_, (organisation, _))| *organisation == id);
        let tokens: Vec<RequestToken> = waiting.map(|(token, _)| *token).collect();
        for token in tokens {
            match self.quota.borrower.try_spend_waiting(now, id) {
                Some(quota_token) => {
                    if let Some((_, arrival)) = self.quota.waiting.shift_remove(&token) {
                        self.on_quota_granted(now, arrival, quota_token);
                    }
                }
                None => return,
            }
        }
    }

    /// Returns the token of a request that did not run, so that it may admit another one.
    pub(crate) fn return_quota_token(&mut self, now: Time, quota_token: Option<QuotaToken>) {
        let Some(quota_token) = quota_token else {
            return;
        };
        self.quota.borrower.refund(now, quota_token);
        if self.quota.has_waiting() {
            self.quota.returned.push(quota_token.organisation);
        }
    }

    /// Holds a request for which this node has no token.
    pub(crate) fn wait_for_quota(
        &mut self,
        now: Time,
        arrival: Arrival,
        organisation: OrganisationId,
    ) {
        if self.quota.waiting.len() >= MAX_WAITING_REQUESTS {
            return self.refuse_without_quota_token(arrival, Reason::QuotaUnknown);
        }
        self.quota.borrower.start_waiting(now, organisation);
        let token = arrival.token;
        self.quota.waiting.insert(token, (organisation, arrival));
    }

    /// Removes the waiting request of a caller that has disconnected. Returns whether there was
    /// one.
    pub(crate) fn cancel_quota_wait(&mut self, now: Time, token: RequestToken) -> bool {
        let Some((organisation, _)) = self.quota.waiting.shift_remove(&token) else {
            return self.cancel_wait_by_slack(now, token);
        };
        self.quota.borrower.stop_waiting(organisation);
        true
    }

    fn refuse_expired_requests(&mut self, now: Time) {
        while let Some((token, (_, arrival))) = self.quota.waiting.first() {
            if now < arrival.at + MAX_WAIT {
                return;
            }
            let token = *token;
            self.refuse_waiting_request(token);
        }
    }

    fn refuse_waiting_request(&mut self, token: RequestToken) {
        if let Some((organisation, arrival)) = self.quota.waiting.shift_remove(&token) {
            let reason = match self.quota.borrower.lender_was_short(organisation) {
                true => Reason::QuotaExceeded,
                false => Reason::QuotaUnknown,
            };
            self.quota.borrower.stop_waiting(organisation);
            self.refuse_without_quota_token(arrival, reason);
        }
    }

    fn refuse_without_quota_token(&mut self, arrival: Arrival, reason: Reason) {
        let retry_after = match reason {
            Reason::QuotaExceeded => EXCEEDED_RETRY_AFTER.mul_f64(self.rng.random_range(1.0..2.0)),
            _ => UNKNOWN_RETRY_AFTER,
        };
        self.refuse_unopened(
            RefusedRequest::from(&arrival),
            Refusal::new(reason, retry_after),
        );
    }

    /// Stops lending because this node is stopping. Nodes that ask later get an answer without
    /// tokens.
    pub(crate) fn resign_lender(&mut self, now: Time) {
        let voters = self.quota.voters;
        self.quota.lender.release_votes(now, voters);
        self.quota.invalidate_election();
    }
}
