//! Stand-ins for the systems around a node: the store, backend servers and callers. They run in the
//! process of a test or as examples, and are not part of any released binary.

mod backend;
mod deployment;
mod http;
mod load;
mod store;

pub use backend::Backend;
pub use backend::BackendConfig;
pub use backend::ChildCall;
pub use deployment::fetch_status_page;
pub use deployment::status_value;
pub use deployment::Deployment;
pub use deployment::InstanceConfig;
pub use deployment::InstanceHandle;
pub use load::run as run_load;
pub use load::LoadConfig;
pub use load::LoadReport;
pub use load::RequestKind;
pub use store::Store;
pub use store::StoreFaults;
