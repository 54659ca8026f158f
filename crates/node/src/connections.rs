//! Accounts of callers' connections: each task reports what its connection holds, and is told to end
//! when the ledger closes it.

use indexmap::IndexMap;
use policy::ConnectionActivity;
use policy::ConnectionId;
use policy::ConnectionLedger;
use policy::ConnectionLimits;
use policy::LedgerFull;
use policy::ShedConnection;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use stdx::Time;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Changes of what is buffered for a connection are reported if they are at least this large, in
/// bytes.
const BUFFER_STEP: usize = 4096;

/// How often a task lets others run while connections are being closed.
const MAX_YIELDS: usize = 16;

/// Open connections that share one ledger.
pub(crate) struct Connections {
    ledger: RefCell<ConnectionLedger>,
    /// The channels that end the connections' tasks.
    tasks: RefCell<IndexMap<ConnectionId, oneshot::Sender<ShedConnection>>>,
    next_id: Cell<u64>,
    /// Connections that the ledger has closed and whose tasks have not ended.
    closing: Cell<usize>,
    started: Instant,
}

impl Connections {
    pub(crate) fn new(limits: ConnectionLimits) -> Rc<Self> {
        Rc::new(Self {
            ledger: RefCell::new(ConnectionLedger::new(limits)),
            tasks: RefCell::default(),
            next_id: Cell::new(0),
            closing: Cell::new(0),
            started: Instant::now(),
        })
    }

    /// Opens an account. The receiver yields when the connection has to be closed.
    pub(crate) fn open(
        self: &Rc<Self>,
    ) -> Result<(Rc<Account>, oneshot::Receiver<ShedConnection>), LedgerFull> {
        let id = ConnectionId(self.next_id.get());
        let shed = self.ledger.borrow_mut().open(self.now(), id)?;
        self.next_id.set(id.0 + 1);
        let (tx, rx) = oneshot::channel();
        self.tasks.borrow_mut().insert(id, tx);
        self.end_tasks(shed);
        let account = Account {
            connections: self.clone(),
            id,
            activity: Cell::new(ConnectionActivity::Idle),
            buffered: Cell::new(0),
            unread: Cell::new(0),
        };
        Ok((Rc::new(account), rx))
    }

    /// The number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.ledger.borrow().connection_count()
    }

    /// Bytes held for all of them.
    pub(crate) fn held_bytes(&self) -> usize {
        self.ledger.borrow().held_bytes()
    }

    /// Waits until the memory of connections that are being closed is free. Tasks that are ready at
    /// the same moment would otherwise exceed the limit together before any of these has ended.
    pub(crate) async fn settle(&self) {
        for _ in 0..MAX_YIELDS {
            if self.closing.get() == 0 {
                return;
            }
            tokio::task::yield_now().await;
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + self.started.elapsed()
    }

    fn hold(&self, id: ConnectionId, bytes: usize) {
        let shed = self.ledger.borrow_mut().hold(self.now(), id, bytes);
        self.end_tasks(shed);
    }

    fn end_tasks(&self, shed: Vec<ShedConnection>) {
        for shed in shed {
            if let Some(tx) = self.tasks.borrow_mut().swap_remove(&shed.id) {
                self.closing.set(self.closing.get() + 1);
                // A task that is about to end needs no notification.
                let _ = tx.send(shed);
            }
        }
    }
}

/// What one connection holds. Everything is returned when it is dropped.
pub(crate) struct Account {
    connections: Rc<Connections>,
    id: ConnectionId,
    activity: Cell<ConnectionActivity>,
    /// Bytes in the connection's buffers, as last reported.
    buffered: Cell<usize>,
    /// Bytes of answers that the caller has not read.
    unread: Cell<usize>,
}

impl Account {
    /// Reports what the connection is doing, and the size of its buffers in bytes.
    pub(crate) fn update(&self, activity: ConnectionActivity, buffered: usize) {
        self.set_activity(activity);
        let before = self.buffered.get();
        if before.abs_diff(buffered) < BUFFER_STEP {
            return;
        }
        self.buffered.set(buffered);
        match buffered.checked_sub(before) {
            Some(more) => self.connections.hold(self.id, more),
            None => self.release(before - buffered),
        }
    }

    /// See [`Connections::settle`].
    pub(crate) async fn settle(&self) {
        self.connections.settle().await;
    }

    /// Counts bytes that the caller has sent or read.
    pub(crate) fn record_transfer(&self, bytes: usize) {
        let mut ledger = self.connections.ledger.borrow_mut();
        ledger.record_transfer(self.id, bytes);
    }

    /// Bytes of answers that wait for the caller.
    pub(crate) fn unread_bytes(&self) -> usize {
        self.unread.get()
    }

    /// Holds the body of a request.
    pub(crate) fn hold_body(self: &Rc<Self>) -> Held {
        Held {
            account: self.clone(),
            bytes: 0,
            is_answer: false,
        }
    }

    /// Holds an answer until it is written to the caller.
    pub(crate) fn hold_answer(self: &Rc<Self>, bytes: usize) -> Held {
        // The task may learn of the answer only after it has written others.
        self.set_activity(ConnectionActivity::Sending);
        self.unread.set(self.unread.get() + bytes);
        self.connections.hold(self.id, bytes);
        Held {
            account: self.clone(),
            bytes,
            is_answer: true,
        }
    }

    fn set_activity(&self, activity: ConnectionActivity) {
        if self.activity.replace(activity) != activity {
            let mut ledger = self.connections.ledger.borrow_mut();
            ledger.set_activity(self.connections.now(), self.id, activity);
        }
    }

    fn release(&self, bytes: usize) {
        let mut ledger = self.connections.ledger.borrow_mut();
        ledger.release(self.id, bytes);
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        let connections = &self.connections;
        connections.ledger.borrow_mut().close(self.id);
        if connections
            .tasks
            .borrow_mut()
            .swap_remove(&self.id)
            .is_none()
        {
            connections.closing.set(connections.closing.get() - 1);
        }
    }
}

/// Bytes held for a connection; returned when dropped.
pub(crate) struct Held {
    account: Rc<Account>,
    bytes: usize,
    is_answer: bool,
}

impl Held {
    pub(crate) fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.account.connections.hold(self.account.id, bytes);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.account.release(self.bytes);
        if self.is_answer {
            let unread = &self.account.unread;
            unread.set(unread.get() - self.bytes);
        }
    }
}
