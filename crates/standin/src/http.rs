//! A minimal HTTP/1.1 server on the calling thread, and access to parts of its requests.

use actix_http::body::BoxBody;
use actix_http::HttpService;
use actix_http::Request;
use actix_http::Response;
use actix_service::fn_service;
use actix_service::IntoServiceFactory;
use actix_service::Service;
use actix_service::ServiceFactory;
use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;
use tokio::net::TcpListener;

/// Accepts connections and answers requests by `handler`; never returns.
pub(crate) async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let handler = Rc::new(handler);
    let http_service = fn_service(move |req: Request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler(req).await) }
    });
    let factory = HttpService::build().h1(http_service.into_factory());
    let service = factory
        .new_service(())
        .await
        .expect("this service factory cannot fail");
    let service = Rc::new(service);
    loop {
        let Ok((stream, peer)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        actix_rt::spawn(async move { service.call((stream, Some(peer))).await });
    }
}

/// Reads the body of a request. If the connection breaks, returns the part received until then.
pub(crate) async fn read_body(req: &mut Request) -> Bytes {
    let mut payload = actix_http::HttpMessage::take_payload(req);
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    body.freeze()
}

/// The value of a query parameter; `None` if it is missing or cannot be parsed.
pub(crate) fn query_param<T: std::str::FromStr>(req: &Request, name: &str) -> Option<T> {
    let pairs = req.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1
        .parse()
        .ok()
}
