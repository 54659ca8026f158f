//! The controller of quotas: who lends, and requests that wait for a token.

use crate::request::Arrival;
use crate::request::RefusedRequest;
use crate::Engine;
use crate::Output;
use crate::RequestToken;
use indexmap::IndexMap;
use organisation::group_of;
use organisation::Borrower;
use organisation::Credit;
use organisation::Lender;
use organisation::LoanRequest;
use organisation::QuotaBounds;
use organisation::GROUPS;
use proto::hash64;
use proto::Datagram;
use proto::Incarnation;
use proto::Loan;
use proto::OrganisationId;
use proto::PeerState;
use proto::QuotaMessage;
use proto::Reason;
use proto::Refusal;
use proto::PROTOCOL_VERSION;
use rand::RngExt;
use rules::Organisations;
use std::net::SocketAddr;
use std::time::Duration;
use stdx::Time;

/// How long a request waits for a token. A short excess over the rate passes in that time, and a caller that
/// is refused and comes back is one more request.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// The most requests that wait for tokens.
const MAX_WAITING: usize = 1024;

/// When a caller may come back to whom no lender could be asked.
const RETRY_UNKNOWN: Duration = Duration::from_millis(500);

/// The shortest time after which a caller is told to come back whose organisation has used up its quota;
/// up to twice as long, so that such callers do not come back together.
const RETRY_EXCEEDED: Duration = Duration::from_millis(500);

/// How long an election holds while no peer changes.
const ELECTION_TIME: Duration = Duration::from_millis(500);

/// What is lent and borrowed here.
#[derive(Debug)]
pub(crate) struct QuotaController {
    pub(crate) borrower: Borrower,
    lender: Lender,
    /// Requests that wait for a token, the oldest first.
    waiting: IndexMap<RequestToken, (OrganisationId, Arrival)>,
    /// Organisations that were given tokens back, which may admit requests that wait.
    returned: Vec<OrganisationId>,
    /// The lender of each group, and the number of nodes that vote.
    elected: [Option<Incarnation>; GROUPS as usize],
    voters: usize,
    elected_at: Option<Time>,
}

impl QuotaController {
    pub(crate) fn new(bounds: QuotaBounds) -> Self {
        Self {
            borrower: Borrower::new(bounds),
            lender: Lender::new(bounds),
            waiting: IndexMap::new(),
            returned: Vec::new(),
            elected: [None; GROUPS as usize],
            voters: 1,
            elected_at: None,
        }
    }

    /// Whether any request waits for a token.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The peers have changed.
    pub(crate) fn invalidate_election(&mut self) {
        self.elected_at = None;
    }
}

impl Engine {
    /// Requests may still wait for a token when new rules name no organisation any more.
    fn has_quotas(&self) -> bool {
        self.journal.rules.organisations.is_some() || self.quota.has_waiting()
    }

    /// New rules are in force.
    pub(crate) fn update_quotas(&mut self) {
        let organisations = self.journal.rules.organisations.as_ref();
        let quota_of = |id| organisations.and_then(|all| all.get(id)?.quota);
        let mut all = organisations.into_iter().flat_map(Organisations::iter);
        let active = all.any(|(_, organisation)| organisation.quota.is_some());
        self.quota.borrower.set_quotas(active, quota_of);
        self.quota.lender.retain(|id| quota_of(id).is_some());
    }

    pub(crate) fn next_quota_timer(&self) -> Option<Time> {
        if !self.has_quotas() {
            return None;
        }
        if !self.quota.returned.is_empty() {
            return Some(Time::ZERO);
        }
        let oldest = self.quota.waiting.first();
        let give_up = oldest.map(|(_, (_, arrival))| arrival.at + MAX_WAIT);
        let timers = [self.quota.borrower.next_timer(), give_up];
        timers.into_iter().flatten().min()
    }

    pub(crate) fn tick_quotas(&mut self, now: Time) {
        if !self.has_quotas() {
            return;
        }
        for organisation in std::mem::take(&mut self.quota.returned) {
            self.serve_waiting(now, organisation);
        }
        self.give_up_waiting(now);
        if !self.quota.borrower.is_due(now) {
            return;
        }
        self.elect(now);
        for group in 0..GROUPS {
            let mut lender = self.quota.elected[usize::from(group)];
            if lender.is_some_and(|lender| self.quota.borrower.avoids(now, group, lender)) {
                lender = self.elected(now, group);
            }
            if let Some(loans) = self.quota.borrower.poll(now, group, lender) {
                self.ask_lender(now, group, loans);
            }
        }
    }

    fn elect(&mut self, now: Time) {
        let held = self.quota.elected_at;
        if held.is_some_and(|at| now.since(at) < ELECTION_TIME) {
            return;
        }
        self.quota.elected_at = Some(now);
        self.quota.voters = self.members.voters(now);
        for group in 0..GROUPS {
            self.quota.elected[usize::from(group)] = self.elected(now, group);
        }
    }

    /// The node that lends in a group: the first by rendezvous hash.
    fn elected(&self, now: Time, group: u8) -> Option<Incarnation> {
        let live = self.members.peers();
        let live = live.filter(|peer| peer.state == PeerState::Alive);
        let peers = live.map(|peer| peer.instance.incarnation);
        let me = (!self.stopping).then_some(self.me.incarnation);
        let borrower = &self.quota.borrower;
        let nodes = peers
            .chain(me)
            .filter(|node| !borrower.avoids(now, group, *node));
        nodes.max_by_key(|node| (hash64(&(group, node)), *node))
    }

    fn ask_lender(&mut self, now: Time, group: u8, loans: LoanRequest) {
        let LoanRequest {
            lender,
            number,
            vote,
            wanted,
        } = loans;
        let me = self.me.incarnation;
        if lender == me {
            let (stamp, lent) = self.lend(now, group, me, vote, &wanted);
            return self.on_lent(now, me, group, number, stamp, &lent);
        }
        let Some(peer) = self.members.get(lender) else {
            return;
        };
        let to = peer.instance.addr;
        let message = QuotaMessage::Borrow {
            from: me,
            to: lender,
            group,
            number,
            vote,
            wanted,
        };
        self.send_quota(to, message);
    }

    pub(crate) fn on_quota_message(&mut self, now: Time, addr: SocketAddr, message: QuotaMessage) {
        let me = self.me.incarnation;
        match message {
            QuotaMessage::Borrow {
                from,
                to,
                group,
                number,
                vote,
                wanted,
            } if to == me && group < GROUPS => {
                self.elect(now);
                let (stamp, lent) = self.lend(now, group, from, vote, &wanted);
                let message = QuotaMessage::Lend {
                    from: me,
                    to: from,
                    group,
                    number,
                    stamp,
                    lent,
                };
                self.send_quota(addr, message);
            }
            QuotaMessage::Lend {
                from,
                to,
                group,
                number,
                stamp,
                lent,
            } if to == me && group < GROUPS => {
                self.on_lent(now, from, group, number, stamp, &lent);
            }
            // For an earlier incarnation at this address, which lends nothing any more and holds no vote.
            QuotaMessage::Borrow {
                from,
                to,
                group,
                number,
                ..
            } => {
                let message = QuotaMessage::Lend {
                    from: to,
                    to: from,
                    group,
                    number,
                    stamp: 0,
                    lent: Vec::new(),
                };
                self.send_quota(addr, message);
            }
            QuotaMessage::Lend { .. } => {}
        }
    }

    fn lend(
        &mut self,
        now: Time,
        group: u8,
        from: Incarnation,
        vote: u64,
        wanted: &[(OrganisationId, u16)],
    ) -> (u64, Vec<Loan>) {
        if self.stopping {
            return (0, Vec::new());
        }
        let voters = self.quota.voters;
        let lender = &mut self.quota.lender;
        lender.on_vote(now, group, from, vote, voters);
        let Some(organisations) = &self.journal.rules.organisations else {
            return (Lender::stamp(now), Vec::new());
        };
        let mut lent = Vec::new();
        for (id, tokens) in wanted {
            let quota = organisations.get(*id).and_then(|found| found.quota);
            if let Some(quota) = quota.filter(|_| group_of(*id) == group) {
                lent.push(lender.lend(now, *id, quota, *tokens, voters));
            }
        }
        (Lender::stamp(now), lent)
    }

    fn on_lent(
        &mut self,
        now: Time,
        from: Incarnation,
        group: u8,
        number: u64,
        stamp: u64,
        lent: &[Loan],
    ) {
        let borrower = &mut self.quota.borrower;
        let loans = borrower.on_lend(now, from, group, number, stamp, lent);
        for loan in loans {
            self.serve_waiting(now, loan.organisation);
        }
    }

    /// Admits requests that wait, as far as there are tokens.
    fn serve_waiting(&mut self, now: Time, id: OrganisationId) {
        let waiting = self.quota.waiting.iter();
        let waiting = waiting.filter(|(_, (organisation, _))| *organisation == id);
        let tokens: Vec<RequestToken> = waiting.map(|(token, _)| *token).collect();
        for token in tokens {
            match self.quota.borrower.take_waiting(now, id) {
                Some(credit) => {
                    if let Some((_, arrival)) = self.quota.waiting.shift_remove(&token) {
                        self.on_credit(now, arrival, credit);
                    }
                }
                None => return,
            }
        }
    }

    /// A request did not run, so its token may admit another one.
    pub(crate) fn return_quota_token(&mut self, now: Time, credit: Option<Credit>) {
        let Some(credit) = credit else {
            return;
        };
        self.quota.borrower.put_back(now, credit);
        if self.quota.has_waiting() {
            self.quota.returned.push(credit.organisation);
        }
    }

    /// A request finds no token here.
    pub(crate) fn wait_for_quota(
        &mut self,
        now: Time,
        arrival: Arrival,
        organisation: OrganisationId,
    ) {
        if self.quota.waiting.len() >= MAX_WAITING {
            return self.refuse_for_quota(arrival, Reason::QuotaUnknown);
        }
        self.quota.borrower.wait(now, organisation);
        let token = arrival.token;
        self.quota.waiting.insert(token, (organisation, arrival));
    }

    /// Whether a request waited whose caller has gone.
    pub(crate) fn cancel_quota_wait(&mut self, token: RequestToken) -> bool {
        let Some((organisation, _)) = self.quota.waiting.shift_remove(&token) else {
            return false;
        };
        self.quota.borrower.stop_waiting(organisation);
        true
    }

    fn give_up_waiting(&mut self, now: Time) {
        while let Some((token, (_, arrival))) = self.quota.waiting.first() {
            if now < arrival.at + MAX_WAIT {
                return;
            }
            let token = *token;
            self.refuse_waiting(token);
        }
    }

    fn refuse_waiting(&mut self, token: RequestToken) {
        if let Some((organisation, arrival)) = self.quota.waiting.shift_remove(&token) {
            let reason = match self.quota.borrower.was_short(organisation) {
                true => Reason::QuotaExceeded,
                false => Reason::QuotaUnknown,
            };
            self.quota.borrower.stop_waiting(organisation);
            self.refuse_for_quota(arrival, reason);
        }
    }

    fn refuse_for_quota(&mut self, arrival: Arrival, reason: Reason) {
        let retry_after = match reason {
            Reason::QuotaExceeded => RETRY_EXCEEDED.mul_f64(self.rng.random_range(1.0..2.0)),
            _ => RETRY_UNKNOWN,
        };
        self.refuse_unopened(
            RefusedRequest::from(&arrival),
            Refusal::new(reason, retry_after),
        );
    }

    /// A node that stops lends no more, and says so to whoever asks.
    pub(crate) fn resign_lender(&mut self, now: Time) {
        let voters = self.quota.voters;
        self.quota.lender.resign(now, voters);
        self.quota.invalidate_election();
    }

    fn send_quota(&mut self, to: SocketAddr, message: QuotaMessage) {
        let datagram = Datagram::Quota {
            version: PROTOCOL_VERSION,
            message,
        };
        self.out.push(Output::Datagram { to, datagram });
    }
}
