//! Key records, as transferred from one home node to the next.

use crate::Fingerprint;
use crate::Incarnation;
use crate::KeyHash;
use crate::Response;
use stdx::data;

data! {
    /// What the home node stores about an idempotency key.
    pub struct KeyRecord {
        /// The key.
        pub key: KeyHash,
        /// The fingerprint of the request that the key was used for.
        pub fingerprint: Fingerprint,
        /// The state of the run.
        pub state: RecordState,
        /// Milliseconds for which the record is kept after the run has ended.
        pub retention_ms: u32,
    }
}

data! {
    /// The state of the run for a key. It only advances.
    pub enum RecordState {
        /// A run may be in progress at this home node; re-sent requests attach to it.
        Running(Incarnation),
        /// The run ended with this complete response.
        Done(Response),
        /// The request may have been executed, and its outcome can no longer be determined.
        Unknown,
        /// The request was certainly not executed; the record is void and the key may be reused.
        NotRun,
    }
}

data! {
    /// Transfer of a slot from its home node in an earlier view to its home node in `view`.
    pub struct SlotTransfer {
        /// The service.
        pub service: std::sync::Arc<str>,
        /// The slot.
        pub slot: u16,
        /// The number of the view that moved it.
        pub view: u64,
        /// The previous home node, which no longer starts runs for this slot.
        pub from: Incarnation,
        /// Index of this part, from 0. A slot whose records exceed the frame size is sent in
        /// several parts.
        pub part: u16,
        /// The number of parts.
        pub parts: u16,
        /// The live records of the slot that are in this part.
        pub records: Vec<KeyRecord>,
        /// Remaining milliseconds during which a request whose key has no record may have been
        /// executed, because an earlier home node was lost together with its records; 0 if no
        /// records were lost.
        pub uncertain_ms: u32,
    }
}
