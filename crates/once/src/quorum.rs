//! Votes and quorums of a view.

use proto::Incarnation;
use proto::Instance;

/// Votes of each member, apart from the tie-break.
const VOTES_PER_MEMBER: u32 = 2;

/// Largest number of members for which there is no tie-break, so that an even split leaves neither
/// side with a quorum.
///
/// With two members, a tie-break would let the older one hold its lease by its own votes alone. Its
/// crash could then not be told from a pause, and its slots would be unavailable until
/// [`crate::Config::max_log_staleness`] has passed. So both must agree.
const MAX_WITHOUT_TIE_BREAK: usize = 2;

/// The votes of a member; 0 if `incarnation` is not a member. The oldest member has one more vote
/// if there is a tie-break.
fn votes(members: &[Instance], incarnation: Incarnation) -> u32 {
    let tie_break = members.len() > MAX_WITHOUT_TIE_BREAK && members.len() % 2 == 0;
    match members
        .iter()
        .position(|member| member.incarnation == incarnation)
    {
        Some(0) if tie_break => VOTES_PER_MEMBER + 1,
        Some(_) => VOTES_PER_MEMBER,
        None => 0,
    }
}

/// Whether a view contains this instance.
pub(crate) fn is_member(members: &[Instance], incarnation: Incarnation) -> bool {
    members
        .iter()
        .any(|member| member.incarnation == incarnation)
}

/// The smallest number of votes that is more than half of all votes.
fn quorum(members: &[Instance]) -> u32 {
    total_votes(members, |_| true) / 2 + 1
}

fn total_votes(members: &[Instance], is_counted: impl Fn(Incarnation) -> bool) -> u32 {
    members
        .iter()
        .map(|member| member.incarnation)
        .filter(|member| is_counted(*member))
        .map(|member| votes(members, member))
        .sum()
}

/// Whether the members for which `is_counted` returns true form a quorum. Any two quorums share a
/// member.
///
/// # Examples
///
/// ```
/// assert!(!bilberry_once::is_quorum(&[], |_| true));
/// ```
pub fn is_quorum(members: &[Instance], is_counted: impl Fn(Incarnation) -> bool) -> bool {
    total_votes(members, is_counted) >= quorum(members)
}
