//! Bodies of callers' requests: whole, in time, and bounded in memory together.

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

/// Bounds of bodies.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BodyLimits {
    /// The largest body, in bytes.
    pub(crate) max_bytes: usize,
    /// How long one may take.
    pub(crate) timeout: Duration,
}

/// The bytes that all bodies in flight may take up together.
///
/// Each body alone keeps to its bound, but many at once would still take all the memory of a small
/// instance, and the kernel would kill the process with every call in it.
#[derive(Debug, Clone)]
pub(crate) struct BodyBudget {
    available: Rc<Cell<usize>>,
}

/// A part of the budget; given back when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: BodyBudget,
    bytes: usize,
}

impl BodyBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            available: Rc::new(Cell::new(bytes)),
        }
    }

    fn reserve(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            bytes: 0,
        }
    }
}

impl Reservation {
    fn grow(&mut self, bytes: usize) -> Result<(), Reason> {
        let available = self.budget.available.get();
        let available = available.checked_sub(bytes).ok_or(Reason::TableFull)?;
        self.budget.available.set(available);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let available = &self.budget.available;
        available.set(available.get() + self.bytes);
    }
}

/// Reads the whole body. Keep the reservation for as long as the body is in use.
pub(crate) async fn read_body(
    req: &mut HttpRequest,
    limits: BodyLimits,
    budget: &BodyBudget,
) -> Result<(Bytes, Reservation), Reason> {
    if declared_len(req).is_some_and(|len| len > limits.max_bytes) {
        return Err(Reason::TooLarge);
    }
    // A caller that sends its body a byte at a time would hold its place in the budget for ever.
    let body = timeout(limits.timeout, collect(req, limits.max_bytes, budget)).await;
    body.unwrap_or(Err(Reason::Deadline))
}

async fn collect(
    req: &mut HttpRequest,
    max_bytes: usize,
    budget: &BodyBudget,
) -> Result<(Bytes, Reservation), Reason> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    let mut reservation = budget.reserve();
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

/// The length that the head announces.
fn declared_len(req: &HttpRequest) -> Option<usize> {
    let len = req.headers().get(actix_http::header::CONTENT_LENGTH)?;
    len.to_str().ok()?.parse().ok()
}
