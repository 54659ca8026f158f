//! Log lines when nobody reads them.

use bilberry_node::LogQueue;
use log4rs::append::Append;
use log4rs::encode::pattern::PatternEncoder;
use std::io::Write;
use std::sync::mpsc::sync_channel;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;

/// An output that waits until it is let go, and then tells what it got.
struct Gate {
    open: Receiver<()>,
    is_open: bool,
    got: Sender<String>,
}

impl Write for Gate {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        if !self.is_open {
            self.open.recv().map_err(std::io::Error::other)?;
            self.is_open = true;
        }
        let text = String::from_utf8_lossy(buf).into_owned();
        self.got.send(text).map_err(std::io::Error::other)?;
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

/// The reader of the output stops reading while a node goes on deciding. If writing a line waited
/// for it, callers would get no answers because of a log.
#[test]
fn lines_that_nobody_reads_do_not_hold_up_a_node() {
    let (open, opened) = sync_channel(1);
    let (got, lines) = std::sync::mpsc::channel();
    let gate = Gate {
        open: opened,
        is_open: false,
        got,
    };
    let queue = LogQueue::new(Box::new(PatternEncoder::new("{m}{n}")), gate);
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
    let written = text
        .lines()
        .filter(|line| line.starts_with("event=test"))
        .count() as u64;
    assert_eq!(written + dropped, 10_000);
}
