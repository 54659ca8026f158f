//! The stand-in of the users' platform's store: topics in memory, with the faults of the real one.

mod groups;
mod topic;

use crate::http;
use actix_http::body::BoxBody;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use base64::prelude::BASE64_STANDARD;
use base64::Engine as _;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use groups::Group;
use groups::Join;
use groups::Progress;
use indexmap::IndexMap;
use serde::Serialize;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;
use topic::AppendError;
use topic::Conditions;
use topic::Partition;

/// The most records on a page of newest records.
const PAGE: usize = 500;

/// Partitions of each topic.
const PARTITIONS: u32 = 12;

/// What may go wrong at one listener, switched at any time.
#[derive(Debug, Default)]
pub struct StoreFaults {
    /// Nothing takes effect, and each call is answered with 503.
    pub unavailable: Cell<bool>,
    /// Nothing takes effect, and nothing is answered.
    pub unresponsive: Cell<bool>,
    /// The answers of this many appends are lost after they took effect.
    pub drop_append_responses: Cell<u32>,
    /// This many appends are not answered, and take effect after `late_by` if their condition still
    /// holds then.
    pub delayed_appends: Cell<u32>,
    /// How much later those take effect.
    pub append_delay: Cell<Duration>,
    /// How much longer each answer takes; an append takes effect after it.
    pub response_delay: Cell<Duration>,
}

#[derive(Default)]
struct Data {
    partitions: RefCell<IndexMap<(String, u32), Partition>>,
    groups: RefCell<IndexMap<String, Group>>,
    appended: Notify,
}

/// One listener of the store's stand-in.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub addr: SocketAddr,
    /// What goes wrong here.
    pub faults: Rc<StoreFaults>,
    /// Calls answered here, by path.
    pub call_counts: Rc<RefCell<IndexMap<String, u32>>>,
    data: Rc<Data>,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
    end: u64,
}

#[derive(Serialize)]
struct End {
    end: u64,
}

#[derive(Serialize)]
struct Expired {
    first: u64,
}

#[derive(Serialize)]
struct Refused {
    why: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    expected: Option<u64>,
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

impl Store {
    /// Starts a store on `addr`, for as long as the system runs.
    pub async fn start(addr: SocketAddr) -> std::io::Result<Self> {
        Self::open(addr, Rc::default()).await
    }

    /// Another listener on the same data, with faults of its own: how the store is met by machines that
    /// it turns away while it serves the others.
    pub async fn add_listener(&self) -> std::io::Result<Self> {
        let addr = SocketAddr::new(self.addr.ip(), 0);
        Self::open(addr, self.data.clone()).await
    }

    async fn open(addr: SocketAddr, data: Rc<Data>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let store = Self {
            addr: listener.local_addr()?,
            faults: Rc::default(),
            call_counts: Rc::default(),
            data,
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
        let mut body = BytesMut::new();
        body.put_u32((1 + key.len() + value.len()) as u32);
        body.put_u8(key.len() as u8);
        body.put_slice(key.as_bytes());
        body.put_slice(value.as_bytes());
        let done = self.apply(topic, 0, &Conditions::default(), body.freeze());
        debug_assert!(done.is_ok(), "{done:?}");
    }

    /// The offset that the next record of a topic's first partition gets.
    pub fn end_offset(&self, topic: &str) -> u64 {
        self.with_partition(topic, 0, |partition| partition.end())
    }

    /// Forgets all records but the newest of each key.
    pub fn expire_records(&self) {
        for partition in self.data.partitions.borrow_mut().values_mut() {
            partition.trim(partition.end());
        }
    }

    /// Deals all partitions of all groups anew.
    pub fn rebalance(&self) {
        for group in self.data.groups.borrow_mut().values_mut() {
            group.deal();
        }
    }

    fn with_partition<T>(
        &self,
        topic: &str,
        part: u32,
        then: impl FnOnce(&mut Partition) -> T,
    ) -> T {
        let mut partitions = self.data.partitions.borrow_mut();
        let partition = partitions.entry((topic.to_owned(), part));
        let partition = partition.or_insert_with(|| Partition::new(topic.starts_with("keyed.")));
        then(partition)
    }

    fn apply(
        &self,
        topic: &str,
        part: u32,
        conditions: &Conditions,
        body: Bytes,
    ) -> Result<topic::Appended, AppendError> {
        let done = self.with_partition(topic, part, |p| p.append(conditions, body));
        self.data.appended.notify_waiters();
        done
    }

    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let body = http::body(&mut req).await;
        tokio::time::sleep(self.faults.response_delay.get()).await;
        if self.faults.unresponsive.get() {
            return std::future::pending().await;
        }
        if self.faults.unavailable.get() {
            return Response::new(StatusCode::SERVICE_UNAVAILABLE);
        }
        let path = req.path().to_owned();
        *self
            .call_counts
            .borrow_mut()
            .entry(path.clone())
            .or_insert(0) += 1;
        let topic: String = http::query(&req, "topic").unwrap_or_default();
        let part = http::query(&req, "part").unwrap_or(0);
        match &*path {
            "/bilberrycove/log-append" => self.append(&req, &topic, part, body).await,
            "/bilberrycove/log-read" => self.read(&req, &topic, part).await,
            "/bilberrycove/log-newest" => self.newest(&req, &topic, part),
            "/bilberrycove/log-trim" => {
                let before = http::query(&req, "before").unwrap_or(0);
                self.with_partition(&topic, part, |partition| partition.trim(before));
                Response::new(StatusCode::OK)
            }
            "/bilberrycove/log-join" => self.join(&body),
            "/bilberrycove/log-leave" => self.leave(&body),
            "/bilberrycove/log-commit" => self.commit(&body),
            "/bilberrycove/log-owners" => self.owners(&req),
            _ => Response::new(StatusCode::NOT_FOUND),
        }
    }

    async fn append(
        &self,
        req: &Request,
        topic: &str,
        part: u32,
        body: Bytes,
    ) -> Response<BoxBody> {
        let producer = http::query(req, "producer").zip(http::query(req, "epoch"));
        let producer = producer.map(|(name, epoch)| {
            let sequence = http::query(req, "sequence").unwrap_or(0);
            (name, epoch, sequence)
        });
        let conditions = Conditions {
            at: http::query(req, "at"),
            producer,
        };
        let late = self.faults.delayed_appends.get();
        if late > 0 {
            self.faults.delayed_appends.set(late - 1);
            let (store, topic) = (self.clone(), topic.to_owned());
            actix_rt::spawn(async move {
                tokio::time::sleep(store.faults.append_delay.get()).await;
                // Nobody waits for the answer.
                let _ = store.apply(&topic, part, &conditions, body);
            });
            return std::future::pending().await;
        }
        let done = self.apply(topic, part, &conditions, body);
        let lose = self.faults.drop_append_responses.get();
        if lose > 0 {
            self.faults.drop_append_responses.set(lose - 1);
            return std::future::pending().await;
        }
        let refused = |why, expected| json(StatusCode::CONFLICT, &Refused { why, expected });
        match done {
            Ok(topic::Appended { offset, end }) => json(StatusCode::OK, &Appended { offset, end }),
            Err(AppendError::Malformed) => Response::new(StatusCode::BAD_REQUEST),
            Err(AppendError::Elsewhere { end }) => {
                json(StatusCode::PRECONDITION_FAILED, &End { end })
            }
            Err(AppendError::Fenced) => refused("fenced", None),
            Err(AppendError::Sequence { expected }) => refused("seq", Some(expected)),
        }
    }

    async fn read(&self, req: &Request, topic: &str, part: u32) -> Response<BoxBody> {
        let from: u64 = http::query(req, "from").unwrap_or(0);
        let wait = Duration::from_millis(http::query(req, "wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            let appended = self.data.appended.notified();
            let at_end = self.with_partition(topic, part, |partition| partition.end() <= from);
            // Any topic's record wakes this read.
            if !at_end || tokio::time::timeout_at(until, appended).await.is_err() {
                break;
            }
        }
        if self.faults.unavailable.get() {
            return Response::new(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.with_partition(topic, part, |partition| {
            let (first, end) = (partition.first, partition.end());
            let Some(records) = partition.read(from) else {
                return json(StatusCode::GONE, &Expired { first });
            };
            let mut body = BytesMut::new();
            body.put_u64(end);
            body.put_u64(first);
            for record in records {
                body.put_u32(record.len() as u32);
                body.put_slice(record);
            }
            Response::build(StatusCode::OK)
                .body(body.freeze())
                .map_into_boxed_body()
        })
    }

    fn newest(&self, req: &Request, topic: &str, part: u32) -> Response<BoxBody> {
        let after: String = http::query(req, "after").unwrap_or_default();
        let newest = self.with_partition(topic, part, |partition| {
            let all = partition.newest(&after);
            let items = all.iter().take(PAGE).map(|(key, value, offset)| Item {
                key: (*key).to_owned(),
                value: BASE64_STANDARD.encode(value),
                offset: *offset,
            });
            Newest {
                items: items.collect(),
                more: all.len() > PAGE,
                end: partition.end(),
            }
        });
        json(StatusCode::OK, &newest)
    }

    fn join(&self, body: &[u8]) -> Response<BoxBody> {
        let Ok(join) = serde_json::from_slice::<Join>(body) else {
            return Response::new(StatusCode::BAD_REQUEST);
        };
        let mut groups = self.data.groups.borrow_mut();
        let group = groups.entry(join.group.clone()).or_default();
        json(
            StatusCode::OK,
            &group.join(Instant::now(), &join, PARTITIONS),
        )
    }

    fn leave(&self, body: &[u8]) -> Response<BoxBody> {
        let Ok(leave) = serde_json::from_slice::<Progress>(body) else {
            return Response::new(StatusCode::BAD_REQUEST);
        };
        if let Some(group) = self.data.groups.borrow_mut().get_mut(&leave.group) {
            group.leave(Instant::now(), &leave.member);
        }
        Response::new(StatusCode::OK)
    }

    fn commit(&self, body: &[u8]) -> Response<BoxBody> {
        let Ok(commit) = serde_json::from_slice::<Progress>(body) else {
            return Response::new(StatusCode::BAD_REQUEST);
        };
        let mut groups = self.data.groups.borrow_mut();
        let group = groups.get_mut(&commit.group);
        match group.is_some_and(|group| group.commit(Instant::now(), &commit)) {
            true => Response::new(StatusCode::OK),
            false => Response::new(StatusCode::CONFLICT),
        }
    }

    fn owners(&self, req: &Request) -> Response<BoxBody> {
        let group: String = http::query(req, "group").unwrap_or_default();
        let mut groups = self.data.groups.borrow_mut();
        let owners = groups.get_mut(&group);
        let owners = owners.map_or(Vec::new(), |group| group.owners(Instant::now()));
        json(StatusCode::OK, &owners)
    }
}

fn json(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::build(status);
    response.insert_header(("content-type", "application/json"));
    response.body(body).map_into_boxed_body()
}
