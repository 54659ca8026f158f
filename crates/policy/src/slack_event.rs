//! Events of scheduling by slack, for counters.

use stdx::plain;

plain! {
    /// What became of work that has a latest start.
    #[derive(Hash, PartialOrd, Ord)]
    pub enum SlackEvent {
        /// It was queued, because no slot was free.
        WaitedForSlot,
        /// It was queued, because the rate limit that the server names was reached.
        WaitedForRateLimit,
        /// It was queued, because the free slots are kept for work that would be late otherwise.
        WaitedForReserve,
        /// It was started after its latest start.
        StartedLate,
        /// An action that begins here was refused on arrival, because it would have waited beyond
        /// its latest start or its deadline.
        RefusedOnArrival,
        /// An action was refused, because its organisation has half of the queue while another one
        /// is waiting.
        RefusedOverShare,
        /// It was queued and later refused, because it can no longer be answered by its deadline.
        RefusedInQueue,
    }
}

impl SlackEvent {
    /// All events.
    pub const ALL: [SlackEvent; 7] = [
        SlackEvent::WaitedForSlot,
        SlackEvent::WaitedForRateLimit,
        SlackEvent::WaitedForReserve,
        SlackEvent::StartedLate,
        SlackEvent::RefusedOnArrival,
        SlackEvent::RefusedOverShare,
        SlackEvent::RefusedInQueue,
    ];

    /// The name used in counters.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bilberry_policy::SlackEvent::StartedLate.name(), "started_late");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            SlackEvent::WaitedForSlot => "waited.slot",
            SlackEvent::WaitedForRateLimit => "waited.rate_limit",
            SlackEvent::WaitedForReserve => "waited.reserve",
            SlackEvent::StartedLate => "started_late",
            SlackEvent::RefusedOnArrival => "refused_on_arrival",
            SlackEvent::RefusedOverShare => "refused_over_share",
            SlackEvent::RefusedInQueue => "refused_in_queue",
        }
    }
}
