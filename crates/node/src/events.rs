//! The log: `key=value` lines, refusals at debug with their call, changes of state at info.

use crate::shell::Shell;
use engine::Counter;
use engine::Output;
use proto::Frame;
use proto::Outcome;

/// Writes down what the engine asks for, where an operator would want to know.
pub(crate) fn note(shell: &Shell, output: &Output) {
    match output {
        Output::Answer { token, outcome, .. } => note_outcome("request", &token.0, outcome),
        Output::Send {
            frame: Frame::Answer(call, answer),
            ..
        } => note_outcome("call", call, &answer.outcome),
        Output::Count(counter) => note_change(shell, *counter),
        Output::Stopped => log::info!("event=stopped"),
        _ => {}
    }
}

fn note_outcome(kind: &str, id: &dyn std::fmt::Display, outcome: &Outcome) {
    match outcome {
        Outcome::Whole(_) => {}
        Outcome::NotRun(refusal) => log::debug!(
            "event=refused {kind}={id} reason={} retry_after_ms={}",
            refusal.reason.name(),
            refusal.retry_after_ms
        ),
        Outcome::Unknown(reason) => {
            log::debug!("event=unknown {kind}={id} reason={}", reason.name());
        }
    }
}

fn note_change(shell: &Shell, counter: Counter) {
    let engine = shell.engine.borrow();
    let journal = engine.journal();
    match counter {
        Counter::RulesInForce => log::info!("event=rules_in_force version={}", journal.version),
        Counter::Restored => log::info!(
            "event=state_restored version={} next_offset={}",
            journal.version,
            journal.next
        ),
        Counter::ViewTaken => {
            let view = journal.view(&shell.me.service);
            log::info!(
                "event=view_taken number={} members={} listed={}",
                view.map_or(0, |view| view.number),
                view.map_or(0, |view| view.members.len()),
                engine.is_listed()
            );
        }
        Counter::RejectedPublication => log::info!("event=publication_rejected"),
        Counter::BrokenRecord => log::warn!("event=broken_record"),
        Counter::NoSnapshot => log::warn!("event=no_snapshot next_offset={}", journal.next),
        Counter::Expelled => log::warn!("event=evicted"),
        Counter::LeaveUnsaid => log::warn!("event=leave_unsaid"),
        _ => {}
    }
}
