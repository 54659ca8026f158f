//! The log controller: folds the stream, announces this node, and takes it out again.

use crate::timers::Timer;
use crate::Counter;
use crate::Engine;
use crate::Output;
use bytes::Bytes;
use journal::Change;
use journal::Record;
use proto::Incarnation;
use stdx::Time;

/// What this node has to say to the log and whether it got through.
#[derive(Debug, Default)]
pub(crate) struct LogLink {
    pub(crate) reachable: bool,
    caught_up: bool,
    /// The append in flight.
    pending: Option<u64>,
    leaving: bool,
}

impl LogLink {
    /// Whether nothing is left to say before the process ends.
    pub(crate) fn left(&self) -> bool {
        self.pending.is_none()
    }
}

impl Engine {
    pub(crate) fn on_records(&mut self, now: Time, records: Vec<(u64, Bytes)>) {
        for (offset, record) in records {
            match self.journal.apply(offset, &record) {
                Change::Nothing | Change::Old => {}
                Change::Broken => self.count(Counter::BrokenRecord),
                Change::Rejected => self.count(Counter::RejectedPublication),
                Change::Rules => {
                    self.count(Counter::RulesInForce);
                    self.on_rules(now);
                }
                Change::View(service) => self.on_view_change(now, &service),
                Change::Gap => self.out.push(Output::ReadLog),
            }
        }
        // A snapshot may have brought a view without those before it.
        self.update_home(now, false);
    }

    fn on_rules(&mut self, now: Time) {
        let limit = self.journal.rules.limit(&self.me.service);
        let deadlines = self.journal.rules.operations.iter();
        let longest = deadlines.map(|operation| operation.deadline).max();
        let longest = longest.unwrap_or(limit.key_retention);
        self.home.set_times(limit.key_retention, longest);
        self.server
            .set_bounds(limit.min_concurrency, limit.max_concurrency, limit.queue);
        self.update_roster(now);
    }

    fn on_view_change(&mut self, now: Time, service: &str) {
        self.update_roster(now);
        if *service != *self.me.service {
            return;
        }
        self.update_home(now, true);
    }

    pub(crate) fn on_log_read(&mut self, now: Time) {
        self.home.on_log_read(now);
        self.log.reachable = true;
        self.log.caught_up = true;
        self.announce();
    }

    /// Appends whatever the log does not say yet about this node.
    fn announce(&mut self) {
        if !self.log.caught_up || self.log.pending.is_some() {
            return;
        }
        let mine = self.me.incarnation;
        let listed = self
            .journal
            .instances()
            .any(|instance| instance.incarnation == mine);
        if self.stopping && listed {
            self.append(&Record::Leave(mine));
        } else if !self.stopping && !listed {
            self.append(&Record::Join(self.me.clone()));
        }
    }

    pub(crate) fn append(&mut self, record: &Record) {
        let number = self.number();
        self.log.pending = Some(number);
        let record = Bytes::from(proto::encode(record));
        self.out.push(Output::Append { number, record });
    }

    pub(crate) fn on_appended(&mut self, number: u64) {
        if self.log.pending == Some(number) {
            self.log.pending = None;
            self.out.push(Output::ReadLog);
        }
    }

    /// The record may stand in the stream all the same; reading it again tells.
    pub(crate) fn on_append_lost(&mut self, now: Time, number: u64) {
        if self.log.pending == Some(number) {
            self.log.pending = None;
            self.timers.set(now + self.cfg.append_retry, Timer::Append);
            self.out.push(Output::ReadLog);
        }
    }

    pub(crate) fn on_append_timer(&mut self, _now: Time) {
        self.announce();
    }

    pub(crate) fn leave_log(&mut self) {
        self.log.leaving = true;
        self.announce();
    }

    /// Whether the log's views name this incarnation.
    pub fn is_listed(&self) -> bool {
        let mine: Incarnation = self.me.incarnation;
        self.journal
            .instances()
            .any(|instance| instance.incarnation == mine)
    }
}
