//! Who a node is.

use crate::Incarnation;
use std::net::SocketAddr;
use std::sync::Arc;
use stdx::data;

data! {
    /// A node together with the backend server instance that it stands beside, as announced.
    #[derive(Hash)]
    pub struct Instance {
        /// This start of the process.
        pub incarnation: Incarnation,
        /// The service that the backend server belongs to.
        pub service: Arc<str>,
        /// The failure domain, unique over all regions.
        pub failure_domain: Arc<str>,
        /// The region that the failure domain is in.
        pub region: Arc<str>,
        /// Where other nodes reach it, by TCP and by UDP alike.
        pub addr: SocketAddr,
    }
}
