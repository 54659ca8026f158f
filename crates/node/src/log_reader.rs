//! Reads the log's stream for ever.

use crate::metrics::add;
use crate::shell::Shell;
use engine::Input;
use logservice::Batch;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;

/// How long one read waits for new records.
const WAIT: Duration = Duration::from_secs(5);

/// How long to wait after the first read that failed; doubled up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// The longest wait after a read that failed. New rules have ten seconds to reach every node.
const MAX_PAUSE: Duration = Duration::from_secs(4);

pub(crate) async fn run(shell: Rc<Shell>) {
    let mut wait = Duration::ZERO;
    let mut pause = MIN_PAUSE;
    loop {
        let next = shell.engine.borrow().next_offset();
        let read = tokio::select! {
            read = shell.log.read(next, wait) => read,
            () = shell.read_log.notified() => {
                wait = Duration::ZERO;
                continue;
            }
        };
        match read {
            Ok(batch) => {
                pause = MIN_PAUSE;
                wait = if take(&shell, batch) {
                    WAIT
                } else {
                    Duration::ZERO
                };
            }
            Err(e) => {
                log::warn!("event=log_unreachable error=\"{e}\"");
                shell.feed(Input::LogUnreachable);
                // The nodes lose the log together. A random part of the wait keeps them from
                // coming back together, which a log that just got up might not survive.
                tokio::time::sleep(pause.mul_f64(rand::rng().random_range(0.5..1.0))).await;
                pause = (pause * 2).min(MAX_PAUSE);
            }
        }
    }
}

/// Feeds a batch; says whether the stream was read to its end.
fn take(shell: &Rc<Shell>, batch: Batch) -> bool {
    shell.feed(Input::LogStart(batch.first));
    let records = !batch.records.is_empty();
    for (_, record) in &batch.records {
        add(&shell.metrics.bytes.log_in, record.len());
    }
    shell.feed(Input::Records(batch.records));
    let next = shell.engine.borrow().next_offset();
    let at_end = next >= batch.end;
    if at_end || !records {
        shell.feed(Input::LogRead);
    }
    at_end || !records
}
