//! Reads the log's stream for ever.

use crate::metrics::add;
use crate::shell::Shell;
use engine::Input;
use std::rc::Rc;
use std::time::Duration;

/// How long one read waits for new records.
const WAIT: Duration = Duration::from_secs(5);

/// How long to wait after a read that failed.
const PAUSE: Duration = Duration::from_secs(1);

pub(crate) async fn run(shell: Rc<Shell>) {
    let mut wait = Duration::ZERO;
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
                let read_to_end = batch.records.last().map_or(next, |(offset, _)| offset + 1);
                for (_, record) in &batch.records {
                    add(&shell.metrics.bytes.log_in, record.len());
                }
                shell.feed(Input::Records(batch.records));
                if read_to_end >= batch.end {
                    shell.feed(Input::LogRead);
                    wait = WAIT;
                } else {
                    wait = Duration::ZERO;
                }
            }
            Err(e) => {
                log::warn!("{e}");
                shell.feed(Input::LogUnreachable);
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
