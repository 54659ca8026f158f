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
pub(crate) struct Limits {
    /// The largest body, in bytes.
    pub(crate) max: usize,
    /// How long one may take.
    pub(crate) time: Duration,
}

/// The bytes that all bodies in flight may take up together.
///
/// Each body alone keeps to its bound, but many at once would still take all the memory of a small
/// instance, and the kernel would kill the process with every call in it.
#[derive(Debug, Clone)]
pub(crate) struct Budget {
    left: Rc<Cell<usize>>,
}

/// A part of the budget; given back when dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Budget,
    bytes: usize,
}

impl Budget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self {
            left: Rc::new(Cell::new(bytes)),
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
        let left = self.budget.left.get();
        let left = left.checked_sub(bytes).ok_or(Reason::TableFull)?;
        self.budget.left.set(left);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let left = &self.budget.left;
        left.set(left.get() + self.bytes);
    }
}

/// Reads the whole body. Keep the reservation for as long as the body is in use.
pub(crate) async fn read(
    req: &mut HttpRequest,
    limits: Limits,
    budget: &Budget,
) -> Result<(Bytes, Reservation), Reason> {
    if announced(req).is_some_and(|len| len > limits.max) {
        return Err(Reason::TooLarge);
    }
    // A caller that sends its body a byte at a time would hold its place in the budget for ever.
    let read = timeout(limits.time, collect(req, limits.max, budget)).await;
    read.unwrap_or(Err(Reason::Deadline))
}

async fn collect(
    req: &mut HttpRequest,
    max: usize,
    budget: &Budget,
) -> Result<(Bytes, Reservation), Reason> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    let mut reservation = budget.reserve();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| Reason::BadRequest)?;
        if body.len() + chunk.len() > max {
            return Err(Reason::TooLarge);
        }
        reservation.grow(chunk.len())?;
        body.extend_from_slice(&chunk);
    }
    Ok((body.freeze(), reservation))
}

/// The length that the head announces.
fn announced(req: &HttpRequest) -> Option<usize> {
    let len = req.headers().get(actix_http::header::CONTENT_LENGTH)?;
    len.to_str().ok()?.parse().ok()
}
