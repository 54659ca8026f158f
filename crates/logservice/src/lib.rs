//! A client of the platform's append-only log service.
//!
//! The service's protocol, over HTTP: `POST /streams/NAME` with the record as the body answers 200
//! and the record's offset in decimal; `GET /streams/NAME?from=OFFSET&wait_ms=WAIT&max_bytes=MAX`
//! answers with a [`Batch`] in `postcard`, at once if there are records from `OFFSET` on, else as
//! soon as there are or after `WAIT` milliseconds. A batch holds at least one record, if there is
//! any, and no further ones past `MAX` bytes. This package knows nothing about what the records mean.

use bytes::Bytes;
use std::future::Future;
use std::time::Duration;
use stdx::data;

/// How many bytes of records one read asks for.
const BATCH: usize = 1 << 20;

/// The most bytes that an answer may have: one record of the largest size, or a batch.
const MAX_ANSWER: usize = 8 << 20;

/// How much longer than the asked wait an answer may take.
const PATIENCE: Duration = Duration::from_secs(3);

data! {
    /// Records of a stream in their order.
    #[derive(Default)]
    pub struct Batch {
        /// The offset of the oldest record that the service still has.
        pub first: u64,
        /// The offset that the next append will get.
        pub end: u64,
        /// Offsets and records.
        pub records: Vec<(u64, Bytes)>,
    }
}

/// Why the log service gave no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogError {
    /// No answer came. An append may have taken effect all the same.
    NoAnswer,
    /// The service answered with this status.
    Status(u16),
    /// The answer could not be read. An append may have taken effect all the same.
    BadAnswer,
}

impl std::fmt::Display for LogError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LogError::NoAnswer => write!(f, "the log service did not answer"),
            LogError::Status(status) => write!(f, "the log service answered {status}"),
            LogError::BadAnswer => write!(f, "the log service's answer could not be read"),
        }
    }
}

impl std::error::Error for LogError {}

/// A client of one stream.
#[derive(Clone)]
pub struct LogClient {
    client: awc::Client,
    url: String,
}

impl LogClient {
    /// A client of the stream `name` at `addr` (`IP:PORT`).
    ///
    /// # Examples
    ///
    /// ```
    /// let _client = bilberry_logservice::LogClient::new("127.0.0.1:9000", "bilberry");
    /// ```
    pub fn new(addr: &str, name: &str) -> Self {
        let client = awc::Client::builder()
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self {
            client,
            url: format!("http://{addr}/streams/{name}"),
        }
    }

    /// Appends a record; answers with its offset.
    ///
    /// # Errors
    ///
    /// [`LogError`]; unless it is a status, the append may have taken effect.
    pub async fn append(&self, record: Bytes) -> Result<u64, LogError> {
        within(PATIENCE, self.post(record)).await
    }

    async fn post(&self, record: Bytes) -> Result<u64, LogError> {
        let req = self.client.post(&self.url);
        let mut response = req
            .send_body(record)
            .await
            .map_err(|_| LogError::NoAnswer)?;
        if response.status() != awc::http::StatusCode::OK {
            return Err(LogError::Status(response.status().as_u16()));
        }
        let body = response.body().await.map_err(|_| LogError::BadAnswer)?;
        let text = std::str::from_utf8(&body).map_err(|_| LogError::BadAnswer)?;
        text.trim().parse().map_err(|_| LogError::BadAnswer)
    }

    /// Reads records from `from` on; waits up to `wait` for the first.
    ///
    /// # Errors
    ///
    /// [`LogError`].
    pub async fn read(&self, from: u64, wait: Duration) -> Result<Batch, LogError> {
        within(wait + PATIENCE, self.get(from, wait)).await
    }

    async fn get(&self, from: u64, wait: Duration) -> Result<Batch, LogError> {
        let wait = wait.as_millis();
        let url = format!("{}?from={from}&wait_ms={wait}&max_bytes={BATCH}", self.url);
        let req = self.client.get(url);
        let mut response = req.send().await.map_err(|_| LogError::NoAnswer)?;
        if response.status() != awc::http::StatusCode::OK {
            return Err(LogError::Status(response.status().as_u16()));
        }
        let body = response
            .body()
            .limit(MAX_ANSWER)
            .await
            .map_err(|_| LogError::BadAnswer)?;
        proto::decode(&body).map_err(|_| LogError::BadAnswer)
    }
}

/// Bounds the whole exchange. The client's own limits end with the head of an answer; a body that
/// stalls would keep the reader from ever trying again.
async fn within<T>(
    time: Duration,
    exchange: impl Future<Output = Result<T, LogError>>,
) -> Result<T, LogError> {
    let done = tokio::time::timeout(time, exchange).await;
    done.unwrap_or(Err(LogError::NoAnswer))
}
