//! Limits of what is read from a server, and the memory that responses share.

use crate::ExchangeError;
use indexmap::IndexMap;
use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::Notify;

/// Bytes of a response's body that count towards no budget. Most bodies are smaller.
const UNCOUNTED_BYTES: usize = 64 * 1024;

/// Limits for reading one response.
#[derive(Debug, Clone)]
pub struct ReadLimits {
    /// Largest body, in bytes.
    pub max_body: usize,
    /// The budget that the body shares with others.
    pub budget: ResponseBudget,
}

impl ReadLimits {
    /// Limits for responses that share a budget of `max_bytes` among themselves.
    ///
    /// # Examples
    ///
    /// ```
    /// let limits = bilberry_httpconn::ReadLimits::new(1 << 20, 4 << 20);
    /// assert_eq!(limits.max_body, 1_048_576);
    /// ```
    pub fn new(max_body: usize, max_bytes: usize) -> Self {
        Self {
            max_body,
            budget: ResponseBudget::new(max_bytes),
        }
    }

    /// The same budget for responses with smaller bodies.
    pub fn with_max_body(&self, max_body: usize) -> Self {
        Self {
            max_body,
            budget: self.budget.clone(),
        }
    }
}

/// Memory budget for the bodies of all responses that are being read.
///
/// A body with a declared length reserves it before it is read, and waits while there is no room, so
/// that no response is lost because others are large. A body of unknown length takes what it needs
/// as it grows. If there is no room for more, the largest of these is given up.
#[derive(Debug, Clone)]
pub struct ResponseBudget(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    available: Cell<usize>,
    /// Bytes of responses that were read and wait to be sent on.
    queued: Cell<usize>,
    /// Notified when a share is returned, or when fewer bytes wait to be sent on.
    returned: Notify,
    next_id: Cell<u64>,
    /// The shares of bodies of unknown length.
    growing: RefCell<IndexMap<u64, Rc<Growing>>>,
}

#[derive(Debug, Default)]
struct Growing {
    bytes: Cell<usize>,
    is_given_up: Cell<bool>,
    given_up: Notify,
}

impl ResponseBudget {
    /// Creates a budget of this many bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self(Rc::new(Shared {
            available: Cell::new(max_bytes),
            queued: Cell::new(0),
            returned: Notify::new(),
            next_id: Cell::new(0),
            growing: RefCell::default(),
        }))
    }

    /// Counts bytes that wait to be sent on. While they leave no room, no body of declared length is
    /// read, so that the server is slowed down instead of responses being lost.
    ///
    /// # Examples
    ///
    /// ```
    /// let budget = bilberry_httpconn::ResponseBudget::new(4 << 20);
    /// budget.add_queued(1000);
    /// budget.remove_queued(1000);
    /// ```
    pub fn add_queued(&self, bytes: usize) {
        self.0.queued.set(self.0.queued.get() + bytes);
    }

    /// Counts bytes that were sent on, or are not sent any more.
    pub fn remove_queued(&self, bytes: usize) {
        self.0.queued.set(self.0.queued.get() - bytes);
        self.0.returned.notify_waiters();
    }

    /// A share for one response. It is empty.
    pub(crate) fn share(&self) -> Share {
        Share {
            shared: self.0.clone(),
            received: 0,
            reserved: 0,
            growing: None,
        }
    }
}

impl Shared {
    fn take(&self, bytes: usize) -> bool {
        let left = self.available.get().checked_sub(bytes);
        left.inspect(|left| self.available.set(*left)).is_some()
    }

    fn put_back(&self, bytes: usize) {
        self.available.set(self.available.get() + bytes);
        self.returned.notify_waiters();
    }

    /// Gives up the largest growing share; returns its id.
    fn give_up_largest(&self) -> Option<u64> {
        let largest = {
            let growing = self.growing.borrow();
            let largest = growing.iter().max_by_key(|(_, share)| share.bytes.get());
            largest.map(|(id, share)| (*id, share.clone()))
        };
        let (id, share) = largest.filter(|(_, share)| share.bytes.get() > 0)?;
        share.is_given_up.set(true);
        share.given_up.notify_one();
        self.put_back(share.bytes.take());
        Some(id)
    }
}

/// What one response has taken of a budget; returned when dropped.
#[derive(Debug)]
pub(crate) struct Share {
    shared: Rc<Shared>,
    /// Bytes of the body that were received.
    received: usize,
    /// Bytes reserved for a body of declared length.
    reserved: usize,
    growing: Option<(u64, Rc<Growing>)>,
}

impl Share {
    /// Reserves the length of a body before it is read, and waits until there is room for it.
    pub(crate) async fn reserve(&mut self, len: usize) {
        let bytes = len.saturating_sub(UNCOUNTED_BYTES);
        let has_room = || {
            let left = self.shared.available.get().checked_sub(bytes);
            left.is_some_and(|left| left >= self.shared.queued.get())
        };
        while bytes > 0 && !has_room() {
            self.shared.returned.notified().await;
        }
        self.shared
            .available
            .set(self.shared.available.get() - bytes);
        self.reserved = bytes;
    }

    /// Counts bytes of a body whose length is not known.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NoMemory`] if this response has been given up, or is the largest one and
    /// there is no room for the bytes.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), ExchangeError> {
        let before = self.received.max(UNCOUNTED_BYTES);
        self.received += bytes;
        let bytes = self.received.saturating_sub(before);
        if bytes == 0 {
            return Ok(());
        }
        let shared = self.shared.clone();
        let (id, growing) = self.growing.get_or_insert_with(|| {
            let id = shared.next_id.get();
            shared.next_id.set(id + 1);
            let growing = Rc::new(Growing::default());
            shared.growing.borrow_mut().insert(id, growing.clone());
            (id, growing)
        });
        while !growing.is_given_up.get() && !shared.take(bytes) {
            let given_up = shared.give_up_largest();
            if given_up.is_none_or(|given_up| given_up == *id) {
                return Err(ExchangeError::NoMemory);
            }
        }
        if growing.is_given_up.get() {
            return Err(ExchangeError::NoMemory);
        }
        growing.bytes.set(growing.bytes.get() + bytes);
        Ok(())
    }

    /// Waits until this response is given up.
    pub(crate) async fn given_up(&self) {
        match &self.growing {
            Some((_, growing)) => growing.given_up.notified().await,
            None => std::future::pending().await,
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut bytes = self.reserved;
        if let Some((id, growing)) = &self.growing {
            self.shared.growing.borrow_mut().swap_remove(id);
            bytes += growing.bytes.take();
        }
        if bytes > 0 {
            self.shared.put_back(bytes);
        }
    }
}
