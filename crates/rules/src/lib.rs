//! The rules file: one rule a line, each with a comment that names who asked for it.
//!
//! This package parses and answers questions about the rules. It knows nothing about where a file
//! comes from, and does no I/O.

mod duration;
mod error;
mod explain;
mod model;
mod organisation;
mod parse;
mod route;

pub use duration::parse_duration;
pub use error::RuleError;
pub use error::RuleErrorKind;
pub use explain::Explanation;
pub use explain::LimitKind;
pub use model::Operation;
pub use model::RuleOrigin;
pub use model::Rules;
pub use model::ServiceLimits;
pub use organisation::KeyDigest;
pub use organisation::Organisation;
pub use organisation::OrganisationError;
pub use organisation::Organisations;
pub use organisation::Quota;
pub use parse::MAX_FILE_BYTES;
pub use parse::MAX_RULES;
pub use route::MatchedRule;
pub use route::Route;
pub use route::Routes;
