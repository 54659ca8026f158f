//! The limit and the queue in front of one backend server.

use proto::Class;
use proto::LoadReport;
use proto::Reason;
use proto::Refusal;
use std::collections::VecDeque;
use std::time::Duration;
use stdx::plain;
use stdx::Time;

plain! {
    /// A piece of work that asks for the backend server. `id` is the asker's own.
    pub struct Ticket {
        /// The asker's number for the work.
        pub id: u64,
        /// What it is for.
        pub class: Class,
        /// The action's random value.
        pub dice: u16,
        /// When its answer is due.
        pub deadline: Time,
        /// When it came.
        pub arrived: Time,
    }
}

/// What becomes of a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// Start it now.
    Start,
    /// It waits; a later call of [`Server::next`] tells.
    Queued,
    /// It does not run.
    Refused(Refusal),
}

/// The limit and the queue in front of one backend server.
#[derive(Debug)]
pub struct Server {
    limit: u16,
    max_wait: Duration,
    running: u16,
    queue: VecDeque<Ticket>,
}

impl Server {
    /// A server whose concurrency limit starts at `limit`, with a queue no longer than `max_wait`.
    pub fn new(limit: u16, max_wait: Duration) -> Self {
        Self {
            limit,
            max_wait,
            running: 0,
            queue: VecDeque::new(),
        }
    }

    /// Takes new bounds from the rules.
    pub fn set_bounds(&mut self, _min: u16, max: u16, max_wait: Duration) {
        self.limit = max;
        self.max_wait = max_wait;
    }

    /// Offers work.
    pub fn offer(&mut self, _now: Time, ticket: Ticket) -> Offer {
        if self.running < self.limit {
            self.running += 1;
            return Offer::Start;
        }
        if self.queue.len() >= usize::from(self.limit) {
            return Offer::Refused(Refusal::new(Reason::QueueFull, Duration::from_secs(1)));
        }
        self.queue.push_back(ticket);
        Offer::Queued
    }

    /// Takes back work that started, with how long the backend server took for it; `None` if it
    /// gave no whole answer.
    pub fn finished(&mut self, _now: Time, _took: Option<Duration>) {
        self.running -= 1;
    }

    /// Takes a ticket out of the queue; `false` if it is not there.
    pub fn withdraw(&mut self, id: u64) -> bool {
        let before = self.queue.len();
        self.queue.retain(|ticket| ticket.id != id);
        self.queue.len() < before
    }

    /// The next ticket that leaves the queue: to start, or refused. Call until `None`.
    pub fn next(&mut self, now: Time) -> Option<(Ticket, Offer)> {
        let front = self.queue.front()?;
        let waited = now.since(front.arrived);
        if waited >= self.max_wait || now >= front.deadline {
            let ticket = self.queue.pop_front()?;
            let refusal = Refusal::new(Reason::Deadline, Duration::from_secs(1));
            return Some((ticket, Offer::Refused(refusal)));
        }
        if self.running < self.limit {
            self.running += 1;
            return Some((self.queue.pop_front()?, Offer::Start));
        }
        None
    }

    /// When [`Server::next`] has to be called again even if nothing finishes.
    pub fn next_timer(&self) -> Option<Time> {
        self.queue
            .front()
            .map(|front| (front.arrived + self.max_wait).min(front.deadline))
    }

    /// What to tell others.
    pub fn report(&self) -> LoadReport {
        let load = u32::from(self.running) + self.queue.len() as u32;
        let utilisation = load * 1000 / u32::from(self.limit.max(1));
        LoadReport {
            utilisation: utilisation.min(u32::from(u16::MAX)) as u16,
            level: 0,
            limit: self.limit,
            draining: false,
        }
    }
}
