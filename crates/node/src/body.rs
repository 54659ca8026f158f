//! Reads the bodies of callers' requests completely, within a time limit and a shared memory
//! budget.

use crate::connections::Account;
use crate::connections::Held;
use actix_http::HttpMessage;
use actix_http::Request as HttpRequest;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use proto::Reason;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Limits for one body.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// Largest body, in bytes.
    pub(crate) max_bytes: usize,
    /// Time limit for receiving the body.
    pub(crate) timeout: Duration,
}

/// Memory budget shared by all request bodies in flight.
///
/// A limit per body is not enough: many bodies at once could exhaust the memory of a small
/// instance, and the kernel would kill the process with every call in it.
#[derive(Debug, Clone)]
pub(crate) struct BodyBudget {
    available: Rc<Cell<usize>>,
}

/// A share of the budget, returned when dropped.
pub(crate) struct Reservation {
    budget: BodyBudget,
    bytes: usize,
    held: Held,
}

impl BodyBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            available: Rc::new(Cell::new(bytes)),
        }
    }

    fn reserve(&self, account: &Rc<Account>) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
            held: account.hold_body(),
        }
    }
}

impl Reservation {
    fn grow(&mut self, bytes: usize) -> Result<(), Reason> {
        let available = self.budget.available.get();
        let available = available.checked_sub(bytes).ok_or(Reason::TableFull)?;
        self.budget.available.set(available);
        self.bytes += bytes;
        self.held.grow(bytes);
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let available = &self.budget.available;
        available.set(available.get() + self.bytes);
    }
}

/// Reads the whole body. The reservation must be kept for as long as the body is in use.
pub(crate) async fn read_body(
    req: &mut HttpRequest,
    limits: BodyLimits,
    budget: &BodyBudget,
    account: &Rc<Account>,
) -> Result<(Bytes, Reservation), Reason> {
    if declared_len(req).is_some_and(|len| len > limits.max_bytes) {
        return Err(Reason::TooLarge);
    }
    // Without a time limit, a caller that sends one byte at a time would hold its share of the
    // budget indefinitely.
    let body = timeout(
        limits.timeout,
        collect(req, limits.max_bytes, budget.reserve(account)),
    )
    .await;
    body.unwrap_or(Err(Reason::Deadline))
}

async fn collect(
    req: &mut HttpRequest,
    max_bytes: usize,
    mut reservation: Reservation,
) -> Result<(Bytes, Reservation), Reason> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Reason::BadRequest)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(Reason::TooLarge);
        }
        reservation.grow(chunk.len())?;
        body.extend_from_slice(&chunk);
    }
    Ok((body.freeze(), reservation))
}

/// The length declared by the `Content-Length` header.
fn declared_len(req: &HttpRequest) -> Option<usize> {
    let len = req.headers().get(actix_http::header::CONTENT_LENGTH)?;
    len.to_str().ok()?.parse().ok()
}
