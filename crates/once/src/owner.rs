//! Rendezvous hashing of slots over the members of a view (Thaler and Ravishankar, 1998).

use proto::hash64;
use proto::Incarnation;
use proto::Instance;

/// The member that is home to a slot; `None` if there are no members.
///
/// # Examples
///
/// ```
/// assert_eq!(bilberry_once::slot_owner(&[], 3), None);
/// ```
pub fn slot_owner(members: &[Instance], slot: u16) -> Option<&Instance> {
    members
        .iter()
        .max_by_key(|member| weight(member.incarnation, slot))
}

fn weight(incarnation: Incarnation, slot: u16) -> (u64, Incarnation) {
    (hash64(&(incarnation, slot)), incarnation)
}
