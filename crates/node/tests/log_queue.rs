//! The log queue when its output blocks.

use bilberry_node::LogQueue;
use log4rs::append::Append;
use log4rs::encode::pattern::PatternEncoder;
use std::io::Write;
use std::sync::mpsc::sync_channel;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;

/// An output that blocks until it is opened and then forwards what is written to it.
struct BlockedOutput {
    open_signal: Receiver<()>,
    is_open: bool,
    written: Sender<String>,
}

impl Write for BlockedOutput {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if !self.is_open {
            self.open_signal.recv().map_err(std::io::Error::other)?;
            self.is_open = true;
        }
        let text = String::from_utf8_lossy(buf).into_owned();
        self.written.send(text).map_err(std::io::Error::other)?;
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn append(queue: &LogQueue, line: &str) {
    let mut builder = log::Record::builder();
    builder.level(log::Level::Info);
    queue
        .append(&builder.args(format_args!("{line}")).build())
        .unwrap();
}

/// The reader of the log output stops reading. If logging blocked until the line was written,
/// callers would get no responses.
#[test]
fn blocked_output_does_not_block_logging() {
    let (open, opened) = sync_channel(1);
    let (written, lines) = std::sync::mpsc::channel();
    let output = BlockedOutput {
        open_signal: opened,
        is_open: false,
        written,
    };
    let queue = LogQueue::new(Box::new(PatternEncoder::new("{m}{n}")), output);
    for n in 0..10_000 {
        append(&queue, &format!("event=test n={n}"));
    }
    open.send(()).unwrap();
    let mut text = lines.recv().unwrap();
    while !text.contains("n=1000\n") {
        text.push_str(&lines.recv().unwrap());
    }
    append(&queue, "event=later");
    while !text.contains("event=later\n") {
        text.push_str(&lines.recv().unwrap());
    }
    assert!(text.starts_with("event=test n=0\n"));
    let dropped = text
        .lines()
        .filter_map(|line| line.strip_prefix("event=lines_dropped count="));
    let dropped: u64 = dropped.map(|count| count.parse::<u64>().unwrap()).sum();
    let written_count = text
        .lines()
        .filter(|line| line.starts_with("event=test"))
        .count() as u64;
    assert_eq!(written_count + dropped, 10_000);
}
