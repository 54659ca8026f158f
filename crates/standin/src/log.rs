//! The log service's stand-in: one stream in memory, with the faults of the real one.

use crate::http;
use actix_http::body::BoxBody;
use actix_http::Method;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use bytes::Bytes;
use logservice::Batch;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// What may go wrong, switched at any time.
#[derive(Debug, Default)]
pub struct Faults {
    /// Nothing is answered and nothing takes effect.
    pub down: Cell<bool>,
    /// The answers of this many appends are lost after they took effect.
    pub lose_answers: Cell<u32>,
    /// How long each answer takes longer.
    pub delay: Cell<Duration>,
}

/// The log service's stand-in.
#[derive(Clone)]
pub struct Log {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What goes wrong.
    pub faults: Rc<Faults>,
    stream: Rc<Stream>,
}

#[derive(Default)]
struct Stream {
    first: Cell<u64>,
    records: RefCell<Vec<Bytes>>,
    appended: Notify,
}

impl Log {
    /// Starts a log service on `addr`, for as long as the system runs.
    pub async fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let log = Self {
            addr,
            faults: Rc::default(),
            stream: Rc::default(),
        };
        let serving = log.clone();
        let handler = move |req| {
            let log = serving.clone();
            async move { log.handle(req).await }
        };
        actix_rt::spawn(http::serve(listener, handler));
        Ok(log)
    }

    /// Forgets the oldest records, as the service does after its retention.
    pub fn expire(&self, before: u64) {
        let first = self.stream.first.get();
        let gone = before
            .saturating_sub(first)
            .min(self.stream.records.borrow().len() as u64);
        self.stream.records.borrow_mut().drain(..gone as usize);
        self.stream.first.set(first + gone);
    }

    /// The offset that the next append gets.
    pub fn end(&self) -> u64 {
        self.stream.first.get() + self.stream.records.borrow().len() as u64
    }

    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let body = http::body(&mut req).await;
        if self.faults.down.get() {
            return Response::new(StatusCode::SERVICE_UNAVAILABLE);
        }
        tokio::time::sleep(self.faults.delay.get()).await;
        if req.method() == Method::POST {
            return self.append(body).await;
        }
        let from = http::query(&req, "from").unwrap_or(0);
        let wait = Duration::from_millis(http::query(&req, "wait_ms").unwrap_or(0));
        let max = http::query(&req, "max_bytes").unwrap_or(usize::MAX);
        let batch = self.read(from, wait, max).await;
        // A read that was waiting when the service went down gets nothing either.
        if self.faults.down.get() {
            return Response::new(StatusCode::SERVICE_UNAVAILABLE);
        }
        Response::build(StatusCode::OK)
            .body(proto::encode(&batch))
            .map_into_boxed_body()
    }

    async fn append(&self, record: Bytes) -> Response<BoxBody> {
        let offset = self.end();
        self.stream.records.borrow_mut().push(record);
        self.stream.appended.notify_waiters();
        let lose = self.faults.lose_answers.get();
        if lose > 0 {
            self.faults.lose_answers.set(lose - 1);
            return std::future::pending().await;
        }
        Response::build(StatusCode::OK)
            .body(offset.to_string())
            .map_into_boxed_body()
    }

    async fn read(&self, from: u64, wait: Duration, max_bytes: usize) -> Batch {
        if from >= self.end() {
            let _ = tokio::time::timeout(wait, self.stream.appended.notified()).await;
        }
        let first = self.stream.first.get();
        let records = self.stream.records.borrow();
        let skip = from.saturating_sub(first) as usize;
        let mut batch = Batch {
            first,
            end: self.end(),
            records: Vec::new(),
        };
        let mut bytes = 0;
        for (offset, record) in (first..).zip(records.iter()).skip(skip) {
            bytes += record.len();
            if bytes > max_bytes && !batch.records.is_empty() {
                break;
            }
            batch.records.push((offset, record.clone()));
        }
        batch
    }
}
