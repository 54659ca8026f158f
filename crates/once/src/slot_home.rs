//! Determines the home of each slot among the members of a view by rendezvous hashing (Thaler and
//! Ravishankar, 1998).

use proto::hash64;
use proto::Incarnation;
use proto::Instance;

/// Returns the member that is home to a slot, or `None` if there are no members.
///
/// # Examples
///
/// ```
/// assert_eq!(bilberry_once::slot_home(&[], 3), None);
/// ```
pub fn slot_home(members: &[Instance], slot: u16) -> Option<&Instance> {
    members
        .iter()
        .max_by_key(|member| weight(member.incarnation, slot))
}

fn weight(incarnation: Incarnation, slot: u16) -> (u64, Incarnation) {
    (hash64(&(incarnation, slot)), incarnation)
}
