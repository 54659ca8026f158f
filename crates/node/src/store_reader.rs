//! Reads a topic of the store for ever: first the newest record of each key, then what comes after.

use crate::metrics::add;
use crate::shell::Shell;
use engine::Input;
use platform::Item;
use platform::Newest;
use platform::Records;
use platform::StoreError;
use rand::RngExt;
use std::rc::Rc;
use std::time::Duration;
use stdx::Time;
use tokio::time::Instant;

/// How long one read waits for new records. A home goes on by its lease only for as long as the topic
/// was read to its end lately.
const READ_WAIT: Duration = Duration::from_secs(5);

/// How long to wait after a call of the store that failed; doubled up to [`MAX_PAUSE`].
const MIN_PAUSE: Duration = Duration::from_millis(200);

/// The longest wait after a call that failed. Nodes are to know each other within two seconds of
/// the store's return.
const MAX_PAUSE: Duration = Duration::from_millis(1500);

/// How often a node that leaves reading to others looks whether it still does.
const LOOK_AGAIN: Duration = Duration::from_millis(250);

/// The wait after calls that failed. All nodes lose the store together; a random part of the wait
/// keeps them from coming back together.
pub(crate) struct Pause {
    next: Duration,
    /// Since when no call has succeeded.
    down_since: Option<Instant>,
}

impl Pause {
    pub(crate) fn new() -> Self {
        Self {
            next: MIN_PAUSE,
            down_since: None,
        }
    }

    pub(crate) async fn after(&mut self, what: &str, e: StoreError) {
        if self.down_since.is_none() {
            self.down_since = Some(Instant::now());
            log::warn!("event=store_lost call={what} error=\"{e}\"");
        }
        let part = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(self.next.mul_f64(part)).await;
        self.next = (self.next * 2).min(MAX_PAUSE);
    }

    pub(crate) fn done(&mut self, what: &str) {
        self.next = MIN_PAUSE;
        if let Some(since) = self.down_since.take() {
            let ms = since.elapsed().as_millis();
            log::info!("event=store_regained call={what} away_ms={ms}");
        }
    }
}

/// What one read brought.
pub(crate) enum Batch {
    /// The newest record of each key.
    Newest(Newest),
    /// Records in their order.
    Records {
        /// The records.
        items: Vec<Item>,
        /// Whether the topic ends with them.
        at_end: bool,
    },
}

/// Reads a topic for ever, while it is this node that reads, and gives what it reads to `take`, with the time
/// at which it was asked for. One read waits for `wait`.
pub(crate) async fn follow(
    shell: Rc<Shell>,
    topic: &str,
    wait: Duration,
    reads: impl Fn(&Shell) -> bool,
    take: impl Fn(&Rc<Shell>, Time, Batch),
) {
    let mut pause = Pause::new();
    let mut from = None;
    loop {
        if !reads(&shell) {
            tokio::select! {
                () = tokio::time::sleep(LOOK_AGAIN) => continue,
                // Something is missing here, and those who read cannot give it.
                () = shell.read_store.notified() => {}
            }
        }
        let asked = shell.now();
        let read = tokio::select! {
            read = read(&shell, topic, from, wait) => read,
            // Something is missing here. A read that waits over a connection that has gone silent
            // would wait to its end.
            () = shell.read_store.notified() => continue,
        };
        match read {
            Ok(Some((next, batch))) => {
                from = Some(next);
                pause.done(topic);
                take(&shell, asked, batch);
            }
            Ok(None) => from = None,
            Err(e) => {
                shell.feed(Input::LogUnreachable);
                pause.after(topic, e).await;
            }
        }
    }
}

/// Reads once, from the newest records if it is not known from where; says where to read on. Nothing
/// if the records there have expired.
async fn read(
    shell: &Rc<Shell>,
    topic: &str,
    from: Option<u64>,
    wait: Duration,
) -> Result<Option<(u64, Batch)>, StoreError> {
    let Some(from) = from else {
        let newest = shell.store.newest(topic).await?;
        return Ok(Some((newest.end, Batch::Newest(newest))));
    };
    Ok(match shell.store.read(topic, from, wait).await? {
        Records::Some { items, next, end } => {
            let at_end = next >= end;
            Some((next, Batch::Records { items, at_end }))
        }
        Records::Expired { .. } => None,
    })
}

/// Follows the topic of views and rules.
pub(crate) async fn follow_views(shell: Rc<Shell>) {
    let topic = platform::topic(&shell.settings.store_stream);
    let take = |shell: &Rc<Shell>, _, batch| take_views(shell, batch);
    follow(shell, &topic, READ_WAIT, |_| true, take).await;
}

/// Finds out whether the store has newer rules in the topic of views and rules.
pub(crate) fn check_rules(shell: &Rc<Shell>) {
    let shell = shell.clone();
    actix_rt::spawn(async move {
        let asked = shell.now();
        let topic = platform::topic(&shell.settings.store_stream);
        let from = shell.engine.borrow().next_offset();
        let input = match read(&shell, &topic, Some(from), Duration::ZERO).await {
            Ok(Some((_, batch))) => {
                let is_whole = !matches!(batch, Batch::Records { at_end: false, .. });
                take_views(&shell, batch);
                let version = shell.engine.borrow().rules_version();
                match is_whole {
                    true => Input::RulesChecked { asked, version },
                    false => Input::RulesCheckFailed,
                }
            }
            Ok(None) | Err(_) => Input::RulesCheckFailed,
        };
        shell.feed(input);
    });
}

fn take_views(shell: &Rc<Shell>, batch: Batch) {
    match batch {
        Batch::Newest(newest) => {
            let end = newest.end;
            let values = values(shell, newest.items);
            shell.feed(Input::TopicSnapshot { values, end });
            shell.feed(Input::LogCaughtUp);
        }
        Batch::Records { items, at_end } => {
            let records = values(shell, items);
            shell.feed(Input::Records(records));
            if at_end {
                shell.feed(Input::LogCaughtUp);
            }
        }
    }
}

fn values(shell: &Shell, items: Vec<Item>) -> Vec<(u64, bytes::Bytes)> {
    let values = items.into_iter().map(|item| {
        add(&shell.metrics.bytes.store_in, item.value.len());
        (item.offset, item.value)
    });
    values.collect()
}
