//! Message types exchanged between the processes of the system, with the identifiers and outcomes
//! that they contain.
//!
//! This package does no I/O and makes no decisions; it does not depend on sockets, rules or policy.

mod answer;
mod codec;
mod datagram;
mod frame;
mod ids;
mod instance;
mod key;
mod load_wire;
mod member;
mod request;
mod transfer;

pub use answer::Answer;
pub use answer::DownstreamSummary;
pub use answer::LoadReport;
pub use answer::Outcome;
pub use answer::Reason;
pub use answer::Refusal;
pub use answer::ServerSpeed;
pub use codec::decode;
pub use codec::encode;
pub use codec::DecodeError;
pub use datagram::Datagram;
pub use datagram::FreshnessMessage;
pub use datagram::LeaseMessage;
pub use datagram::Loan;
pub use datagram::QuotaMessage;
pub use datagram::SyncProgress;
pub use datagram::TokenDemand;
pub use frame::Call;
pub use frame::CallRole;
pub use frame::Frame;
pub use frame::PROTOCOL_VERSION;
pub use ids::hash64;
pub use ids::ActionId;
pub use ids::CallId;
pub use ids::Incarnation;
pub use ids::OrganisationId;
pub use ids::RunId;
pub use instance::Instance;
pub use key::Fingerprint;
pub use key::IdempotencyKey;
pub use key::KeyHash;
pub use key::SLOT_COUNT;
pub use member::MemberMessage;
pub use member::PeerState;
pub use member::PeerUpdate;
pub use request::Class;
pub use request::Request;
pub use request::Response;
pub use transfer::KeyRecord;
pub use transfer::RecordState;
pub use transfer::SlotTransfer;
