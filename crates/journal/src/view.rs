//! The views of a service, and the recent changes that let a reader catch up on skipped views.

use proto::Incarnation;
use proto::Instance;
use stdx::data;
use stdx::plain;

/// Maximum number of recent changes that a view keeps.
const MAX_RECENT_CHANGES: usize = 16;

data! {
    /// The members of a service as of one offset of the topic.
    #[derive(Default)]
    pub struct View {
        /// The offset of the record that created this view, so that later views of the service have
        /// higher numbers.
        pub number: u64,
        /// The members, in the order of joining.
        pub members: Vec<Instance>,
        /// The members removed by this view, and how they departed.
        pub departed: Vec<(Incarnation, Departure)>,
        /// The most recent changes that led to this view, oldest first.
        pub recent_changes: Vec<ViewChange>,
    }
}

data! {
    /// The change from one view to the next.
    pub struct ViewChange {
        /// The number of the previous view; `None` for the first view of a service.
        pub previous: Option<u64>,
        /// The number of the view that it created.
        pub number: u64,
        /// The members that departed, and how.
        pub departed: Vec<(Incarnation, Departure)>,
        /// The members that joined.
        pub joined: Vec<Instance>,
    }
}

plain! {
    /// How a member departed.
    pub enum Departure {
        /// It left as planned, and hands over its records.
        Left,
        /// It was evicted because it was considered dead.
        Evicted,
    }
}

impl View {
    /// Removes a member because of the record at `offset`; returns `false` if it is not a member.
    pub(crate) fn remove(
        &mut self,
        offset: u64,
        incarnation: Incarnation,
        departure: Departure,
    ) -> bool {
        let before = self.members.len();
        self.members
            .retain(|member| member.incarnation != incarnation);
        if self.members.len() == before {
            return false;
        }
        self.change_at(offset)
            .departed
            .push((incarnation, departure));
        self.departed.push((incarnation, departure));
        true
    }

    /// Adds a member because of the record at `offset`.
    pub(crate) fn add(&mut self, offset: u64, instance: Instance) {
        self.change_at(offset).joined.push(instance.clone());
        self.members.push(instance);
    }

    /// The views after `known` up to this one, oldest first; `None` if [`View::recent_changes`]
    /// does not reach back to `known`.
    ///
    /// # Examples
    ///
    /// ```
    /// let view = bilberry_journal::View::default();
    /// assert_eq!(view.views_since(&view), Some(Vec::new()));
    /// ```
    pub fn views_since(&self, known: &View) -> Option<Vec<View>> {
        if known.number == self.number {
            return Some(Vec::new());
        }
        let start = self
            .recent_changes
            .iter()
            .position(|change| change.previous == Some(known.number))?;
        Some(replay(known.clone(), &self.recent_changes[start..]))
    }

    /// All views from the first one of the service up to this one; `None` if
    /// [`View::recent_changes`] does not reach back to the first.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bilberry_journal::View::default().history(), None);
    /// ```
    pub fn history(&self) -> Option<Vec<View>> {
        let first = self.recent_changes.first()?;
        let is_complete = first.previous.is_none();
        is_complete.then(|| replay(View::default(), &self.recent_changes))
    }

    /// The change made by the record at `offset`, which may both remove and add a member.
    fn change_at(&mut self, offset: u64) -> &mut ViewChange {
        if self
            .recent_changes
            .last()
            .is_none_or(|change| change.number != offset)
        {
            let previous = self.recent_changes.last().map(|change| change.number);
            if self.recent_changes.len() == MAX_RECENT_CHANGES {
                self.recent_changes.remove(0);
            }
            self.recent_changes.push(ViewChange {
                previous,
                number: offset,
                departed: Vec::new(),
                joined: Vec::new(),
            });
            self.number = offset;
            self.departed.clear();
        }
        let last = self.recent_changes.len() - 1;
        &mut self.recent_changes[last]
    }
}

/// The views that result from applying the changes to `view` one after the other.
fn replay(mut view: View, changes: &[ViewChange]) -> Vec<View> {
    let views = changes.iter().map(|change| {
        let has_left = |member| change.departed.iter().any(|(left, _)| *left == member);
        view.members.retain(|member| !has_left(member.incarnation));
        view.members.extend(change.joined.iter().cloned());
        view.number = change.number;
        view.departed = change.departed.clone();
        view.clone()
    });
    views.collect()
}
