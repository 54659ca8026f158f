//! Key records, as they move from one home to the next.

use crate::Fingerprint;
use crate::Incarnation;
use crate::KeyHash;
use crate::Response;
use stdx::data;

data! {
    /// What a home remembers of a key.
    pub struct KeyRecord {
        /// The key.
        pub key: KeyHash,
        /// What was asked with it.
        pub fingerprint: Fingerprint,
        /// How far its run is.
        pub state: RecordState,
        /// Milliseconds until the record may be forgotten, counted from the run's end.
        pub retention_ms: u32,
    }
}

data! {
    /// How far the run of a key is. It only ever moves forward.
    pub enum RecordState {
        /// A run may be under way at the home named here; re-sends attach to it.
        Running(Incarnation),
        /// It ended with this whole response.
        Done(Response),
        /// It may have run; nobody can tell any more.
        Unknown,
        /// It certainly did not run; the record is void and the key may be used again.
        NotRun,
    }
}

data! {
    /// One slot on its way from the home in an earlier view to the home in `view`.
    pub struct SlotTransfer {
        /// The service.
        pub service: std::sync::Arc<str>,
        /// The slot.
        pub slot: u16,
        /// The view that moved it.
        pub view: u64,
        /// Who gives it. It has stopped starting work in this slot.
        pub from: Incarnation,
        /// The count of this part, from 0. A slot whose records do not fit one frame has several.
        pub part: u16,
        /// How many parts there are.
        pub parts: u16,
        /// The live records of the slot, in this part.
        pub records: Vec<KeyRecord>,
        /// Milliseconds for which keys that are in no record may have run all the same, because
        /// an earlier home was lost with its records; 0 if there is no such doubt.
        pub uncertain_ms: u32,
    }
}
