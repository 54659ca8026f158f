//! The requests of a simulated fleet, and how its nodes allocate tokens to them.

use crate::fleet::ms;
use crate::fleet::Fleet;
use crate::fleet::MAX_WAIT;
use crate::fleet::ORGANISATION;
use bilberry_organisation::Refused;
use bilberry_organisation::Returned;
use bilberry_organisation::TokenClaim;
use bilberry_organisation::TokenRank;
use proto::Loan;
use proto::TokenDemand;
use rand::RngExt;
use std::time::Duration;
use stdx::Time;

/// Objectives of urgent and of patient requests, the timeout of one attempt, and how long a run
/// takes.
pub(crate) const URGENT_OBJECTIVE: Duration = Duration::from_millis(500);
pub(crate) const PATIENT_OBJECTIVE: Duration = Duration::from_secs(4);
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1500);
const RUN_TIME: Duration = Duration::from_millis(100);

/// A request of a caller.
#[derive(Clone, Copy)]
pub(crate) struct Work {
    pub(crate) caller: u64,
    pub(crate) is_urgent: bool,
    /// When the caller's first attempt arrived, and this one.
    pub(crate) sent_at: Time,
    arrived: Time,
    attempts: u32,
    /// What the node knows of the first arrival.
    first_at: Time,
    /// Whether it returns for a token that it was promised.
    was_promised: bool,
}

/// What became of the requests of a node. "In time" is within the objective, counted from the
/// caller's first attempt.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) urgent: u64,
    pub(crate) urgent_in_time: u64,
    pub(crate) patient: u64,
    pub(crate) patient_in_time: u64,
    /// Callers that returned after their retry delay, with a promise, and how many of them got a
    /// token in time.
    pub(crate) promised: u64,
    pub(crate) promised_in_time: u64,
}

impl Work {
    pub(crate) fn new(now: Time, caller: u64, is_urgent: bool) -> Self {
        Self {
            caller,
            is_urgent,
            sent_at: now,
            arrived: now,
            attempts: 1,
            first_at: now,
            was_promised: false,
        }
    }

    fn objective(&self) -> Duration {
        match self.is_urgent {
            true => URGENT_OBJECTIVE,
            false => PATIENT_OBJECTIVE,
        }
    }

    fn claim(&self, now: Time) -> TokenClaim {
        let latest_start = self.first_at + (self.objective() - RUN_TIME);
        let timeout = ATTEMPT_TIMEOUT.min(self.objective());
        TokenClaim {
            rank: TokenRank {
                is_lookup: false,
                priority: if self.is_urgent { 0 } else { 2 },
            },
            is_urgent: self.is_urgent,
            latest_start,
            wait_until: latest_start.min(self.arrived + (timeout - RUN_TIME)),
            max_wait: timeout - RUN_TIME,
            retry_limit: self.longest_delay(now),
            was_promised: self.was_promised,
        }
    }

    /// A third of the caller's remaining time, the longest retry delay that it honours.
    fn longest_delay(&self, now: Time) -> Duration {
        now.until(self.sent_at + self.objective()) / 3
    }
}

impl Fleet {
    /// A fleet that allocates tokens by slack, or by order of arrival. `demand` returns the urgent
    /// and the patient requests per second of each node.
    pub(crate) fn with_urgency(
        seed: u64,
        nodes: usize,
        quota: rules::Quota,
        by_slack: bool,
        demand: impl Fn(usize) -> (f64, f64),
    ) -> Self {
        let mut fleet = Self::new(seed, nodes, quota, |index| demand(index).1);
        fleet.by_slack = by_slack;
        fleet.callers_return = true;
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            node.urgent_demand = demand(index).0;
            node.borrower.set_by_urgency(by_slack);
        }
        fleet
    }

    /// The sum of the counts of all nodes.
    pub(crate) fn counts(&self) -> Counts {
        let nodes = self.nodes.iter();
        nodes.fold(Counts::default(), |sum, node| Counts {
            urgent: sum.urgent + node.counts.urgent,
            urgent_in_time: sum.urgent_in_time + node.counts.urgent_in_time,
            patient: sum.patient + node.counts.patient,
            patient_in_time: sum.patient_in_time + node.counts.patient_in_time,
            promised: sum.promised + node.counts.promised,
            promised_in_time: sum.promised_in_time + node.counts.promised_in_time,
        })
    }

    /// Requests that arrive at a node in this tick: new ones, and those of callers that return.
    pub(crate) fn take_arrivals(&mut self, index: usize) {
        for is_urgent in [false, true] {
            let rate = match is_urgent {
                true => self.nodes[index].urgent_demand,
                false => self.nodes[index].demand,
            };
            if rate <= 0.0 {
                continue;
            }
            for _ in 0..self.arrivals(rate) {
                self.caller_count += 1;
                self.offered += 1;
                let counts = &mut self.nodes[index].counts;
                match is_urgent {
                    true => counts.urgent += 1,
                    false => counts.patient += 1,
                }
                self.offer(index, Work::new(self.now, self.caller_count, is_urgent));
            }
        }
    }

    /// Lets the callers return whose time has come.
    pub(crate) fn take_returns(&mut self) {
        while let Some(entry) = self.returning.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (index, work) = entry.remove();
            if self.nodes[index].up {
                let work = Work {
                    arrived: self.now,
                    first_at: self.now,
                    attempts: work.attempts + 1,
                    ..work
                };
                self.offer(index, work);
            }
        }
    }

    pub(crate) fn offer(&mut self, index: usize, mut work: Work) {
        let (now, quota) = (self.now, self.quota);
        let node = &mut self.nodes[index];
        if !self.by_slack {
            match node.borrower.try_spend(now, ORGANISATION, quota) {
                Some(_) => self.admit(index, work),
                None => {
                    node.borrower.start_waiting(now, ORGANISATION);
                    node.waiting.push_back(work);
                }
            }
            return;
        }
        if let Returned::OnTime(refused) = node.returns.on_request(now, work.caller) {
            work.first_at = refused.first_at;
            let promise = refused.promise;
            work.was_promised = promise.is_some_and(|promise| node.queue.redeem(promise));
            node.counts.promised += u64::from(work.was_promised);
        }
        node.borrower.record_demand(now, ORGANISATION, quota);
        let claim = work.claim(now);
        let available = node.borrower.available(now, ORGANISATION);
        if node.queue.may_take(now, &claim, available)
            && node.borrower.try_spend_waiting(now, ORGANISATION).is_some()
        {
            self.admit(index, work);
        } else if node.queue.should_wait(now, &claim) {
            if let (_, Some((_, displaced))) = node.queue.push(now, claim, work) {
                self.refuse(index, displaced);
            }
        } else {
            self.refuse(index, work);
        }
        self.update_demand(index);
    }

    fn update_demand(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let (all, urgent) = node.queue.demand(self.now);
        node.borrower
            .set_waiting(self.now, ORGANISATION, all, urgent);
    }

    fn admit(&mut self, index: usize, work: Work) {
        self.admitted.push(self.now);
        let in_time = self.now + RUN_TIME <= work.sent_at + work.objective();
        let counts = &mut self.nodes[index].counts;
        match work.is_urgent {
            true => counts.urgent_in_time += u64::from(in_time),
            false => counts.patient_in_time += u64::from(in_time),
        }
        counts.promised_in_time += u64::from(work.was_promised && in_time);
    }

    fn refuse(&mut self, index: usize, work: Work) {
        let now = self.now;
        self.refused += 1;
        let limit = work.longest_delay(now);
        let told = match self.by_slack {
            false => ms(self.rng.random_range(500..1000)),
            true => {
                let node = &mut self.nodes[index];
                let advice = node.queue.advise_retry(now, &work.claim(now), true);
                let refused = Refused {
                    first_at: work.first_at,
                    return_at: now + advice.retry_after.min(limit),
                    objective: work.first_at + work.objective(),
                    promise: advice.promise,
                };
                node.returns.insert(work.caller, refused);
                advice.retry_after
            }
        };
        if self.callers_return && work.attempts == 1 && !limit.is_zero() {
            let key = (now + told.min(limit), work.caller);
            self.returning.insert(key, (index, work));
        }
    }

    pub(crate) fn refuse_expired(&mut self, index: usize) {
        let now = self.now;
        if !self.by_slack {
            let expired = |work: &Work| work.arrived + MAX_WAIT <= now;
            while self.nodes[index].waiting.front().is_some_and(expired) {
                let node = &mut self.nodes[index];
                node.borrower.stop_waiting(ORGANISATION);
                if let Some(work) = node.waiting.pop_front() {
                    self.refuse(index, work);
                }
            }
            return;
        }
        let expired = self.nodes[index].queue.take_expired(now);
        for (_, work) in expired {
            self.refuse(index, work);
        }
        if !self.nodes[index].queue.is_idle(now) {
            self.nodes[index].queue.drop_expired_promises(now);
            self.admit_waiting(index);
            self.update_demand(index);
        }
    }

    pub(crate) fn on_loans(&mut self, index: usize, loans: &[(TokenDemand, Loan)]) {
        let now = self.now;
        let node = &mut self.nodes[index];
        if !self.by_slack {
            while !self.nodes[index].waiting.is_empty() {
                let node = &mut self.nodes[index];
                if node.borrower.try_spend_waiting(now, ORGANISATION).is_none() {
                    break;
                }
                if let Some(work) = node.waiting.pop_front() {
                    self.admit(index, work);
                }
            }
            return;
        }
        for (demand, loan) in loans {
            node.queue.record_loan(now, *demand, loan.tokens);
        }
        self.admit_waiting(index);
        for (_, work) in self.nodes[index].queue.take_infeasible(now) {
            self.refuse(index, work);
        }
        self.update_demand(index);
    }

    fn admit_waiting(&mut self, index: usize) {
        let now = self.now;
        loop {
            let node = &mut self.nodes[index];
            let available = node.borrower.available(now, ORGANISATION);
            let Some((_, work)) = node.queue.pop(now, available) else {
                return;
            };
            let token = node.borrower.try_spend_waiting(now, ORGANISATION);
            assert!(token.is_some(), "a token was available");
            self.admit(index, work);
        }
    }
}
