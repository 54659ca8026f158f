//! HTTP/1.1 client connections that expose their state to the caller.
//!
//! General-purpose pooled clients hide what a caller needs to know to send non-idempotent requests:
//! whether any byte of the request was sent, whether the response belongs to this request, whether
//! it is complete, and whether bytes were left over. This package reports each of these. Response
//! heads and body framing are parsed by `actix-http`. Nothing here depends on which server is at
//! the other end.

mod connection;
mod error;
mod headers;
mod limits;
mod pool;
mod request;
mod response;

pub use connection::Connection;
pub use connection::ResponseStart;
pub use error::ExchangeError;
pub use headers::end_to_end_headers;
pub use headers::single_header;
pub use headers::BadHeader;
pub use limits::ReadLimits;
pub use limits::ResponseBudget;
pub use pool::Pool;
pub use request::encode_request;
pub use response::CompleteResponse;
pub use response::Parser;
pub use response::Reuse;
