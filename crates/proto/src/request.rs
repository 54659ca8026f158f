//! A request and a response, as they pass through the nodes: whole, and bounded in size.

use bytes::Bytes;
use std::sync::Arc;
use stdx::data;
use stdx::plain;

plain! {
    /// What a call is for. Lookups are shed before everything else.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum Class {
        /// A catalogue lookup, or anything else that changes nothing of worth.
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
    /// Whether this class is shed only after all lookups.
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

    /// The name that rules and counters use.
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
        /// The caller's own name of this attempt, for logs and for the calls that the backend
        /// server makes while it serves it; empty if the caller gave none.
        pub id: Arc<str>,
        /// The host that the caller asked, where routes decide by host; else empty.
        pub host: Arc<str>,
        /// The service that is asked.
        pub service: Arc<str>,
        /// The organisation that the caller belongs to; empty for a call of a backend server, and where
        /// no key was needed.
        pub organisation: Arc<str>,
        /// The method, as in HTTP.
        pub method: Arc<str>,
        /// The path below the service, with the query.
        pub path: Arc<str>,
        /// End-to-end headers, names in lower case.
        pub headers: Vec<(Arc<str>, Bytes)>,
        /// The whole body.
        pub body: Bytes,
    }
}

impl Request {
    /// A request without headers.
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

    /// Bytes that this request takes up in a table, roughly.
    pub fn size(&self) -> usize {
        self.body.len() + self.path.len() + headers_size(&self.headers) + 64
    }
}

data! {
    /// A backend server's whole response.
    #[derive(Hash)]
    pub struct Response {
        /// The status, as in HTTP.
        pub status: u16,
        /// End-to-end headers, names in lower case.
        pub headers: Vec<(Arc<str>, Bytes)>,
        /// The whole body.
        pub body: Bytes,
    }
}

impl Response {
    /// Bytes that this response takes up in a table, roughly.
    pub fn size(&self) -> usize {
        self.body.len() + headers_size(&self.headers) + 32
    }
}

fn headers_size(headers: &[(Arc<str>, Bytes)]) -> usize {
    headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + 32)
        .sum()
}
