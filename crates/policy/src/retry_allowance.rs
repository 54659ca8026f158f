//! Retry allowances over a call tree.

use stdx::plain;

plain! {
    /// The retries that one run or one outgoing call may still make or delegate to child calls.
    ///
    /// Delegated retries are unavailable until the child's answer returns the unused part; if the
    /// answer is lost, they are not recovered. The attempts of a whole call tree therefore never
    /// exceed one per edge plus the root's allowance, whichever messages are lost.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut allowance = bilberry_policy::RetryAllowance::new(2);
    /// assert!(allowance.try_withdraw());
    /// let delegated = allowance.delegate_half();
    /// allowance.reclaim(delegated, delegated);
    /// assert!(allowance.try_withdraw());
    /// assert!(!allowance.try_withdraw());
    /// ```
    pub struct RetryAllowance {
        remaining: u16,
    }
}

impl RetryAllowance {
    /// An allowance of `retries` retries.
    pub fn new(retries: u16) -> Self {
        Self { remaining: retries }
    }

    /// Takes one retry; returns `false` if none remains.
    pub fn try_withdraw(&mut self) -> bool {
        let available = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        available
    }

    /// Takes half of the remaining retries, rounded up, for a child call. The rest is left for
    /// sibling calls made in parallel.
    pub fn delegate_half(&mut self) -> u16 {
        let delegated = self.remaining.div_ceil(2);
        self.remaining -= delegated;
        delegated
    }

    /// Takes all retries but one for a child call. The one kept here allows the call to be retried
    /// even if its answer is lost together with the delegated retries.
    pub fn delegate_all_but_one(&mut self) -> u16 {
        let delegated = self.remaining.saturating_sub(1);
        self.remaining -= delegated;
        delegated
    }

    /// Takes all remaining retries, for a child call that is the only one able to use them.
    pub fn delegate_all(&mut self) -> u16 {
        std::mem::take(&mut self.remaining)
    }

    /// Returns the retries that a child call left unused, capped at the number delegated to it in
    /// case the child reports more.
    pub fn reclaim(&mut self, delegated: u16, unused: u16) {
        self.remaining = self.remaining.saturating_add(unused.min(delegated));
    }

    /// The retries that are still available here.
    pub fn remaining(&self) -> u16 {
        self.remaining
    }
}
