//! The log: `key=value` lines. Decisions about requests that did not end whole, and changes of what
//! this node believes, at info; whole requests at debug.

use crate::shell::Shell;
use engine::Counter;
use engine::Diagnostic;
use engine::OutcomeSummary;
use engine::Output;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The most decisions about requests that are written in a second. Under overload each request is
/// refused in its own right; written without a bound, the lines would cost more than the requests.
const MAX_PER_SECOND: u32 = 50;

/// Bounds the lines about requests.
#[derive(Debug)]
pub(crate) struct Cap {
    since: Cell<Instant>,
    written: Cell<u32>,
    left_out: Cell<u32>,
}

impl Cap {
    pub(crate) fn new() -> Self {
        Self {
            since: Cell::new(Instant::now()),
            written: Cell::new(0),
            left_out: Cell::new(0),
        }
    }

    /// Whether one more line may be written. Tells how many were left out before.
    fn admit(&self) -> bool {
        if self.since.get().elapsed() >= Duration::from_secs(1) {
            self.since.set(Instant::now());
            self.written.set(0);
            let left_out = self.left_out.take();
            if left_out > 0 {
                log::info!("event=lines_left_out count={left_out}");
            }
        }
        if self.written.get() >= MAX_PER_SECOND {
            self.left_out.set(self.left_out.get() + 1);
            return false;
        }
        self.written.set(self.written.get() + 1);
        true
    }
}

/// Writes down what the engine asks for, where an operator would want to know.
pub(crate) fn note(shell: &Shell, output: &Output) {
    match output {
        Output::Diagnostic(note) => write_note(shell, note),
        Output::Count(counter) => note_change(shell, *counter),
        Output::Stopped => log::info!("event=stopped"),
        _ => {}
    }
}

fn write_note(shell: &Shell, note: &Diagnostic) {
    let whole = match note {
        Diagnostic::Answered { outcome, .. } | Diagnostic::Ran { outcome, .. } => {
            matches!(outcome, OutcomeSummary::Completed(status) if *status < 500)
        }
        Diagnostic::Refused { .. } => false,
        // Changes of belief are rare.
        Diagnostic::Peer { .. }
        | Diagnostic::Peers { .. }
        | Diagnostic::OwnServer { .. }
        | Diagnostic::Keys { .. } => return log::info!("{note}"),
    };
    if whole {
        log::debug!("{note}");
    } else if log::log_enabled!(log::Level::Info) && shell.lines.admit() {
        log::info!("{note}");
    }
}

fn note_change(shell: &Shell, counter: Counter) {
    let engine = shell.engine.borrow();
    let journal = engine.journal();
    match counter {
        Counter::RulesInForce => log::info!("event=rules_in_force version={}", journal.version),
        Counter::StateRestored => log::info!(
            "event=state_restored version={} next_offset={}",
            journal.version,
            journal.next_offset
        ),
        Counter::ViewApplied => {
            let view = journal.view(&shell.me.service);
            log::info!(
                "event=view_taken number={} members={} listed={}",
                view.map_or(0, |view| view.number),
                view.map_or(0, |view| view.members.len()),
                engine.is_listed()
            );
        }
        Counter::PublicationRejected => log::info!("event=publication_rejected"),
        Counter::MalformedRecord => log::warn!("event=broken_record"),
        Counter::Expelled => log::warn!("event=evicted"),
        Counter::LeaveNotAppended => log::warn!("event=leave_unsaid"),
        Counter::LateHeartbeat => log::info!("event=late_heartbeat"),
        Counter::WrongServiceHeartbeat => log::warn!("event=strange_heartbeat"),
        _ => {}
    }
}
