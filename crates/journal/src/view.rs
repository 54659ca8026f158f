//! The views of a service, and how one that skipped some of them catches up.

use proto::Incarnation;
use proto::Instance;
use stdx::data;
use stdx::plain;

/// How many of its last steps a view remembers.
const MAX_STEPS: usize = 16;

data! {
    /// The order in which a service's instances came and went. The number only rises.
    #[derive(Default)]
    pub struct View {
        /// The offset of the record that made this view.
        pub number: u64,
        /// The members, oldest first.
        pub members: Vec<Instance>,
        /// Who went with this view, and how.
        pub departed: Vec<(Incarnation, Departure)>,
        /// The last steps that led here, oldest first.
        pub recent_changes: Vec<ViewChange>,
    }
}

data! {
    /// One step from view to view.
    pub struct ViewChange {
        /// The number of the view before; `None` for a service's first.
        pub previous: Option<u64>,
        /// The number of the view that it made.
        pub number: u64,
        /// Who went.
        pub departed: Vec<(Incarnation, Departure)>,
        /// Who came.
        pub joined: Vec<Instance>,
    }
}

plain! {
    /// How a member went.
    pub enum Departure {
        /// As planned; it hands its records over.
        Left,
        /// Taken for dead.
        Evicted,
    }
}

impl View {
    /// Takes a member out, by the record at `offset`; `false` if it is none.
    pub(crate) fn depart(&mut self, offset: u64, who: Incarnation, how: Departure) -> bool {
        let before = self.members.len();
        self.members.retain(|member| member.incarnation != who);
        if self.members.len() == before {
            return false;
        }
        self.step(offset).departed.push((who, how));
        self.departed.push((who, how));
        true
    }

    /// Takes a member in, by the record at `offset`.
    pub(crate) fn join(&mut self, offset: u64, instance: Instance) {
        self.step(offset).joined.push(instance.clone());
        self.members.push(instance);
    }

    /// The views after `known` up to this one, oldest first; `None` if the steps do not reach back
    /// so far.
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
            .position(|step| step.previous == Some(known.number))?;
        Some(replay(known.clone(), &self.recent_changes[start..]))
    }

    /// All views from the service's first up to this one; `None` if the steps do not reach back so
    /// far.
    ///
    /// # Examples
    ///
    /// ```
    /// assert_eq!(bilberry_journal::View::default().history(), None);
    /// ```
    pub fn history(&self) -> Option<Vec<View>> {
        let first = self.recent_changes.first()?;
        let whole = first.previous.is_none();
        whole.then(|| replay(View::default(), &self.recent_changes))
    }

    /// The step of the record at `offset`, which may take one member out and another in.
    fn step(&mut self, offset: u64) -> &mut ViewChange {
        if self
            .recent_changes
            .last()
            .is_none_or(|step| step.number != offset)
        {
            let previous = self.recent_changes.last().map(|step| step.number);
            if self.recent_changes.len() == MAX_STEPS {
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

/// The views that the steps make, one after the other.
fn replay(mut view: View, steps: &[ViewChange]) -> Vec<View> {
    let views = steps.iter().map(|step| {
        let gone = |who| step.departed.iter().any(|(gone, _)| *gone == who);
        view.members.retain(|member| !gone(member.incarnation));
        view.members.extend(step.joined.iter().cloned());
        view.number = step.number;
        view.departed = step.departed.clone();
        view.clone()
    });
    views.collect()
}
