//! Overload control and load balancing: concurrency limits, queueing, load shedding, instance
//! selection, and retry budgets.
//!
//! An *action* is a request from outside together with all calls made on its behalf. Its *entry
//! node*, the first hop, is the node that received that request. A *run* is one execution of an
//! operation on a backend server. Classes are either lookups, which are shed first, or *protected*.
//!
//! This package does no I/O and reads no clock. It knows nothing about frames, keys or views.

mod admission_level;
mod concurrency_limit;
mod connection_ledger;
mod failure_share;
mod instance_selector;
mod instance_speed;
mod lookup_hold;
mod machine_speed;
mod priority_bands;
mod quarantine;
mod queue;
mod rate_limiter;
mod reported_level;
mod request_rate;
mod resend_budget;
mod retry_allowance;
mod retry_budget;
mod run_times;
mod server_admission;
mod slack_event;
mod slowdown;
mod switches;
mod work;

pub use admission_level::admission_value;
pub use admission_level::retry_delay;
pub use admission_level::retry_jitter;
pub use connection_ledger::ConnectionActivity;
pub use connection_ledger::ConnectionId;
pub use connection_ledger::ConnectionLedger;
pub use connection_ledger::ConnectionLimits;
pub use connection_ledger::LedgerFull;
pub use connection_ledger::ShedConnection;
pub use connection_ledger::ShedReason;
pub use instance_selector::Eligibility;
pub use instance_selector::InstanceSelector;
pub use instance_selector::Proximity;
pub use priority_bands::PriorityBands;
pub use quarantine::Quarantine;
pub use quarantine::Verdict;
pub use reported_level::ReportedLevel;
pub use request_rate::RateError;
pub use request_rate::RequestRate;
pub use resend_budget::BudgetConfig;
pub use resend_budget::ResendBudget;
pub use resend_budget::ResendBudgets;
pub use retry_allowance::RetryAllowance;
pub use retry_budget::FleetRetryLimits;
pub use retry_budget::RetryBudget;
pub use run_times::RunTimes;
pub use server_admission::ServerAdmission;
pub use slack_event::SlackEvent;
pub use switches::Switches;
pub use work::AdmissionDecision;
pub use work::WorkItem;
pub use work::WorkOutcome;
