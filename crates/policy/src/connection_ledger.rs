//! What the connections of callers hold, and which of them to close when they reach a limit.
//!
//! A caller that does not read its answers, or does not complete its requests, occupies memory for
//! as long as it likes. Many of them would end the process, and every call in it, so the ledger
//! names connections to close: those that hold most for longest while their callers make the least
//! progress. A connection that only waits for work that was accepted is never closed.

use indexmap::IndexMap;
use std::time::Duration;
use stdx::plain;
use stdx::Time;

/// A connection that holds less is closed for its memory only if no other one holds more, in bytes.
const SMALL_HOLDING: usize = 64 * 1024;

/// Bytes that an open connection occupies by itself.
const CONNECTION_OVERHEAD: usize = 8 * 1024;

plain! {
    /// Limits for all connections together.
    pub struct ConnectionLimits {
        /// Most open connections.
        pub connections: usize,
        /// Most bytes held for them.
        pub bytes: usize,
    }
}

plain! {
    /// Identifies an open connection; never reused.
    #[derive(Hash, PartialOrd, Ord)]
    pub struct ConnectionId(pub u64);
}

plain! {
    /// What a connection is doing.
    pub enum ConnectionActivity {
        /// Nothing: all requests are answered.
        Idle,
        /// The caller is sending a request.
        Receiving,
        /// Requests were accepted and are not answered yet.
        Working,
        /// The caller has answers to read.
        Sending,
    }
}

impl ConnectionActivity {
    /// Returns the name used in logs.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bilberry_policy::ConnectionActivity::Idle.name(), "idle");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            ConnectionActivity::Idle => "idle",
            ConnectionActivity::Receiving => "receiving",
            ConnectionActivity::Working => "working",
            ConnectionActivity::Sending => "sending",
        }
    }
}

plain! {
    /// Why a connection is closed.
    #[derive(Hash)]
    pub enum ShedReason {
        /// There were too many connections.
        Connections,
        /// The memory for connections was used up.
        Memory,
    }
}

impl ShedReason {
    /// Returns the name used in logs and metrics.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bilberry_policy::ShedReason::Memory.name(), "memory");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            ShedReason::Connections => "connections",
            ShedReason::Memory => "memory",
        }
    }
}

plain! {
    /// A connection to close. The ledger does not count it any more.
    pub struct ShedConnection {
        /// The connection.
        pub id: ConnectionId,
        /// Why it is closed.
        pub reason: ShedReason,
        /// What it was doing.
        pub activity: ConnectionActivity,
        /// For how long.
        pub duration: Duration,
        /// Bytes that it held.
        pub held: usize,
        /// Bytes received from or taken by the caller in that time.
        pub transferred: usize,
    }
}

#[derive(Debug)]
struct Connection {
    activity: ConnectionActivity,
    /// When the activity began.
    since: Time,
    /// Bytes held, including the overhead.
    held: usize,
    /// Bytes received from or taken by the caller since then.
    transferred: usize,
}

impl Connection {
    /// Bytes held times the seconds for which they were held, per byte transferred meanwhile. The
    /// allowance keeps a caller that has just connected from being the costliest one.
    fn cost(&self, now: Time) -> f64 {
        let seconds = now.since(self.since).as_secs_f64();
        self.held as f64 * seconds / (self.transferred + SMALL_HOLDING) as f64
    }
}

/// All open connections of callers, and what they hold.
///
/// # Examples
///
/// ```
/// use bilberry_policy::{ConnectionActivity, ConnectionId, ConnectionLedger, ConnectionLimits};
/// use stdx::Time;
///
/// let limits = ConnectionLimits { connections: 10, bytes: 1_000_000 };
/// let mut ledger = ConnectionLedger::new(limits);
/// let (reader, other) = (ConnectionId(1), ConnectionId(2));
/// for id in [reader, other] {
///     assert_eq!(ledger.open(Time::ZERO, id), Ok(vec![]));
///     ledger.set_activity(Time::ZERO, id, ConnectionActivity::Sending);
///     ledger.hold(Time::ZERO, id, 450_000);
/// }
/// ledger.record_transfer(reader, 100_000);
/// let later = Time::from_micros(1_000_000);
/// let shed = ledger.hold(later, reader, 100_000);
/// assert_eq!(shed[0].id, other);
/// ```
#[derive(Debug)]
pub struct ConnectionLedger {
    limits: ConnectionLimits,
    held: usize,
    connections: IndexMap<ConnectionId, Connection>,
}

/// No connection can be closed to make room for another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LedgerFull;

impl ConnectionLedger {
    /// Creates a ledger without connections.
    pub fn new(limits: ConnectionLimits) -> Self {
        Self {
            limits,
            held: 0,
            connections: IndexMap::new(),
        }
    }

    /// The number of open connections.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// Bytes held for all connections.
    pub fn held_bytes(&self) -> usize {
        self.held
    }

    /// Adds a connection; returns those to close instead. Idle ones are the first.
    ///
    /// # Errors
    ///
    /// [`LedgerFull`] if all connections wait for accepted work; the new one is not added.
    pub fn open(&mut self, now: Time, id: ConnectionId) -> Result<Vec<ShedConnection>, LedgerFull> {
        let mut shed = Vec::new();
        while self.connections.len() >= self.limits.connections {
            let victim = self.least_active(now).ok_or(LedgerFull)?;
            shed.push(self.shed(now, victim, ShedReason::Connections));
        }
        let connection = Connection {
            activity: ConnectionActivity::Idle,
            since: now,
            held: 0,
            transferred: 0,
        };
        self.connections.insert(id, connection);
        shed.extend(self.hold(now, id, CONNECTION_OVERHEAD));
        Ok(shed)
    }

    /// Removes a connection that has ended.
    pub fn close(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.swap_remove(&id) {
            self.held -= connection.held;
        }
    }

    /// Sets what a connection is doing.
    pub fn set_activity(&mut self, now: Time, id: ConnectionId, activity: ConnectionActivity) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.activity != activity {
            connection.activity = activity;
            connection.since = now;
            connection.transferred = 0;
        }
    }

    /// Counts bytes that the caller has sent or read.
    pub fn record_transfer(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.transferred += bytes;
        }
    }

    /// Counts bytes that are held for a connection; returns connections to close, of which it may
    /// be one.
    pub fn hold(&mut self, now: Time, id: ConnectionId, bytes: usize) -> Vec<ShedConnection> {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held += bytes;
            self.held += bytes;
        }
        let mut shed = Vec::new();
        while self.held > self.limits.bytes {
            let Some(victim) = self.costliest(now) else {
                break;
            };
            shed.push(self.shed(now, victim, ShedReason::Memory));
        }
        shed
    }

    /// Counts bytes that are no longer held for a connection.
    pub fn release(&mut self, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.held -= bytes;
            self.held -= bytes;
        }
    }

    fn shed(&mut self, now: Time, id: ConnectionId, reason: ShedReason) -> ShedConnection {
        let connection = &self.connections[&id];
        let shed = ShedConnection {
            id,
            reason,
            activity: connection.activity,
            duration: now.since(connection.since),
            held: connection.held,
            transferred: connection.transferred,
        };
        self.close(id);
        shed
    }

    /// The connection to close for one more: the one that has been idle for longest, or else the
    /// costliest one.
    fn least_active(&self, now: Time) -> Option<ConnectionId> {
        let idle = self.connections.iter();
        let idle = idle.filter(|(_, c)| c.activity == ConnectionActivity::Idle);
        let idle = idle.min_by_key(|(id, c)| (c.since, **id));
        idle.map(|(id, _)| *id).or_else(|| self.costliest(now))
    }

    /// The connection to close for its memory.
    fn costliest(&self, now: Time) -> Option<ConnectionId> {
        let candidates = self.connections.iter();
        let candidates = candidates.filter(|(_, c)| c.activity != ConnectionActivity::Working);
        let costliest = candidates.max_by(|(a_id, a), (b_id, b)| {
            let is_large = |c: &Connection| c.held > SMALL_HOLDING + CONNECTION_OVERHEAD;
            let by_size = is_large(a).cmp(&is_large(b));
            let by_cost = || a.cost(now).total_cmp(&b.cost(now));
            by_size.then_with(by_cost).then_with(|| b_id.cmp(a_id))
        });
        costliest.map(|(id, _)| *id)
    }
}
