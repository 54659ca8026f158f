//! A simulated fleet of nodes that share one quota.

use crate::work::Counts;
use crate::work::Work;
use bilberry_organisation::group_of;
use bilberry_organisation::Borrower;
use bilberry_organisation::Lender;
use bilberry_organisation::LoanRequest;
use bilberry_organisation::QuotaTolerance;
use bilberry_organisation::Returns;
use bilberry_organisation::TokenQueue;
use proto::hash64;
use proto::Incarnation;
use proto::Loan;
use proto::OrganisationId;
use proto::TokenDemand;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use rules::Quota;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

pub(crate) const ORGANISATION: OrganisationId = OrganisationId(4);
pub(crate) const TICK: Duration = Duration::from_millis(5);
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(300);

/// Delay until nodes notice changes of other nodes.
pub(crate) const MEMBERSHIP_DELAY: Duration = Duration::from_millis(1500);

pub(crate) fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub(crate) fn quota(rate: u64, burst: u32) -> Quota {
    Quota {
        per_kilosecond: rate * 1000,
        burst,
    }
}

#[derive(Clone)]
pub(crate) enum Message {
    Borrow {
        from: Incarnation,
        addr: usize,
        to: Incarnation,
        request_id: u64,
        vote_stamp: u64,
        wanted: Option<TokenDemand>,
    },
    Lend {
        from: Incarnation,
        to: Incarnation,
        request_id: u64,
        stamp: u64,
        loan: Option<Loan>,
    },
}

pub(crate) struct Node {
    pub(crate) incarnation: Incarnation,
    pub(crate) borrower: Borrower,
    pub(crate) lender: Lender,
    pub(crate) up: bool,
    /// The node is frozen until this time; messages to it wait.
    pub(crate) frozen_until: Time,
    backlog: VecDeque<Message>,
    /// Requests that wait for a token for [`MAX_WAIT`] in order of arrival.
    pub(crate) waiting: VecDeque<Work>,
    /// Requests that wait by slack.
    pub(crate) queue: TokenQueue<Work>,
    pub(crate) returns: Returns,
    /// The side of the network partition that the node is on.
    pub(crate) partition_side: u8,
    /// Patient requests per second that arrive at the node.
    pub(crate) demand: f64,
    /// Urgent requests per second that arrive at the node.
    pub(crate) urgent_demand: f64,
    pub(crate) counts: Counts,
}

/// A node as seen by others: its process, whether it is up, and its side of the partition.
pub(crate) type NodeView = (Incarnation, bool, u8);

pub(crate) struct Fleet {
    pub(crate) now: Time,
    pub(crate) rng: StdRng,
    pub(crate) nodes: Vec<Node>,
    /// Nodes in the order in which they are chosen as lender.
    lender_order: Vec<usize>,
    /// Snapshots of the nodes' state. Nodes see the first, which lags behind by
    /// [`MEMBERSHIP_DELAY`].
    views: VecDeque<(Time, Vec<NodeView>)>,
    messages: BTreeMap<(Time, u64), (usize, Message)>,
    sent_count: u64,
    started_count: u64,
    /// Probability that a message between two nodes is lost.
    pub(crate) loss_probability: f64,
    /// Probability that a message between two nodes arrives twice.
    pub(crate) duplicate_probability: f64,
    /// Whether nodes allocate tokens by slack.
    pub(crate) by_slack: bool,
    /// Whether refused callers return.
    pub(crate) callers_return: bool,
    pub(crate) quota: Quota,
    pub(crate) admitted: Vec<Time>,
    pub(crate) offered: u64,
    pub(crate) refused: u64,
    /// Refused callers that return, with their node.
    pub(crate) returning: BTreeMap<(Time, u64), (usize, Work)>,
    pub(crate) caller_count: u64,
}

impl Fleet {
    pub(crate) fn new(
        seed: u64,
        nodes: usize,
        quota: Quota,
        demand: impl Fn(usize) -> f64,
    ) -> Self {
        let mut fleet = Self {
            now: Time::ZERO,
            rng: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            lender_order: Vec::new(),
            views: VecDeque::new(),
            messages: BTreeMap::new(),
            sent_count: 0,
            started_count: 0,
            loss_probability: 0.0,
            duplicate_probability: 0.0,
            by_slack: false,
            callers_return: false,
            quota,
            admitted: Vec::new(),
            offered: 0,
            refused: 0,
            returning: BTreeMap::new(),
            caller_count: 0,
        };
        for index in 0..nodes {
            let node = fleet.start_process(demand(index));
            fleet.nodes.push(node);
        }
        fleet.lender_order = (0..nodes).collect();
        fleet
    }

    pub(crate) fn start_process(&mut self, demand: f64) -> Node {
        self.started_count += 1;
        let mut borrower = Borrower::new(QuotaTolerance::default());
        borrower.set_quotas(true, |_| Some(self.quota));
        borrower.set_by_urgency(self.by_slack);
        Node {
            incarnation: Incarnation(self.started_count),
            borrower,
            lender: Lender::new(QuotaTolerance::default()),
            up: true,
            frozen_until: Time::ZERO,
            backlog: VecDeque::new(),
            waiting: VecDeque::new(),
            queue: TokenQueue::new(Time::ZERO),
            returns: Returns::default(),
            partition_side: 0,
            demand,
            urgent_demand: 0.0,
            counts: Counts::default(),
        }
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.nodes[index].waiting.clear();
        self.nodes[index].queue = TokenQueue::new(self.now);
        self.nodes[index].backlog.clear();
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let (demand, partition_side) = (self.nodes[index].demand, self.nodes[index].partition_side);
        let node = self.start_process(demand);
        self.nodes[index] = Node {
            partition_side,
            urgent_demand: self.nodes[index].urgent_demand,
            counts: self.nodes[index].counts,
            ..node
        };
    }

    pub(crate) fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
        for node in &mut self.nodes {
            node.borrower.set_quotas(true, |_| Some(quota));
        }
    }

    pub(crate) fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now = self.now + TICK;
        let view = self
            .nodes
            .iter()
            .map(|node| (node.incarnation, node.up, node.partition_side));
        self.views.push_back((self.now, view.collect()));
        let mut view_changed = false;
        while self.views.len() > 1 && self.views[1].0 + MEMBERSHIP_DELAY <= self.now {
            self.views.pop_front();
            view_changed = true;
        }
        if view_changed || self.views.len() == 1 {
            let view = &self.views[0].1;
            self.lender_order
                .sort_by_cached_key(|index| std::cmp::Reverse(hash64(&view[*index].0)));
        }
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, message) = entry.remove();
            self.deliver(to, message);
        }
        self.take_returns();
        for index in 0..self.nodes.len() {
            if self.nodes[index].up && self.now >= self.nodes[index].frozen_until {
                for message in std::mem::take(&mut self.nodes[index].backlog) {
                    self.handle(index, message);
                }
                self.serve(index);
            }
        }
    }

    pub(crate) fn serve(&mut self, index: usize) {
        let now = self.now;
        self.take_arrivals(index);
        self.refuse_expired(index);
        if !self.nodes[index].borrower.is_due(now) {
            return;
        }
        let lender = self.elected(index);
        let node = &mut self.nodes[index];
        let (to, lender) = match lender {
            Some((to, lender)) => (to, Some(lender)),
            None => (index, None),
        };
        if let Some(request) = node.borrower.poll(now, group_of(ORGANISATION), lender) {
            self.borrow(index, to, request);
        }
    }

    /// The number of requests that arrive in a tick.
    pub(crate) fn arrivals(&mut self, rate: f64) -> u64 {
        let expected = rate * TICK.as_secs_f64();
        expected as u64 + u64::from(self.rng.random_bool(expected.fract()))
    }

    /// Returns the first node in hash order that node `index` considers reachable.
    pub(crate) fn elected(&self, index: usize) -> Option<(usize, Incarnation)> {
        let (_, view) = self.views.front()?;
        let partition_side = view.get(index)?.2;
        let borrower = &self.nodes[index].borrower;
        let mut live = self.lender_order.iter().map(|to| (*to, view[*to]));
        live.find_map(|(to, (node, up, other_side))| {
            let avoided = borrower.avoids(self.now, group_of(ORGANISATION), node);
            (up && other_side == partition_side && !avoided).then_some((to, node))
        })
    }

    pub(crate) fn borrow(&mut self, index: usize, to: usize, request: LoanRequest) {
        let wanted = request.wanted.first().copied();
        let message = Message::Borrow {
            from: self.nodes[index].incarnation,
            addr: index,
            to: request.lender,
            request_id: request.request_id,
            vote_stamp: request.vote_stamp,
            wanted,
        };
        self.send(index, to, message);
    }

    pub(crate) fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_partitioned = self.nodes[from].partition_side != self.nodes[to].partition_side;
        if from != to && (is_partitioned || self.rng.random_bool(self.loss_probability)) {
            return;
        }
        // One packet in a hundred is delayed for long.
        let delay = match self.rng.random_bool(0.01) {
            true => self.rng.random_range(1..3000),
            false => self.rng.random_range(1..25),
        };
        if self.duplicate_probability > 0.0 && self.rng.random_bool(self.duplicate_probability) {
            let delay = self.rng.random_range(1..500);
            self.enqueue(delay, to, message.clone());
        }
        self.enqueue(delay, to, message);
    }

    fn enqueue(&mut self, delay: u64, to: usize, message: Message) {
        self.sent_count += 1;
        self.messages
            .insert((self.now + ms(delay), self.sent_count), (to, message));
    }

    pub(crate) fn deliver(&mut self, to: usize, message: Message) {
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        if self.now < node.frozen_until {
            return node.backlog.push_back(message);
        }
        self.handle(to, message);
    }

    pub(crate) fn handle(&mut self, index: usize, message: Message) {
        let (now, group, voters) = (self.now, group_of(ORGANISATION), self.nodes.len());
        let node = &mut self.nodes[index];
        match message {
            Message::Borrow {
                from,
                addr,
                to,
                request_id,
                vote_stamp,
                wanted,
            } if to == node.incarnation => {
                node.lender.on_vote(now, group, from, vote_stamp, voters);
                let loan = wanted.map(|wanted| node.lender.lend(now, wanted, self.quota, voters));
                let answer = Message::Lend {
                    from: node.incarnation,
                    to: from,
                    request_id,
                    stamp: Lender::stamp(now),
                    loan,
                };
                self.send(index, addr, answer);
            }
            Message::Lend {
                from,
                to,
                request_id,
                stamp,
                loan,
            } if to == node.incarnation => {
                let loans: Vec<Loan> = loan.into_iter().collect();
                let loans = node
                    .borrower
                    .on_lend(now, from, group, request_id, stamp, &loans);
                self.on_loans(index, &loans);
            }
            Message::Borrow {
                from,
                addr,
                to,
                request_id,
                ..
            } => {
                let answer = Message::Lend {
                    from: to,
                    to: from,
                    request_id,
                    stamp: 0,
                    loan: None,
                };
                self.send(index, addr, answer);
            }
            Message::Lend { .. } => {}
        }
    }

    /// Returns the highest number of requests admitted in any window.
    pub(crate) fn max_in_window(&self) -> usize {
        let window = QuotaTolerance::default().window;
        let mut first = 0;
        let mut highest = 0;
        for (index, time) in self.admitted.iter().enumerate() {
            while self.admitted[first] + window <= *time {
                first += 1;
            }
            highest = highest.max(index + 1 - first);
        }
        highest
    }

    pub(crate) fn check_bound(&self, quota: Quota, context: &str) {
        let nominal = quota.rate() * 5.0 + f64::from(quota.burst);
        let allowed = (nominal * 1.1 + 20.0) as usize;
        let highest = self.max_in_window();
        assert!(
            highest <= allowed,
            "{context}: {highest} admitted in a window, {allowed} allowed"
        );
    }
}

/// Applies a random sequence of partitions, crashes, restarts, freezes and message losses.
pub(crate) fn random_faults(fleet: &mut Fleet, steps: usize) {
    for _ in 0..steps {
        let nodes = fleet.nodes.len();
        let index = fleet.rng.random_range(0..nodes);
        match fleet.rng.random_range(0..9) {
            0 => {
                let probability = fleet.rng.random_range(0.1..0.9);
                for index in 0..nodes {
                    fleet.nodes[index].partition_side =
                        u8::from(fleet.rng.random_bool(probability));
                }
            }
            1 | 2 => fleet
                .nodes
                .iter_mut()
                .for_each(|node| node.partition_side = 0),
            3 => fleet.kill(index),
            4 => {
                let lender = fleet.elected(index).map_or(index, |(lender, _)| lender);
                fleet.kill(lender);
            }
            5 => (0..nodes).for_each(|index| fleet.restart(index)),
            6 => {
                let lender = fleet.elected(index).map_or(index, |(lender, _)| lender);
                let frozen_ms = fleet.rng.random_range(100..4000);
                fleet.nodes[lender].frozen_until = fleet.now + ms(frozen_ms);
            }
            7 => fleet.loss_probability = fleet.rng.random_range(0.0..0.3),
            _ => {
                for index in 0..nodes {
                    if !fleet.nodes[index].up {
                        fleet.restart(index);
                    }
                }
            }
        }
        let pause = fleet.rng.random_range(50..2500);
        fleet.run_for(ms(pause));
    }
}
