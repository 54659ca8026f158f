//! Log lines of the form `key=value`. Successful requests are logged at debug, other requests and
//! changes of peers, the own backend server and API keys at info, other events at info or warn.

use crate::shell::Shell;
use engine::Counter;
use engine::Diagnostic;
use engine::OutcomeSummary;
use engine::Output;
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum number of log lines about requests per second. Under overload, each refused
/// request would add a line; without a limit the lines would cost more than the requests.
const MAX_LINES_PER_SECOND: u32 = 50;

/// Limits the rate of log lines about requests.
#[derive(Debug)]
pub(crate) struct LogRateLimiter {
    window_start: Cell<Instant>,
    written: Cell<u32>,
    suppressed: Cell<u32>,
}

impl LogRateLimiter {
    pub(crate) fn new() -> Self {
        Self {
            window_start: Cell::new(Instant::now()),
            written: Cell::new(0),
            suppressed: Cell::new(0),
        }
    }

    /// Whether another line may be logged. At the start of a new window, logs how many lines were
    /// suppressed in the last one.
    pub(crate) fn admit(&self) -> bool {
        if self.window_start.get().elapsed() >= Duration::from_secs(1) {
            self.window_start.set(Instant::now());
            self.written.set(0);
            let suppressed = self.suppressed.take();
            if suppressed > 0 {
                log::info!("event=lines_left_out count={suppressed}");
            }
        }
        if self.written.get() >= MAX_LINES_PER_SECOND {
            self.suppressed.set(self.suppressed.get() + 1);
            return false;
        }
        self.written.set(self.written.get() + 1);
        true
    }
}

/// Logs an engine output if it is of interest to an operator.
pub(crate) fn log_output(shell: &Shell, output: &Output) {
    match output {
        Output::Diagnostic(diagnostic) => log_diagnostic(shell, diagnostic),
        Output::Count(counter) => log_counter_event(shell, *counter),
        Output::Stopped => log::info!("event=stopped"),
        _ => {}
    }
}

fn log_diagnostic(shell: &Shell, diagnostic: &Diagnostic) {
    let is_success = match diagnostic {
        Diagnostic::Answered { outcome, .. } | Diagnostic::JobEnded { outcome, .. } => {
            matches!(outcome, OutcomeSummary::Completed(status) if *status < 500)
        }
        Diagnostic::Refused { .. }
        | Diagnostic::QuotaRefused(_)
        | Diagnostic::HandedOver { .. } => false,
        // Changes of shared state, of peers, the own backend server and the trust in API keys are
        // rare, so these lines are not limited.
        Diagnostic::StateAdopted { .. }
        | Diagnostic::CatchUp { .. }
        | Diagnostic::Peer { .. }
        | Diagnostic::Peers { .. }
        | Diagnostic::OwnServer { .. }
        | Diagnostic::ServerLimit { .. }
        | Diagnostic::ServerLeaving { .. }
        | Diagnostic::Keys { .. } => return log::info!("{diagnostic}"),
    };
    if is_success {
        log::debug!("{diagnostic}");
    } else if log::log_enabled!(log::Level::Info) && shell.log_limiter.admit() {
        log::info!("{diagnostic}");
    }
}

/// Logs an event that the engine reports as a counter increment. Most counters are not logged.
fn log_counter_event(shell: &Shell, counter: Counter) {
    let engine = shell.engine.borrow();
    let journal = engine.journal();
    match counter {
        Counter::RulesInForce => {
            log::info!("event=rules_in_force version={}", journal.rules_version)
        }
        Counter::StateRestored => log::info!(
            "event=state_restored version={} next_offset={}",
            journal.rules_version,
            journal.next_offset
        ),
        Counter::ViewApplied => {
            let view = journal.view(&shell.own_instance.service);
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
