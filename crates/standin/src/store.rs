//! A stand-in for the platform's store: an HTTP server with topics in memory, which can simulate
//! the faults of the real store.

mod groups;
mod partition;

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
use groups::JoinRequest;
use groups::MemberRequest;
use indexmap::IndexMap;
use partition::AppendConditions;
use partition::AppendError;
use partition::Partition;
use serde::Serialize;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The maximum number of records in one response to `log-newest`.
const NEWEST_PAGE_LEN: usize = 500;

/// The number of partitions of each topic.
const PARTITION_COUNT: u32 = 12;

/// Faults simulated by one listener. They may be changed at any time.
#[derive(Debug, Default)]
pub struct StoreFaults {
    /// Calls have no effect and are answered with status 503.
    pub unavailable: Cell<bool>,
    /// Calls have no effect and are not answered.
    pub unresponsive: Cell<bool>,
    /// The number of appends that take effect without being answered.
    pub drop_append_responses: Cell<u32>,
    /// The number of appends that are not answered and take effect only after `append_delay`, if
    /// their condition still holds then.
    pub delayed_appends: Cell<u32>,
    /// The delay of each of `delayed_appends`.
    pub append_delay: Cell<Duration>,
    /// The delay of each call. Appends take effect after it.
    pub response_delay: Cell<Duration>,
}

/// The records and consumer groups, which all listeners of a store share.
#[derive(Default)]
struct StoreData {
    /// Partitions by topic and number.
    partitions: RefCell<IndexMap<(String, u32), Partition>>,
    groups: RefCell<IndexMap<String, Group>>,
    /// Notified of each append to any partition.
    appended: Notify,
}

/// One listener of a store's stand-in.
#[derive(Clone)]
pub struct Store {
    /// The address on which it listens.
    pub addr: SocketAddr,
    /// The faults that this listener simulates.
    pub faults: Rc<StoreFaults>,
    /// The number of calls that this listener processed, by path.
    pub call_counts: Rc<RefCell<IndexMap<String, u32>>>,
    data: Rc<StoreData>,
}

#[derive(Serialize)]
struct AppendResponse {
    offset: u64,
    end: u64,
}

#[derive(Serialize)]
struct EndMismatchResponse {
    end: u64,
}

#[derive(Serialize)]
struct ExpiredResponse {
    first: u64,
}

#[derive(Serialize)]
struct AppendRefusedResponse {
    why: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    expected: Option<u64>,
}

#[derive(Serialize)]
struct NewestResponse {
    items: Vec<NewestItem>,
    more: bool,
    end: u64,
}

#[derive(Serialize)]
struct NewestItem {
    key: String,
    value: String,
    offset: u64,
}

impl Store {
    /// Starts a store on `addr` that serves until the Actix system stops.
    pub async fn start(addr: SocketAddr) -> std::io::Result<Self> {
        Self::listen(addr, Rc::default()).await
    }

    /// Adds a listener for the same data with its own faults. This simulates a store that refuses
    /// some machines while it serves others.
    pub async fn add_listener(&self) -> std::io::Result<Self> {
        let addr = SocketAddr::new(self.addr.ip(), 0);
        Self::listen(addr, self.data.clone()).await
    }

    async fn listen(addr: SocketAddr, data: Rc<StoreData>) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let store = Self {
            addr: listener.local_addr()?,
            faults: Rc::default(),
            call_counts: Rc::default(),
            data,
        };
        let handler_store = store.clone();
        let handler = move |req| {
            let store = handler_store.clone();
            async move { store.handle(req).await }
        };
        actix_rt::spawn(http::serve(listener, handler));
        Ok(store)
    }

    /// Appends a record with a key to the first partition of a topic, without any condition.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut body = BytesMut::new();
        body.put_u32((1 + key.len() + value.len()) as u32);
        body.put_u8(key.len() as u8);
        body.put_slice(key.as_bytes());
        body.put_slice(value.as_bytes());
        let result =
            self.append_to_partition(topic, 0, &AppendConditions::default(), body.freeze());
        debug_assert!(result.is_ok(), "{result:?}");
    }

    /// The offset that the next record in the first partition of a topic will get.
    pub fn end_offset(&self, topic: &str) -> u64 {
        self.with_partition(topic, 0, |partition| partition.end_offset())
    }

    /// Expires all records. The newest record of each key remains available to `log-newest`.
    pub fn expire_records(&self) {
        for partition in self.data.partitions.borrow_mut().values_mut() {
            partition.trim(partition.end_offset());
        }
    }

    /// Reassigns the partitions of all groups, which starts a new generation of each.
    pub fn rebalance(&self) {
        for group in self.data.groups.borrow_mut().values_mut() {
            group.rebalance();
        }
    }

    /// Calls a function with a partition, which is created if it does not exist.
    fn with_partition<T>(
        &self,
        topic: &str,
        part: u32,
        access: impl FnOnce(&mut Partition) -> T,
    ) -> T {
        let mut partitions = self.data.partitions.borrow_mut();
        let partition = partitions.entry((topic.to_owned(), part));
        let partition = partition.or_insert_with(|| Partition::new(topic.starts_with("keyed.")));
        access(partition)
    }

    /// Appends records and wakes waiting reads.
    fn append_to_partition(
        &self,
        topic: &str,
        part: u32,
        conditions: &AppendConditions,
        body: Bytes,
    ) -> Result<partition::Appended, AppendError> {
        let result = self.with_partition(topic, part, |p| p.append(conditions, body));
        self.data.appended.notify_waiters();
        result
    }

    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let body = http::read_body(&mut req).await;
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
        let topic: String = http::query_param(&req, "topic").unwrap_or_default();
        let part = http::query_param(&req, "part").unwrap_or(0);
        match &*path {
            "/bilberrycove/log-append" => self.append(&req, &topic, part, body).await,
            "/bilberrycove/log-read" => self.read(&req, &topic, part).await,
            "/bilberrycove/log-newest" => self.newest(&req, &topic, part),
            "/bilberrycove/log-trim" => {
                let before = http::query_param(&req, "before").unwrap_or(0);
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
        let producer = http::query_param(req, "producer").zip(http::query_param(req, "epoch"));
        let producer = producer.map(|(name, epoch)| {
            let sequence = http::query_param(req, "sequence").unwrap_or(0);
            (name, epoch, sequence)
        });
        let conditions = AppendConditions {
            expected_end: http::query_param(req, "at"),
            producer,
        };
        let delayed = self.faults.delayed_appends.get();
        if delayed > 0 {
            self.faults.delayed_appends.set(delayed - 1);
            let (store, topic) = (self.clone(), topic.to_owned());
            actix_rt::spawn(async move {
                tokio::time::sleep(store.faults.append_delay.get()).await;
                // The result is not reported: the append is never answered.
                let _ = store.append_to_partition(&topic, part, &conditions, body);
            });
            return std::future::pending().await;
        }
        let result = self.append_to_partition(topic, part, &conditions, body);
        let to_drop = self.faults.drop_append_responses.get();
        if to_drop > 0 {
            self.faults.drop_append_responses.set(to_drop - 1);
            return std::future::pending().await;
        }
        let refused_response = |why, expected| {
            json(
                StatusCode::CONFLICT,
                &AppendRefusedResponse { why, expected },
            )
        };
        match result {
            Ok(partition::Appended { offset, end }) => {
                json(StatusCode::OK, &AppendResponse { offset, end })
            }
            Err(AppendError::Malformed) => Response::new(StatusCode::BAD_REQUEST),
            Err(AppendError::EndMismatch { end }) => json(
                StatusCode::PRECONDITION_FAILED,
                &EndMismatchResponse { end },
            ),
            Err(AppendError::Fenced) => refused_response("fenced", None),
            Err(AppendError::OutOfSequence { expected }) => refused_response("seq", Some(expected)),
        }
    }

    async fn read(&self, req: &Request, topic: &str, part: u32) -> Response<BoxBody> {
        let from: u64 = http::query_param(req, "from").unwrap_or(0);
        let wait = Duration::from_millis(http::query_param(req, "wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            let appended = self.data.appended.notified();
            let at_end =
                self.with_partition(topic, part, |partition| partition.end_offset() <= from);
            // An append to any partition wakes this read, which then checks its own one again.
            if !at_end || tokio::time::timeout_at(deadline, appended).await.is_err() {
                break;
            }
        }
        // The fault may have been set while the read was waiting.
        if self.faults.unavailable.get() {
            return Response::new(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.with_partition(topic, part, |partition| {
            let (first, end) = (partition.first_offset, partition.end_offset());
            let Some(records) = partition.records_from(from) else {
                return json(StatusCode::GONE, &ExpiredResponse { first });
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
        let after: String = http::query_param(req, "after").unwrap_or_default();
        let newest = self.with_partition(topic, part, |partition| {
            let all = partition.newest_after(&after);
            let items = all
                .iter()
                .take(NEWEST_PAGE_LEN)
                .map(|(key, value, offset)| NewestItem {
                    key: (*key).to_owned(),
                    value: BASE64_STANDARD.encode(value),
                    offset: *offset,
                });
            NewestResponse {
                items: items.collect(),
                more: all.len() > NEWEST_PAGE_LEN,
                end: partition.end_offset(),
            }
        });
        json(StatusCode::OK, &newest)
    }

    fn join(&self, body: &[u8]) -> Response<BoxBody> {
        let Ok(request) = serde_json::from_slice::<JoinRequest>(body) else {
            return Response::new(StatusCode::BAD_REQUEST);
        };
        let mut groups = self.data.groups.borrow_mut();
        let group = groups.entry(request.group.clone()).or_default();
        json(
            StatusCode::OK,
            &group.join(Instant::now(), &request, PARTITION_COUNT),
        )
    }

    fn leave(&self, body: &[u8]) -> Response<BoxBody> {
        let Ok(request) = serde_json::from_slice::<MemberRequest>(body) else {
            return Response::new(StatusCode::BAD_REQUEST);
        };
        if let Some(group) = self.data.groups.borrow_mut().get_mut(&request.group) {
            group.leave(Instant::now(), &request.member);
        }
        Response::new(StatusCode::OK)
    }

    fn commit(&self, body: &[u8]) -> Response<BoxBody> {
        let Ok(request) = serde_json::from_slice::<MemberRequest>(body) else {
            return Response::new(StatusCode::BAD_REQUEST);
        };
        let mut groups = self.data.groups.borrow_mut();
        let group = groups.get_mut(&request.group);
        match group.is_some_and(|group| group.commit(Instant::now(), &request)) {
            true => Response::new(StatusCode::OK),
            false => Response::new(StatusCode::CONFLICT),
        }
    }

    fn owners(&self, req: &Request) -> Response<BoxBody> {
        let group_name: String = http::query_param(req, "group").unwrap_or_default();
        let mut groups = self.data.groups.borrow_mut();
        let group = groups.get_mut(&group_name);
        let owners = group.map_or(Vec::new(), |group| group.owners(Instant::now()));
        json(StatusCode::OK, &owners)
    }
}

/// A response with a JSON body.
fn json(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::build(status);
    response.insert_header(("content-type", "application/json"));
    response.body(body).map_into_boxed_body()
}
