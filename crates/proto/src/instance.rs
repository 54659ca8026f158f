//! The identity of a node and its backend server.

use crate::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use stdx::data;

data! {
    /// A backend server together with the node beside it, as announced to other nodes.
    #[derive(Hash)]
    pub struct Instance {
        /// The incarnation of the node's process.
        pub incarnation: Incarnation,
        /// The service of the backend server.
        pub service: Arc<str>,
        /// The failure domain, unique across all regions.
        pub failure_domain: Arc<str>,
        /// The region of the failure domain.
        pub region: Arc<str>,
        /// The address at which other nodes reach this one, both over TCP and UDP.
        pub addr: SocketAddr,
    }
}
