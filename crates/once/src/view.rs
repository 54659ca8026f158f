//! Votes and quorums of a view.

use proto::Incarnation;
use proto::Instance;

/// Votes of each member.
const VOTES: u32 = 2;

/// The most members for which an even split leaves no side with a quorum.
///
/// With two members a tie-break would let the older one hold its lease by its own votes alone. Then
/// its crash could not be told from a pause, and its slots would be out until
/// [`crate::Config::max_log_staleness`] has passed. So both must agree.
const MAX_WITHOUT_TIE_BREAK: usize = 2;

/// The votes of a member; none for all others.
fn votes(members: &[Instance], who: Incarnation) -> u32 {
    let tie_break = members.len() > MAX_WITHOUT_TIE_BREAK && members.len() % 2 == 0;
    match members.iter().position(|member| member.incarnation == who) {
        Some(0) if tie_break => VOTES + 1,
        Some(_) => VOTES,
        None => 0,
    }
}

/// Whether a view names this instance.
pub(crate) fn is_member(members: &[Instance], who: Incarnation) -> bool {
    members.iter().any(|member| member.incarnation == who)
}

/// More than half of all votes.
fn quorum(members: &[Instance]) -> u32 {
    total(members, |_| true) / 2 + 1
}

fn total(members: &[Instance], has: impl Fn(Incarnation) -> bool) -> u32 {
    members
        .iter()
        .map(|member| member.incarnation)
        .filter(|member| has(*member))
        .map(|member| votes(members, member))
        .sum()
}

/// Whether the members for whom `has` holds are a quorum. Any two quorums share a member.
///
/// # Examples
///
/// ```
/// assert!(!bilberry_once::is_quorum(&[], |_| true));
/// ```
pub fn is_quorum(members: &[Instance], has: impl Fn(Incarnation) -> bool) -> bool {
    total(members, has) >= quorum(members)
}
