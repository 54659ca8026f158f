//! Stand-ins for what surrounds the system: the store, backend servers and callers. They run
//! inside a test's process or as examples, and ship in no binary.

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
