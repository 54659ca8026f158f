//! The stand-in of the users' platform's store: topics in memory, with the faults of the real one.
//!
//! Append (also conditional), long reads and the newest record of each key, as far as the system
//! uses them; groups and fenced producers are left out until something does.

use crate::http;
use actix_http::body::BoxBody;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use base64::prelude::BASE64_STANDARD;
use base64::Engine as _;
use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use indexmap::IndexMap;
use serde::Serialize;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// What may go wrong, switched at any time.
#[derive(Debug, Default)]
pub struct StoreFaults {
    /// Nothing takes effect, and each call is answered with 503.
    pub refusing: Cell<bool>,
    /// Nothing takes effect, and nothing is answered.
    pub silent: Cell<bool>,
    /// The answers of this many appends are lost after they took effect.
    pub lose_answers: Cell<u32>,
    /// How much longer each answer takes; an append takes effect after it.
    pub delay: Cell<Duration>,
}

/// The store's stand-in.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What goes wrong.
    pub faults: Rc<StoreFaults>,
    /// Calls answered, by path.
    pub calls: Rc<RefCell<IndexMap<String, u32>>>,
    topics: Rc<RefCell<IndexMap<String, Topic>>>,
    appended: Rc<Notify>,
}

#[derive(Debug, Default)]
struct Topic {
    first: u64,
    records: Vec<Bytes>,
    /// Key, value and offset; kept when records expire.
    newest: IndexMap<String, (Bytes, u64)>,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
    end: u64,
}

#[derive(Serialize)]
struct Expired {
    first: u64,
}

#[derive(Serialize)]
struct Newest {
    items: Vec<Item>,
    more: bool,
    end: u64,
}

#[derive(Serialize)]
struct Item {
    key: String,
    value: String,
    offset: u64,
}

impl Topic {
    fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, record: Bytes) {
        let offset = self.end();
        self.records.push(record.clone());
        let mut rest = record;
        let Ok(len) = rest.try_get_u8() else { return };
        if rest.len() < usize::from(len) {
            return;
        }
        let key = rest.split_to(usize::from(len));
        let key = String::from_utf8_lossy(&key).into_owned();
        if rest.is_empty() {
            self.newest.swap_remove(&key);
        } else {
            self.newest.insert(key, (rest, offset));
        }
    }
}

impl Store {
    /// Starts a store on `addr`, for as long as the system runs.
    pub async fn start(addr: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let store = Self {
            addr: listener.local_addr()?,
            faults: Rc::default(),
            calls: Rc::default(),
            topics: Rc::default(),
            appended: Rc::default(),
        };
        let serving = store.clone();
        let handler = move |req| {
            let store = serving.clone();
            async move { store.handle(req).await }
        };
        actix_rt::spawn(http::serve(listener, handler));
        Ok(store)
    }

    /// Writes a record, as the operator does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = BytesMut::new();
        record.put_u8(key.len() as u8);
        record.put_slice(key.as_bytes());
        record.put_slice(value.as_bytes());
        let mut topics = self.topics.borrow_mut();
        topics
            .entry(topic.to_owned())
            .or_default()
            .append(record.freeze());
        self.appended.notify_waiters();
    }

    /// Forgets all records but the newest of each key.
    pub fn expire(&self) {
        for topic in self.topics.borrow_mut().values_mut() {
            topic.first = topic.end();
            topic.records.clear();
        }
    }

    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let body = http::body(&mut req).await;
        tokio::time::sleep(self.faults.delay.get()).await;
        if self.faults.silent.get() {
            return std::future::pending().await;
        }
        if self.faults.refusing.get() {
            return Response::new(StatusCode::SERVICE_UNAVAILABLE);
        }
        let path = req.path().to_owned();
        *self.calls.borrow_mut().entry(path.clone()).or_insert(0) += 1;
        let topic: String = http::query(&req, "topic").unwrap_or_default();
        match &*path {
            "/bilberrycove/log-append" => self.append(&req, &topic, body).await,
            "/bilberrycove/log-read" => self.read(&req, &topic).await,
            "/bilberrycove/log-newest" => self.newest(&topic),
            _ => Response::new(StatusCode::NOT_FOUND),
        }
    }

    async fn append(&self, req: &Request, topic: &str, mut body: Bytes) -> Response<BoxBody> {
        let appended = {
            let mut topics = self.topics.borrow_mut();
            let topic = topics.entry(topic.to_owned()).or_default();
            let offset = topic.end();
            if http::query::<u64>(req, "at").is_some_and(|at| at != offset) {
                let end = offset;
                return json(StatusCode::PRECONDITION_FAILED, &Appended { offset, end });
            }
            while let Ok(len) = body.try_get_u32() {
                if body.len() < len as usize {
                    return Response::new(StatusCode::BAD_REQUEST);
                }
                topic.append(body.split_to(len as usize));
            }
            let end = topic.end();
            Appended { offset, end }
        };
        self.appended.notify_waiters();
        let lose = self.faults.lose_answers.get();
        if lose > 0 {
            self.faults.lose_answers.set(lose - 1);
            return std::future::pending().await;
        }
        json(StatusCode::OK, &appended)
    }

    async fn read(&self, req: &Request, topic: &str) -> Response<BoxBody> {
        let from: u64 = http::query(req, "from").unwrap_or(0);
        let wait = Duration::from_millis(http::query(req, "wait_ms").unwrap_or(0));
        let end = || self.topics.borrow().get(topic).map_or(0, Topic::end);
        if end() <= from {
            let _ = tokio::time::timeout(wait, self.appended.notified()).await;
        }
        if self.faults.refusing.get() {
            return Response::new(StatusCode::SERVICE_UNAVAILABLE);
        }
        let topics = self.topics.borrow();
        let nothing = Topic::default();
        let topic = topics.get(topic).unwrap_or(&nothing);
        if from < topic.first {
            return json(StatusCode::GONE, &Expired { first: topic.first });
        }
        let mut body = BytesMut::new();
        body.put_u64(topic.end());
        body.put_u64(topic.first);
        for record in topic.records.iter().skip((from - topic.first) as usize) {
            body.put_u32(record.len() as u32);
            body.put_slice(record);
        }
        Response::build(StatusCode::OK)
            .body(body.freeze())
            .map_into_boxed_body()
    }

    fn newest(&self, topic: &str) -> Response<BoxBody> {
        let topics = self.topics.borrow();
        let nothing = Topic::default();
        let topic = topics.get(topic).unwrap_or(&nothing);
        let items = topic.newest.iter().map(|(key, (value, offset))| Item {
            key: key.clone(),
            value: BASE64_STANDARD.encode(value),
            offset: *offset,
        });
        let newest = Newest {
            items: items.collect(),
            more: false,
            end: topic.end(),
        };
        json(StatusCode::OK, &newest)
    }
}

fn json(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    Response::build(status).body(body).map_into_boxed_body()
}
