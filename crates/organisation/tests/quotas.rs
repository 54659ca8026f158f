//! One quota kept by many nodes: over a network that delays, loses and cuts, with nodes that stop, stand
//! still and start again.

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
const STEP: Duration = Duration::from_millis(5);
const PATIENCE: Duration = Duration::from_millis(300);

/// How long it takes until nodes know of a change of the others.
const NOTICED: Duration = Duration::from_millis(1500);

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
        number: u64,
        vote: u64,
        wanted: u16,
    },
    Lend {
        from: Incarnation,
        to: Incarnation,
        number: u64,
        stamp: u64,
        loan: Option<Loan>,
    },
}

struct Node {
    incarnation: Incarnation,
    borrower: Borrower,
    lender: Lender,
    up: bool,
    /// It stands still until then, and what comes meanwhile waits.
    still_until: Time,
    held: VecDeque<Message>,
    /// Requests that wait, by the time at which they came.
    waiting: VecDeque<Time>,
    /// Which side of a cut it is on, and which sides the node takes the others to be on.
    side: u8,
    /// Requests a second that come to it.
    demand: f64,
}

/// A node as others see it: which process it is, whether it is up, and on which side of a cut.
type Seen = (Incarnation, bool, u8);

struct Fleet {
    now: Time,
    rng: StdRng,
    nodes: Vec<Node>,
    /// The order in which nodes are chosen as lenders, the first choice first.
    order: Vec<usize>,
    /// Whom nodes take for alive and reachable, as it was a while ago.
    views: VecDeque<(Time, Vec<Seen>)>,
    messages: BTreeMap<(Time, u64), (usize, Message)>,
    sent: u64,
    started: u64,
    loss: f64,
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
            order: Vec::new(),
            views: VecDeque::new(),
            messages: BTreeMap::new(),
            sent: 0,
            started: 0,
            loss: 0.0,
            quota,
            admitted: Vec::new(),
            offered: 0,
            refused: 0,
        };
        for at in 0..nodes {
            let node = fleet.process(demand(at));
            fleet.nodes.push(node);
        }
        fleet.order = (0..nodes).collect();
        fleet
    }

    fn process(&mut self, demand: f64) -> Node {
        self.started += 1;
        let mut borrower = Borrower::new(QuotaTolerance::default());
        borrower.set_quotas(true, |_| Some(self.quota));
        Node {
            incarnation: Incarnation(self.started),
            borrower,
            lender: Lender::new(QuotaTolerance::default()),
            up: true,
            still_until: Time::ZERO,
            held: VecDeque::new(),
            waiting: VecDeque::new(),
            side: 0,
            demand,
        }
    }

    fn kill(&mut self, at: usize) {
        self.nodes[at].up = false;
        self.nodes[at].waiting.clear();
        self.nodes[at].held.clear();
    }

    fn restart(&mut self, at: usize) {
        let (demand, side) = (self.nodes[at].demand, self.nodes[at].side);
        let node = self.process(demand);
        self.nodes[at] = Node { side, ..node };
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
        self.now = self.now + STEP;
        let view = self
            .nodes
            .iter()
            .map(|node| (node.incarnation, node.up, node.side));
        self.views.push_back((self.now, view.collect()));
        let mut turned = false;
        while self.views.len() > 1 && self.views[1].0 + NOTICED <= self.now {
            self.views.pop_front();
            turned = true;
        }
        if turned || self.views.len() == 1 {
            let view = &self.views[0].1;
            self.order
                .sort_by_cached_key(|at| std::cmp::Reverse(hash64(&view[*at].0)));
        }
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, message) = entry.remove();
            self.deliver(to, message);
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].up && self.now >= self.nodes[at].still_until {
                for message in std::mem::take(&mut self.nodes[at].held) {
                    self.handle(at, message);
                }
                self.serve(at);
            }
        }
    }

    fn serve(&mut self, at: usize) {
        let now = self.now;
        let expected = self.nodes[at].demand * STEP.as_secs_f64();
        let arrivals = expected as u64 + u64::from(self.rng.random_bool(expected.fract()));
        let node = &mut self.nodes[at];
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
            .is_some_and(|came| *came + PATIENCE <= now)
        {
            node.waiting.pop_front();
            node.borrower.stop_waiting(ORGANISATION);
            self.refused += 1;
        }
        if !node.borrower.is_due(now) {
            return;
        }
        let lender = self.elected(at);
        let node = &mut self.nodes[at];
        let (to, lender) = match lender {
            Some((to, lender)) => (to, Some(lender)),
            None => (at, None),
        };
        if let Some(loans) = node.borrower.poll(now, group_of(ORGANISATION), lender) {
            self.borrow(at, to, loans);
        }
    }

    /// The first by hash of those that the node takes for reachable.
    fn elected(&self, at: usize) -> Option<(usize, Incarnation)> {
        let (_, view) = self.views.front()?;
        let side = view.get(at)?.2;
        let borrower = &self.nodes[at].borrower;
        let mut live = self.order.iter().map(|to| (*to, view[*to]));
        live.find_map(|(to, (node, up, node_side))| {
            let avoided = borrower.avoids(self.now, group_of(ORGANISATION), node);
            (up && node_side == side && !avoided).then_some((to, node))
        })
    }

    fn borrow(&mut self, at: usize, to: usize, loans: LoanRequest) {
        let wanted = loans.wanted.first().map_or(0, |(_, tokens)| *tokens);
        let message = Message::Borrow {
            from: self.nodes[at].incarnation,
            addr: at,
            to: loans.lender,
            number: loans.request_id,
            vote: loans.vote_stamp,
            wanted,
        };
        self.send(at, to, message);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.nodes[from].side != self.nodes[to].side;
        if from != to && (is_cut || self.rng.random_bool(self.loss)) {
            return;
        }
        // A packet in a hundred is held up for long.
        let delay = match self.rng.random_bool(0.01) {
            true => self.rng.random_range(1..3000),
            false => self.rng.random_range(1..25),
        };
        self.sent += 1;
        self.messages
            .insert((self.now + ms(delay), self.sent), (to, message));
    }

    fn deliver(&mut self, to: usize, message: Message) {
        let node = &mut self.nodes[to];
        if !node.up {
            return;
        }
        if self.now < node.still_until {
            return node.held.push_back(message);
        }
        self.handle(to, message);
    }

    fn handle(&mut self, at: usize, message: Message) {
        let (now, group, voters) = (self.now, group_of(ORGANISATION), self.nodes.len());
        let node = &mut self.nodes[at];
        match message {
            Message::Borrow {
                from,
                addr,
                to,
                number,
                vote,
                wanted,
            } if to == node.incarnation => {
                node.lender.on_vote(now, group, from, vote, voters);
                let loan = (wanted > 0).then(|| {
                    node.lender
                        .lend(now, ORGANISATION, self.quota, wanted, voters)
                });
                let answer = Message::Lend {
                    from: node.incarnation,
                    to: from,
                    number,
                    stamp: Lender::stamp(now),
                    loan,
                };
                self.send(at, addr, answer);
            }
            Message::Lend {
                from,
                to,
                number,
                stamp,
                loan,
            } if to == node.incarnation => {
                let loans: Vec<Loan> = loan.into_iter().collect();
                node.borrower
                    .on_lend(now, from, group, number, stamp, &loans);
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
                number,
                ..
            } => {
                let answer = Message::Lend {
                    from: to,
                    to: from,
                    number,
                    stamp: 0,
                    loan: None,
                };
                self.send(at, addr, answer);
            }
            Message::Lend { .. } => {}
        }
    }

    /// The most requests that were admitted in a window of the bounds.
    fn most_in_window(&self) -> usize {
        let window = QuotaTolerance::default().window;
        let mut first = 0;
        let mut most = 0;
        for (at, time) in self.admitted.iter().enumerate() {
            while self.admitted[first] + window <= *time {
                first += 1;
            }
            most = most.max(at + 1 - first);
        }
        most
    }

    fn check_bound(&self, quota: Quota, what: &str) {
        let nominal = quota.rate() * 5.0 + f64::from(quota.burst);
        let allowed = (nominal * 1.1 + 20.0) as usize;
        let most = self.most_in_window();
        assert!(
            most <= allowed,
            "{what}: {most} admitted in a window, {allowed} allowed"
        );
    }
}

/// A random series of cuts, kills, restarts, freezes and losses.
fn random_faults(fleet: &mut Fleet, steps: usize) {
    for _ in 0..steps {
        let nodes = fleet.nodes.len();
        let at = fleet.rng.random_range(0..nodes);
        match fleet.rng.random_range(0..9) {
            0 => {
                let cut = fleet.rng.random_range(0.1..0.9);
                for at in 0..nodes {
                    fleet.nodes[at].side = u8::from(fleet.rng.random_bool(cut));
                }
            }
            1 | 2 => fleet.nodes.iter_mut().for_each(|node| node.side = 0),
            3 => fleet.kill(at),
            4 => {
                let lender = fleet.elected(at).map_or(at, |(lender, _)| lender);
                fleet.kill(lender);
            }
            5 => (0..nodes).for_each(|at| fleet.restart(at)),
            6 => {
                let lender = fleet.elected(at).map_or(at, |(lender, _)| lender);
                let still = fleet.rng.random_range(100..4000);
                fleet.nodes[lender].still_until = fleet.now + ms(still);
            }
            7 => fleet.loss = fleet.rng.random_range(0.0..0.3),
            _ => {
                for at in 0..nodes {
                    if !fleet.nodes[at].up {
                        fleet.restart(at);
                    }
                }
            }
        }
        let pause = fleet.rng.random_range(50..2500);
        fleet.run_for(ms(pause));
    }
}

#[test]
fn no_series_of_faults_lets_more_through_than_the_quota() {
    for seed in 0..60 {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = [3, 7, 24, 60][rng.random_range(0..4)];
        let rate = [2, 16, 90, 300][rng.random_range(0..4)];
        let quota = quota(rate, rng.random_range(0..=rate as u32));
        // Everything is asked for, by all alike or most of it by one.
        let all = rate as f64 * rng.random_range(1.0..8.0);
        let skewed = rng.random_bool(0.5);
        let mut fleet = Fleet::new(seed, nodes, quota, |at| match skewed {
            true if at == 0 => all * 0.8,
            true => all * 0.2 / nodes as f64,
            false => all / nodes as f64,
        });
        fleet.run_for(ms(3000));
        random_faults(&mut fleet, 14);
        fleet.check_bound(quota, &format!("seed {seed}, {nodes} nodes, {quota:?}"));
    }
}

#[test]
fn seven_hundred_nodes_keep_one_quota_through_a_cut_and_the_loss_of_the_lender() {
    let quota = quota(200, 200);
    let mut fleet = Fleet::new(1, 700, quota, |_| 1.0);
    fleet.run_for(ms(4000));
    for at in 0..350 {
        fleet.nodes[at].side = 1;
    }
    fleet.run_for(ms(3000));
    let lender = fleet.elected(699).map(|(lender, _)| lender).unwrap();
    fleet.kill(lender);
    fleet.run_for(ms(2500));
    fleet.nodes.iter_mut().for_each(|node| node.side = 0);
    fleet.run_for(ms(3000));
    fleet.check_bound(quota, "700 nodes");
}

/// The share of requests that were refused though all of them stay below the quota.
fn check_refused(seed: u64, nodes: usize, quota: Quota, cut: bool, most: f64) {
    let demand = quota.rate() * 0.62 / nodes as f64;
    let mut fleet = Fleet::new(seed, nodes, quota, |_| demand);
    fleet.nodes.iter_mut().for_each(|node| node.demand = 0.0);
    fleet.run_for(ms(4000));
    fleet.nodes.iter_mut().for_each(|node| node.demand = demand);
    fleet.run_for(ms(5000));
    if cut {
        for at in 0..nodes / 6 {
            fleet.nodes[at].side = 1;
        }
    }
    fleet.run_for(ms(15_000));
    let refused = fleet.refused as f64 / fleet.offered as f64;
    assert!(
        refused < most,
        "{nodes} nodes, {quota:?}, cut {cut}: {refused:.4} refused"
    );
}

#[test]
fn requests_below_the_quota_are_admitted_in_calm() {
    for (rate, nodes) in [(4, 60), (16, 60), (90, 60), (288, 60), (288, 3), (288, 700)] {
        check_refused(1, nodes, quota(rate, rate as u32), false, 0.01);
    }
}

#[test]
fn requests_below_the_quota_are_admitted_while_some_nodes_are_cut_off() {
    for rate in [16, 90, 288] {
        check_refused(2, 60, quota(rate, rate as u32), true, 0.05);
    }
}

#[test]
fn a_lower_quota_binds_within_a_window() {
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
fn a_higher_quota_is_there_at_once() {
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
fn a_vote_that_came_late_does_not_count_twice() {
    let (group, voters) = (group_of(ORGANISATION), 1);
    let mut lender = Lender::new(QuotaTolerance::default());
    let given = Time::ZERO + ms(1000);
    let stamp = Lender::stamp(given);
    // The vote was sent at once, and lay in a socket while its owner lent it to another node.
    let late = given + ms(5000);
    lender.on_vote(late, group, Incarnation(2), stamp, voters);
    let later = late + ms(1000);
    let loan = lender.lend(later, ORGANISATION, quota(100, 100), 10, voters);
    assert_eq!(loan.tokens, 0);
}

#[test]
fn a_node_that_knows_no_lender_is_not_due_all_the_time() {
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
    let asked = borrower.poll(now + ms(100), group_of(ORGANISATION), Some(Incarnation(1)));
    assert_eq!(asked.unwrap().wanted, [(ORGANISATION, 1)]);
}

#[test]
fn questions_that_find_no_place_are_asked_later() {
    let mut borrower = Borrower::new(QuotaTolerance::default());
    let quota = quota(1000, 1000);
    let group = group_of(ORGANISATION);
    borrower.set_quotas(true, |_| Some(quota));
    let mut now = Time::ZERO + ms(1000);
    let mut asked = 0;
    for _ in 0..200 {
        assert_eq!(borrower.try_spend(now, ORGANISATION, quota), None);
        borrower.start_waiting(now, ORGANISATION);
        if let Some(loans) = borrower.poll(now, group, Some(Incarnation(1))) {
            asked += loans.wanted.first().map_or(0, |(_, tokens)| *tokens);
        }
        now = now + Duration::from_micros(200);
    }
    // None of the questions is answered, and all of them are given up.
    now = now + ms(200);
    let again = borrower.poll(now, group, Some(Incarnation(1))).unwrap();
    assert!(
        asked > 0 && again.wanted[0].1 >= 200,
        "{asked} asked, then {again:?}"
    );
}
