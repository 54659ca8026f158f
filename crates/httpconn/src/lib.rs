//! One client connection by HTTP/1.1 whose state is always known.
//!
//! A pooled client hides what a caller of non-idempotent work has to know: whether a byte of the
//! request was sent, whether the response is the one to this request, whether it is whole, and
//! whether anything was left over. Here each of these is said. The head and the framing of
//! responses are parsed by `actix-http`. This package knows nothing about who is at the other end.

mod connection;
mod error;
mod headers;
mod pool;
mod request;
mod response;

pub use connection::Connection;
pub use error::ExchangeError;
pub use headers::end_to_end_headers;
pub use headers::single_header;
pub use headers::BadHeader;
pub use pool::Pool;
pub use request::encode_request;
pub use response::CompleteResponse;
pub use response::Parser;
pub use response::Reuse;
