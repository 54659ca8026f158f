//! One HTTP/1.1 server on one listener, on the calling thread.

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

/// Serves for as long as the returned task lives.
pub(crate) async fn serve<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request) -> R + 'static,
    R: Future<Output = Response<BoxBody>> + 'static,
{
    let handler = Rc::new(handler);
    let answer = fn_service(move |req: Request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler(req).await) }
    });
    let factory = HttpService::build().h1(answer.into_factory());
    let service = factory
        .new_service(())
        .await
        .expect("the service has nothing to fail with");
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

/// The whole body of a request; what came of it if it broke off.
pub(crate) async fn body(req: &mut Request) -> Bytes {
    let mut payload = actix_http::HttpMessage::take_payload(req);
    let mut body = BytesMut::new();
    while let Some(Ok(chunk)) = payload.next().await {
        body.extend_from_slice(&chunk);
    }
    body.freeze()
}

/// The value of a query parameter.
pub(crate) fn query<T: std::str::FromStr>(req: &Request, name: &str) -> Option<T> {
    let pairs = req.uri().query()?.split('&');
    pairs
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)?
        .1
        .parse()
        .ok()
}
