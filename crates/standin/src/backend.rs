//! A stand-in for a backend server. It answers after a set service time, calls other services
//! through its own node, and counts its runs by idempotency key.

use crate::http;
use actix_http::body::BoxBody;
use actix_http::HttpMessage;
use actix_http::Request;
use actix_http::Response;
use actix_http::StatusCode;
use bytes::Bytes;
use indexmap::IndexMap;
use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;

const CONTEXT_HEADER: &str = "bilberry-context";
const KEY_HEADER: &str = "idempotency-key";

/// A call that the server makes for each request it serves.
#[derive(Debug, Clone)]
pub struct ChildCall {
    /// The HTTP method.
    pub method: awc::http::Method,
    /// The request target, `/SERVICE/PATH`.
    pub path: String,
}

/// How the server handles a request.
#[derive(Debug, Clone, Default)]
pub struct BackendConfig {
    /// How long a request occupies a slot; child calls come after it.
    pub service_time: Duration,
    /// How many requests are served at the same time; further ones wait inside the server. With 0,
    /// there is no limit.
    pub slots: usize,
    /// Calls made one after another before the response.
    pub child_calls: Vec<ChildCall>,
}

/// A stand-in for a backend server.
#[derive(Clone)]
pub struct Backend {
    /// The address on which it listens.
    pub addr: SocketAddr,
    /// The address of its own node, through which it makes its calls; `None` until the node runs.
    pub node: Rc<Cell<Option<SocketAddr>>>,
    /// How it handles requests. May be changed at any time, except for `slots`.
    pub config: Rc<RefCell<BackendConfig>>,
    /// The number of runs started, by `Idempotency-Key`, or by path if a request has none.
    pub runs: Rc<RefCell<IndexMap<String, u32>>>,
    client: awc::Client,
    slots: Rc<Semaphore>,
}

impl Backend {
    /// Starts a server on `addr` that serves until the Actix system stops.
    pub async fn start(addr: SocketAddr, config: BackendConfig) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let slots = if config.slots == 0 {
            Semaphore::MAX_PERMITS
        } else {
            config.slots
        };
        let backend = Self {
            addr: listener.local_addr()?,
            node: Rc::default(),
            config: Rc::new(RefCell::new(config)),
            runs: Rc::default(),
            slots: Rc::new(Semaphore::new(slots)),
            client: awc::Client::builder()
                .disable_redirects()
                .disable_timeout()
                .finish(),
        };
        let handler_backend = backend.clone();
        let handler = move |req| {
            let backend = handler_backend.clone();
            async move { backend.handle(req).await }
        };
        actix_rt::spawn(http::serve(listener, handler));
        Ok(backend)
    }

    async fn handle(&self, mut req: Request) -> Response<BoxBody> {
        let body = http::read_body(&mut req).await;
        if req.path() == "/-/runs" {
            return ok(self.runs_page());
        }
        let header = |name| req.headers().get(name)?.to_str().ok().map(str::to_owned);
        let key = header(KEY_HEADER).unwrap_or_else(|| req.path().to_owned());
        *self.runs.borrow_mut().entry(key).or_insert(0) += 1;
        let config = self.config.borrow().clone();
        let permit = self.slots.acquire().await;
        tokio::time::sleep(config.service_time).await;
        drop(permit);
        let context = header(CONTEXT_HEADER).unwrap_or_default();
        let mut response = body.to_vec();
        for child in &config.child_calls {
            match self.call(child, &context, body.clone()).await {
                Ok(child_body) => response.extend_from_slice(&child_body),
                Err(status) => return Response::new(status),
            }
        }
        response.extend_from_slice(req.path().as_bytes());
        ok(response)
    }

    async fn call(
        &self,
        child: &ChildCall,
        context: &str,
        body: Bytes,
    ) -> Result<Bytes, StatusCode> {
        let node = self.node.get().ok_or(StatusCode::INTERNAL_SERVER_ERROR)?;
        let url = format!("http://{node}{}", child.path);
        let req = self.client.request(child.method.clone(), url);
        let req = req.insert_header((CONTEXT_HEADER, context));
        let mut response = req
            .send_body(body)
            .await
            .map_err(|_| StatusCode::BAD_GATEWAY)?;
        if response.status() != awc::http::StatusCode::OK {
            return Err(StatusCode::BAD_GATEWAY);
        }
        response.body().await.map_err(|_| StatusCode::BAD_GATEWAY)
    }

    /// One line of `COUNT KEY` for each key.
    fn runs_page(&self) -> String {
        let runs = self.runs.borrow();
        runs.iter()
            .map(|(key, count)| format!("{count} {key}\n"))
            .collect()
    }
}

fn ok(body: impl Into<Bytes>) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .body(body.into())
        .map_into_boxed_body()
}
