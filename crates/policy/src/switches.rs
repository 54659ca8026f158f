//! Switches for the mechanisms. Production runs with all of them on; experiments turn one off at a
//! time.

use stdx::plain;

plain! {
    /// Which mechanisms are on.
    pub struct Switches {
        /// The concurrency limit follows the measured latency; if off, it is the maximum set in the
        /// rules.
        pub adaptive_limit: bool,
        /// A server that is new or was down starts with a low concurrency limit.
        pub slow_start: bool,
        /// Work that cannot meet its deadline is refused instead of being queued.
        pub deadline_queue: bool,
        /// Protected classes leave the queue before lookups.
        pub class_order: bool,
        /// Load is shed by admission levels, at the server and at the entry node.
        pub levels: bool,
        /// Each node limits retries to a ratio of its calls, in addition to the allowances of
        /// actions.
        pub retry_budget: bool,
        /// Re-sends of callers attach to the work in flight or are limited to a ratio of first
        /// sends.
        pub resend_limit: bool,
        /// Refused callers are given different retry delays.
        pub spread: bool,
        /// Requests that crash backend servers are refused.
        pub quarantine: bool,
        /// Calls go to the less loaded of the near instances; if off, to all of them in turn.
        pub by_load: bool,
        /// Failures of a server count as load, so that calls go to other instances.
        pub avoid_failing: bool,
        /// Slowness of a server counts as load, so that calls go to other instances.
        pub avoid_slow: bool,
        /// Work of a more urgent priority is shed after the rest of its class and started before
        /// it.
        pub ranks: bool,
        /// An instance with spare capacity counts as idle, so that calls stay in their failure
        /// domain.
        pub room: bool,
        /// A peer that does not answer a ping receives no new calls.
        pub quiet_peers: bool,
        /// A read whose answer is late is sent to a second instance.
        pub hedges: bool,
        /// For comparison only: number of retries that each hop makes regardless of the action's
        /// allowance.
        pub hop_retries: u8,
    }
}

impl Switches {
    /// All mechanisms on.
    pub const ALL: Switches = Switches {
        adaptive_limit: true,
        slow_start: true,
        deadline_queue: true,
        class_order: true,
        levels: true,
        retry_budget: true,
        resend_limit: true,
        spread: true,
        quarantine: true,
        by_load: true,
        avoid_failing: true,
        avoid_slow: true,
        ranks: true,
        room: true,
        quiet_peers: true,
        hedges: true,
        hop_retries: 0,
    };

    /// The names of the mechanisms that can be switched off one at a time.
    pub const NAMES: [&str; 16] = [
        "adaptive-limit",
        "slow-start",
        "deadline-queue",
        "class-order",
        "levels",
        "retry-budget",
        "resend-limit",
        "spread",
        "quarantine",
        "by-load",
        "avoid-failing",
        "avoid-slow",
        "ranks",
        "room",
        "quiet-peers",
        "hedges",
    ];

    /// The same switches with the named mechanism off; `None` if there is no mechanism of this
    /// name.
    ///
    /// # Examples
    ///
    /// ```
    /// use bilberry_policy::Switches;
    ///
    /// assert!(!Switches::ALL.without("levels").unwrap().levels);
    /// assert_eq!(Switches::ALL.without("luck"), None);
    /// ```
    pub fn without(mut self, name: &str) -> Option<Self> {
        let switch = match name {
            "adaptive-limit" => &mut self.adaptive_limit,
            "slow-start" => &mut self.slow_start,
            "deadline-queue" => &mut self.deadline_queue,
            "class-order" => &mut self.class_order,
            "levels" => &mut self.levels,
            "retry-budget" => &mut self.retry_budget,
            "resend-limit" => &mut self.resend_limit,
            "spread" => &mut self.spread,
            "quarantine" => &mut self.quarantine,
            "by-load" => &mut self.by_load,
            "avoid-failing" => &mut self.avoid_failing,
            "avoid-slow" => &mut self.avoid_slow,
            "ranks" => &mut self.ranks,
            "room" => &mut self.room,
            "quiet-peers" => &mut self.quiet_peers,
            "hedges" => &mut self.hedges,
            _ => return None,
        };
        *switch = false;
        Some(self)
    }

    /// All mechanisms off: a fixed limit and a queue in order of arrival.
    pub const NONE: Switches = Switches {
        adaptive_limit: false,
        slow_start: false,
        deadline_queue: false,
        class_order: false,
        levels: false,
        retry_budget: false,
        resend_limit: false,
        spread: false,
        quarantine: false,
        by_load: false,
        avoid_failing: false,
        avoid_slow: false,
        ranks: false,
        room: false,
        quiet_peers: false,
        hedges: false,
        hop_retries: 0,
    };
}

impl Default for Switches {
    fn default() -> Self {
        Self::ALL
    }
}
