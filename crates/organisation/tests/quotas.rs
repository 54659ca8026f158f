//! Enforcement of one quota by many simulated nodes, over a network with delays, losses and
//! partitions, with nodes that stop, freeze and restart.

use bilberry_organisation::group_of;
use bilberry_organisation::Borrower;
use bilberry_organisation::Lender;
use bilberry_organisation::LoanRequest;
use bilberry_organisation::QuotaTolerance;
use proto::hash64;
use proto::Incarnation;
use proto::Loan;
use proto::OrganisationId;
use rand::rngs::StdRng;
use rand::RngExt;
use rand::SeedableRng;
use rules::Quota;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::Time;

const ORGANISATION: OrganisationId = OrganisationId(4);
const TICK: Duration = Duration::from_millis(5);
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Delay until nodes notice changes of other nodes.
const MEMBERSHIP_DELAY: Duration = Duration::from_millis(1500);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn quota(rate: u64, burst: u32) -> Quota {
    Quota {
        per_kilosecond: rate * 1000,
        burst,
    }
}

enum Message {
    Borrow {
        from: Incarnation,
        addr: usize,
        to: Incarnation,
        request_id: u64,
        vote_stamp: u64,
        wanted: u16,
    },
    Lend {
        from: Incarnation,
        to: Incarnation,
        request_id: u64,
        stamp: u64,
        loan: Option<Loan>,
    },
}

struct Node {
    incarnation: Incarnation,
    borrower: Borrower,
    lender: Lender,
    up: bool,
    /// The node is frozen until this time; messages to it wait.
    frozen_until: Time,
    backlog: VecDeque<Message>,
    /// Arrival times of the requests that wait for a token.
    waiting: VecDeque<Time>,
    /// The side of the network partition that the node is on.
    partition_side: u8,
    /// Requests per second that arrive at the node.
    demand: f64,
}

/// A node as seen by others: its process, whether it is up, and its side of the partition.
type NodeView = (Incarnation, bool, u8);

struct Fleet {
    now: Time,
    rng: StdRng,
    nodes: Vec<Node>,
    /// Nodes in the order in which they are chosen as lender.
    lender_order: Vec<usize>,
    /// Snapshots of the nodes' state. Nodes see the first, which lags behind by
    /// [`MEMBERSHIP_DELAY`].
    views: VecDeque<(Time, Vec<NodeView>)>,
    messages: BTreeMap<(Time, u64), (usize, Message)>,
    sent_count: u64,
    started_count: u64,
    /// Probability that a message between two nodes is lost.
    loss_probability: f64,
    quota: Quota,
    admitted: Vec<Time>,
    offered: u64,
    refused: u64,
}

impl Fleet {
    fn new(seed: u64, nodes: usize, quota: Quota, demand: impl Fn(usize) -> f64) -> Self {
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
            quota,
            admitted: Vec::new(),
            offered: 0,
            refused: 0,
        };
        for index in 0..nodes {
            let node = fleet.start_process(demand(index));
            fleet.nodes.push(node);
        }
        fleet.lender_order = (0..nodes).collect();
        fleet
    }

    fn start_process(&mut self, demand: f64) -> Node {
        self.started_count += 1;
        let mut borrower = Borrower::new(QuotaTolerance::default());
        borrower.set_quotas(true, |_| Some(self.quota));
        Node {
            incarnation: Incarnation(self.started_count),
            borrower,
            lender: Lender::new(QuotaTolerance::default()),
            up: true,
            frozen_until: Time::ZERO,
            backlog: VecDeque::new(),
            waiting: VecDeque::new(),
            partition_side: 0,
            demand,
        }
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.nodes[index].waiting.clear();
        self.nodes[index].backlog.clear();
    }

    fn restart(&mut self, index: usize) {
        let (demand, partition_side) = (self.nodes[index].demand, self.nodes[index].partition_side);
        let node = self.start_process(demand);
        self.nodes[index] = Node {
            partition_side,
            ..node
        };
    }

    fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
        for node in &mut self.nodes {
            node.borrower.set_quotas(true, |_| Some(quota));
        }
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
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
        for index in 0..self.nodes.len() {
            if self.nodes[index].up && self.now >= self.nodes[index].frozen_until {
                for message in std::mem::take(&mut self.nodes[index].backlog) {
                    self.handle(index, message);
                }
                self.serve(index);
            }
        }
    }

    fn serve(&mut self, index: usize) {
        let now = self.now;
        let expected = self.nodes[index].demand * TICK.as_secs_f64();
        let arrivals = expected as u64 + u64::from(self.rng.random_bool(expected.fract()));
        let node = &mut self.nodes[index];
        for _ in 0..arrivals {
            self.offered += 1;
            match node.borrower.try_spend(now, ORGANISATION, self.quota) {
                Some(_) => self.admitted.push(now),
                None => {
                    node.borrower.start_waiting(now, ORGANISATION);
                    node.waiting.push_back(now);
                }
            }
        }
        while node
            .waiting
            .front()
            .is_some_and(|arrived| *arrived + MAX_WAIT <= now)
        {
            node.waiting.pop_front();
            node.borrower.stop_waiting(ORGANISATION);
            self.refused += 1;
        }
        if !node.borrower.is_due(now) {
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

    /// Returns the first node in hash order that node `index` considers reachable.
    fn elected(&self, index: usize) -> Option<(usize, Incarnation)> {
        let (_, view) = self.views.front()?;
        let partition_side = view.get(index)?.2;
        let borrower = &self.nodes[index].borrower;
        let mut live = self.lender_order.iter().map(|to| (*to, view[*to]));
        live.find_map(|(to, (node, up, other_side))| {
            let avoided = borrower.avoids(self.now, group_of(ORGANISATION), node);
            (up && other_side == partition_side && !avoided).then_some((to, node))
        })
    }

    fn borrow(&mut self, index: usize, to: usize, request: LoanRequest) {
        let wanted = request.wanted.first().map_or(0, |(_, tokens)| *tokens);
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

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_partitioned = self.nodes[from].partition_side != self.nodes[to].partition_side;
        if from != to && (is_partitioned || self.rng.random_bool(self.loss_probability)) {
            return;
        }
        // One packet in a hundred is delayed for long.
        let delay = match self.rng.random_bool(0.01) {
            true => self.rng.random_range(1..3000),
            false => self.rng.random_range(1..25),
        };
        self.sent_count += 1;
        self.messages
            .insert((self.now + ms(delay), self.sent_count), (to, message));
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        if self.now < node.frozen_until {
            return node.backlog.push_back(message);
        }
        self.handle(to, message);
    }

    fn handle(&mut self, index: usize, message: Message) {
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
                let loan = (wanted > 0).then(|| {
                    node.lender
                        .lend(now, ORGANISATION, self.quota, wanted, voters)
                });
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
                node.borrower
                    .on_lend(now, from, group, request_id, stamp, &loans);
                while !node.waiting.is_empty() {
                    if node.borrower.try_spend_waiting(now, ORGANISATION).is_none() {
                        break;
                    }
                    node.waiting.pop_front();
                    self.admitted.push(now);
                }
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
    fn max_in_window(&self) -> usize {
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

    fn check_bound(&self, quota: Quota, context: &str) {
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
fn random_faults(fleet: &mut Fleet, steps: usize) {
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

#[test]
fn quota_holds_under_random_faults() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = [3, 7, 24, 60][rng.random_range(0..4)];
        let rate = [2, 16, 90, 300][rng.random_range(0..4)];
        let quota = quota(rate, rng.random_range(0..=rate as u32));
        // Demand exceeds the quota, spread evenly or mostly at one node.
        let total_demand = rate as f64 * rng.random_range(1.0..8.0);
        let skewed = rng.random_bool(0.5);
        let mut fleet = Fleet::new(seed, nodes, quota, |index| match skewed {
            true if index == 0 => total_demand * 0.8,
            true => total_demand * 0.2 / nodes as f64,
            false => total_demand / nodes as f64,
        });
        fleet.run_for(ms(3000));
        random_faults(&mut fleet, 14);
        fleet.check_bound(quota, &format!("seed {seed}, {nodes} nodes, {quota:?}"));
    }
}

#[test]
fn quota_holds_on_700_nodes_through_a_partition_and_loss_of_the_lender() {
    let quota = quota(200, 200);
    let mut fleet = Fleet::new(1, 700, quota, |_| 1.0);
    fleet.run_for(ms(4000));
    for index in 0..350 {
        fleet.nodes[index].partition_side = 1;
    }
    fleet.run_for(ms(3000));
    let lender = fleet.elected(699).map(|(lender, _)| lender).unwrap();
    fleet.kill(lender);
    fleet.run_for(ms(2500));
    fleet
        .nodes
        .iter_mut()
        .for_each(|node| node.partition_side = 0);
    fleet.run_for(ms(3000));
    fleet.check_bound(quota, "700 nodes");
}

/// Asserts that less than a fraction `max_refused` of requests is refused while demand stays below
/// the quota.
fn check_refused(seed: u64, nodes: usize, quota: Quota, partitioned: bool, max_refused: f64) {
    let demand = quota.rate() * 0.62 / nodes as f64;
    let mut fleet = Fleet::new(seed, nodes, quota, |_| demand);
    fleet.nodes.iter_mut().for_each(|node| node.demand = 0.0);
    fleet.run_for(ms(4000));
    fleet.nodes.iter_mut().for_each(|node| node.demand = demand);
    fleet.run_for(ms(5000));
    if partitioned {
        for index in 0..nodes / 6 {
            fleet.nodes[index].partition_side = 1;
        }
    }
    fleet.run_for(ms(15_000));
    let refused = fleet.refused as f64 / fleet.offered as f64;
    assert!(
        refused < max_refused,
        "{nodes} nodes, {quota:?}, partitioned {partitioned}: {refused:.4} refused"
    );
}

#[test]
fn requests_below_the_quota_are_admitted_without_faults() {
    for (rate, nodes) in [(4, 60), (16, 60), (90, 60), (288, 60), (288, 3), (288, 700)] {
        check_refused(1, nodes, quota(rate, rate as u32), false, 0.01);
    }
}

#[test]
fn requests_below_the_quota_are_admitted_during_a_partition() {
    for rate in [16, 90, 288] {
        check_refused(2, 60, quota(rate, rate as u32), true, 0.05);
    }
}

#[test]
fn lowered_quota_takes_effect_within_a_window() {
    let mut fleet = Fleet::new(3, 24, quota(200, 200), |_| 20.0);
    fleet.run_for(ms(6000));
    let lower = quota(40, 40);
    fleet.set_quota(lower);
    fleet.run_for(ms(5000));
    fleet.admitted.clear();
    fleet.run_for(ms(8000));
    fleet.check_bound(lower, "after a window");
}

#[test]
fn raised_quota_takes_effect_within_a_second() {
    let mut fleet = Fleet::new(4, 24, quota(40, 40), |_| 6.0);
    fleet.run_for(ms(6000));
    fleet.set_quota(quota(300, 300));
    fleet.run_for(ms(1000));
    let (offered, refused) = (fleet.offered, fleet.refused);
    fleet.run_for(ms(5000));
    let refused = (fleet.refused - refused) as f64 / (fleet.offered - offered) as f64;
    assert!(refused < 0.01, "{refused:.4} refused");
}

#[test]
fn delayed_vote_is_not_counted_twice() {
    let (group, voters) = (group_of(ORGANISATION), 1);
    let mut lender = Lender::new(QuotaTolerance::default());
    let issued_at = Time::ZERO + ms(1000);
    let stamp = Lender::stamp(issued_at);
    // The vote was sent at once but delayed in a socket buffer while its owner gave it to another
    // node.
    let arrived_at = issued_at + ms(5000);
    lender.on_vote(arrived_at, group, Incarnation(2), stamp, voters);
    let later = arrived_at + ms(1000);
    let loan = lender.lend(later, ORGANISATION, quota(100, 100), 10, voters);
    assert_eq!(loan.tokens, 0);
}

#[test]
fn poll_is_not_due_at_once_without_a_lender() {
    let mut borrower = Borrower::new(QuotaTolerance::default());
    let quota = quota(10, 10);
    borrower.set_quotas(true, |_| Some(quota));
    let now = Time::ZERO + ms(1000);
    assert_eq!(borrower.try_spend(now, ORGANISATION, quota), None);
    borrower.start_waiting(now, ORGANISATION);
    for group in 0..bilberry_organisation::GROUP_COUNT {
        assert_eq!(borrower.poll(now, group, None), None);
    }
    assert!(!borrower.is_due(now));
    let requested = borrower.poll(now + ms(100), group_of(ORGANISATION), Some(Incarnation(1)));
    assert_eq!(requested.unwrap().wanted, [(ORGANISATION, 1)]);
}

#[test]
fn requests_beyond_the_in_flight_limit_are_sent_later() {
    let mut borrower = Borrower::new(QuotaTolerance::default());
    let quota = quota(1000, 1000);
    let group = group_of(ORGANISATION);
    borrower.set_quotas(true, |_| Some(quota));
    let mut now = Time::ZERO + ms(1000);
    let mut requested = 0;
    for _ in 0..200 {
        assert_eq!(borrower.try_spend(now, ORGANISATION, quota), None);
        borrower.start_waiting(now, ORGANISATION);
        if let Some(request) = borrower.poll(now, group, Some(Incarnation(1))) {
            requested += request.wanted.first().map_or(0, |(_, tokens)| *tokens);
        }
        now = now + Duration::from_micros(200);
    }
    // None of the requests is answered, so all of them time out.
    now = now + ms(200);
    let retried = borrower.poll(now, group, Some(Incarnation(1))).unwrap();
    assert!(
        requested > 0 && retried.wanted[0].1 >= 200,
        "{requested} requested, then {retried:?}"
    );
}
