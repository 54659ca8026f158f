//! Retry allowances over a call tree.

use stdx::plain;

plain! {
    /// The retries that one run or one outgoing call may still spend or lend.
    ///
    /// What is lent is gone until the answer brings the unspent part back; if the answer is lost,
    /// it stays gone. So the attempts of a whole tree never exceed one per edge plus the root's
    /// allowance, whatever is lost on the way.
    ///
    /// # Examples
    ///
    /// ```
    /// let mut account = bilberry_policy::RetryAllowance::new(2);
    /// assert!(account.try_withdraw());
    /// let lent = account.delegate_half();
    /// account.reclaim(lent, lent);
    /// assert!(account.try_withdraw());
    /// assert!(!account.try_withdraw());
    /// ```
    pub struct RetryAllowance {
        left: u16,
    }
}

impl RetryAllowance {
    /// An account with `allowance` retries.
    pub fn new(allowance: u16) -> Self {
        Self { left: allowance }
    }

    /// Takes one retry; `false` if there is none.
    pub fn try_withdraw(&mut self) -> bool {
        let may = self.left > 0;
        self.left = self.left.saturating_sub(1);
        may
    }

    /// Takes out a part for a child call: half, rounded up, so that a parallel sibling has some
    /// too.
    pub fn delegate_half(&mut self) -> u16 {
        let lent = self.left.div_ceil(2);
        self.left -= lent;
        lent
    }

    /// Takes out all but one, for a call that may be tried again here even if its answer is lost,
    /// and with it what was lent.
    pub fn delegate_all_but_one(&mut self) -> u16 {
        let lent = self.left.saturating_sub(1);
        self.left -= lent;
        lent
    }

    /// Takes out everything, for the only call that can spend it.
    pub fn delegate_all(&mut self) -> u16 {
        std::mem::take(&mut self.left)
    }

    /// Puts back what a child did not spend. Never more than it was lent, whatever it says.
    pub fn reclaim(&mut self, lent: u16, unspent: u16) {
        self.left = self.left.saturating_add(unspent.min(lent));
    }

    /// The retries that are left here.
    pub fn remaining(&self) -> u16 {
        self.left
    }
}
