//! Decisions about load: how much work a backend server takes, what waits, what is shed, whom a
//! call goes to, and who may retry.
//!
//! This package does no I/O and reads no clock. It knows nothing about frames, keys or views.

mod account;
mod budget;
mod choose;
mod failing;
mod heard;
mod hold;
mod late;
mod level;
mod limit;
mod pace;
mod quarantine;
mod queue;
mod ranks;
mod retries;
mod server;
mod switches;
mod work;

pub use account::RetryAllowance;
pub use budget::BudgetConfig;
pub use budget::ResendBudget;
pub use budget::ResendBudgets;
pub use choose::Eligibility;
pub use choose::InstanceSelector;
pub use choose::Proximity;
pub use heard::ReportedLevel;
pub use late::RunTimes;
pub use level::admission_value;
pub use level::retry_delay;
pub use level::retry_jitter;
pub use quarantine::Quarantine;
pub use quarantine::Verdict;
pub use ranks::PriorityBands;
pub use retries::FleetRetryLimits;
pub use retries::RetryBudget;
pub use server::ServerAdmission;
pub use switches::Switches;
pub use work::AdmissionDecision;
pub use work::WorkItem;
pub use work::WorkOutcome;
