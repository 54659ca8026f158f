//! Requests and responses as nodes forward them: buffered completely and limited in size.

use bytes::Bytes;
use std::sync::Arc;
use stdx::data;
use stdx::plain;

plain! {
    /// The purpose of a call. Lookups are shed before all other classes.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Class {
        /// A catalogue lookup, or anything else that changes nothing of value.
        Lookup,
        /// An order.
        Order,
        /// A booking.
        Booking,
        /// A payment or charge.
        Payment,
        /// A print or label job.
        PrintJob,
    }
}

impl Class {
    /// Whether calls of this class are shed only after all lookups.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_proto::Class;
    ///
    /// assert!(Class::Order.is_protected());
    /// assert!(!Class::Lookup.is_protected());
    /// ```
    pub fn is_protected(self) -> bool {
        self != Class::Lookup
    }

    /// Returns the name used in rules and counters.
    pub fn name(self) -> &'static str {
        match self {
            Class::Lookup => "lookup",
            Class::Order => "order",
            Class::Booking => "booking",
            Class::Payment => "payment",
            Class::PrintJob => "print-job",
        }
    }
}

data! {
    /// A request to a service.
    #[derive(Hash)]
    pub struct Request {
        /// The caller's identifier for this attempt; empty if the caller sent none. It appears in
        /// logs, and calls that the backend server makes while handling the request refer to it.
        pub id: Arc<str>,
        /// The host that the caller addressed, if a route is chosen by host; else empty.
        pub host: Arc<str>,
        /// The service that the request is for.
        pub service: Arc<str>,
        /// The organisation of the caller; empty for calls made by backend servers and where no API
        /// key was required.
        pub organisation: Arc<str>,
        /// The HTTP method.
        pub method: Arc<str>,
        /// The path within the service, including the query.
        pub path: Arc<str>,
        /// End-to-end headers; names are in lower case.
        pub headers: Vec<(Arc<str>, Bytes)>,
        /// The complete body.
        pub body: Bytes,
    }
}

impl Request {
    /// Creates a request without headers, with an empty id, host and organisation.
    pub fn new(service: &str, method: &str, path: &str, body: Bytes) -> Self {
        Self {
            id: "".into(),
            host: "".into(),
            service: service.into(),
            organisation: "".into(),
            method: method.into(),
            path: path.into(),
            headers: Vec::new(),
            body,
        }
    }

    /// Approximate memory use of this request in bytes: body, path, headers and a fixed overhead.
    pub fn size(&self) -> usize {
        self.body.len() + self.path.len() + headers_size(&self.headers) + 64
    }
}

data! {
    /// The complete response of a backend server.
    #[derive(Hash)]
    pub struct Response {
        /// The HTTP status code.
        pub status: u16,
        /// End-to-end headers; names are in lower case.
        pub headers: Vec<(Arc<str>, Bytes)>,
        /// The complete body.
        pub body: Bytes,
    }
}

impl Response {
    /// Approximate memory use of this response in bytes: body, headers and a fixed overhead.
    pub fn size(&self) -> usize {
        self.body.len() + headers_size(&self.headers) + 32
    }
}

/// Approximate memory use of headers in bytes, with a fixed overhead for each.
fn headers_size(headers: &[(Arc<str>, Bytes)]) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + 32)
        .sum()
}
