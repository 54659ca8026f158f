//! Authentication: finds the organisation whose key came with a request.

use crate::request::Arrival;
use crate::request::ParentInfo;
use crate::Engine;
use organisation::Freshness;
use proto::OrganisationId;
use proto::Reason;
use rules::Operation;
use rules::Quota;
use stdx::Time;

impl Engine {
    /// Finds the organisation of a request, assigns the organisation's priority, and returns the
    /// quota that the request counts against.
    pub(crate) fn filter_identity(
        &self,
        now: Time,
        arrival: &mut Arrival,
        mut operation: Operation,
    ) -> Result<(Operation, Option<(OrganisationId, Quota)>), Reason> {
        // An organisation named by the request itself is not trusted.
        arrival.request.organisation = "".into();
        let Some(organisations) = &self.journal.rules.organisations else {
            return Ok((operation, None));
        };
        if self.is_child_call(&arrival.parents) {
            return Ok((operation, None));
        }
        let found = arrival.credential.and_then(|key| organisations.find(&key));
        if !operation.public {
            check_credential(now, &self.freshness, found.is_some())?;
        }
        let Some((id, organisation)) = found else {
            return Ok((operation, None));
        };
        arrival.request.organisation = organisation.name.clone();
        if self.cfg.policy.ranks {
            operation.priority = organisation.priority.unwrap_or(operation.priority);
        }
        Ok((operation, organisation.quota.map(|quota| (id, quota))))
    }

    /// Whether a run of this node's backend server makes this call. Such a call is part of a
    /// request that was authenticated before.
    fn is_child_call(&self, parents: &ParentInfo) -> bool {
        let known = |id| self.jobs_by_request_id.contains_key(id);
        parents.context.is_some() || parents.parent_request_id.as_ref().is_some_and(known)
    }
}

/// Checks whether the rules here are recent enough to accept a known key or refuse an unknown one.
fn check_credential(now: Time, freshness: &Freshness, is_known: bool) -> Result<(), Reason> {
    match is_known {
        true if freshness.may_trust(now) => Ok(()),
        false if freshness.may_reject_unknown_key(now) => Err(Reason::UnknownOrganisation),
        // The key may have been revoked or added in newer rules.
        _ => Err(Reason::RulesUnconfirmed),
    }
}
