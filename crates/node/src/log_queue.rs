//! A bounded queue of log lines, written by a separate thread.
//!
//! The reader of the output may stall. A node that blocked on it in the middle of a decision would
//! stall its callers too, so lines that do not fit are dropped and counted.

use log4rs::append::Append;
use log4rs::encode::writer::simple::SimpleWriter;
use log4rs::encode::Encode;
use std::fmt;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::sync_channel;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;

/// Most queued lines; at about 300 bytes each, roughly half a megabyte.
const MAX_LINES: usize = 2048;

/// A log4rs appender that never blocks.
pub struct LogQueue {
    encoder: Box<dyn Encode>,
    tx: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl LogQueue {
    /// Creates an appender that writes to `out` from a separate thread.
    pub fn new<W>(encoder: Box<dyn Encode>, out: W) -> Self
    where
        W: Write + Send + 'static,
    {
        let (tx, rx) = sync_channel(MAX_LINES);
        std::thread::spawn(move || write_lines(&rx, out));
        Self {
            encoder,
            tx,
            dropped: AtomicU64::new(0),
        }
    }

    /// Queues a line. If it does not fit, `line_count` lines count as dropped: the line itself, or
    /// the dropped lines that it reports.
    fn send(&self, line: Vec<u8>, line_count: u64) {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(line) {
            self.dropped.fetch_add(line_count, Ordering::Relaxed);
        }
    }
}

impl fmt::Debug for LogQueue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogQueue").finish_non_exhaustive()
    }
}

impl Append for LogQueue {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let line = format!("event=lines_dropped count={dropped}\n");
            self.send(line.into_bytes(), dropped);
        }
        let mut line = SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        self.send(line.0, 1);
        Ok(())
    }

    fn flush(&self) {}
}

/// Writes lines until all senders are gone or writing fails. All queued lines go out in one write.
fn write_lines(rx: &Receiver<Vec<u8>>, mut out: impl Write) {
    while let Ok(mut lines) = rx.recv() {
        while let Ok(line) = rx.try_recv() {
            lines.extend_from_slice(&line);
        }
        if out.write_all(&lines).and_then(|()| out.flush()).is_err() {
            return;
        }
    }
}
