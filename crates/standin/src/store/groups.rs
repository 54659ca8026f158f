//! Consumer groups: members that divide the partitions of topics among them. A member keeps its
//! partitions only while it renews its membership.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;
use tokio::time::Instant;

/// A topic and one of its partitions.
type PartitionId = (String, u32);

/// The body of a call that joins a group or renews a membership.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct JoinRequest {
    pub(crate) group: String,
    pub(crate) member: String,
    pub(crate) topics: Vec<String>,
    /// How many seconds after this call the membership expires unless it is renewed.
    pub(crate) ttl_s_time: f64,
    /// The last generation that the member knows; 0 at first.
    pub(crate) generation: u64,
}

/// The body of a call that commits an offset or leaves the group.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct MemberRequest {
    pub(crate) group: String,
    pub(crate) member: String,
    #[serde(default)]
    pub(crate) generation: u64,
    #[serde(default)]
    pub(crate) topic: String,
    #[serde(default)]
    pub(crate) part: u32,
    #[serde(default)]
    pub(crate) offset: u64,
}

/// The response to a join: the generation and the partitions that the member owns, each with its
/// committed offset.
#[derive(Debug, Serialize)]
pub(crate) struct Assignment {
    generation: u64,
    ttl_s_time: f64,
    parts: Vec<(String, u32, u64)>,
}

/// A member of a group.
#[derive(Debug)]
struct Member {
    expires_at: Instant,
}

/// The owner and the committed offset of a partition.
#[derive(Debug, Default)]
struct PartitionState {
    /// The member to which the current generation assigns the partition.
    assigned_to: Option<String>,
    /// The member that owns the partition. After a rebalance, it remains the owner until it joins
    /// again with the new generation, leaves or expires.
    owner: Option<String>,
    /// The generation in which the owner acquired the partition.
    owned_since: u64,
    committed_offset: u64,
}

/// The members of a group and the state of its partitions.
#[derive(Debug, Default)]
pub(crate) struct Group {
    generation: u64,
    members: IndexMap<String, Member>,
    partition_states: IndexMap<PartitionId, PartitionState>,
}

impl Group {
    /// Adds a member or renews its membership, and returns the partitions that it owns.
    pub(crate) fn join(
        &mut self,
        now: Instant,
        request: &JoinRequest,
        partition_count: u32,
    ) -> Assignment {
        self.remove_expired_members(now);
        let expires_at = now + Duration::from_secs_f64(request.ttl_s_time);
        let is_member = self.members.contains_key(&request.member);
        self.members
            .insert(request.member.clone(), Member { expires_at });
        for topic in &request.topics {
            for part in 0..partition_count {
                self.partition_states
                    .entry((topic.clone(), part))
                    .or_default();
            }
        }
        if !is_member {
            self.rebalance();
        }
        // The member knows the current generation, so it no longer uses the partitions that were
        // assigned to others.
        if request.generation >= self.generation {
            self.release_partitions(
                |partition| partition.assigned_to.as_ref() != Some(&request.member),
                &request.member,
            );
        }
        let generation = self.generation;
        let mut parts = Vec::new();
        for ((topic, part), partition) in &mut self.partition_states {
            if partition.assigned_to.as_ref() != Some(&request.member) {
                continue;
            }
            if partition.owner.is_none() {
                partition.owner = Some(request.member.clone());
                partition.owned_since = generation;
            }
            if partition.owner.as_ref() == Some(&request.member) {
                parts.push((topic.clone(), *part, partition.committed_offset));
            }
        }
        Assignment {
            generation,
            ttl_s_time: request.ttl_s_time,
            parts,
        }
    }

    /// Removes a member, whose partitions become free at once.
    pub(crate) fn leave(&mut self, now: Instant, member: &str) {
        self.remove_expired_members(now);
        if self.members.shift_remove(member).is_some() {
            self.release_partitions(|_| true, member);
            self.rebalance();
        }
    }

    /// Commits an offset and returns whether it was accepted. The member must own the partition and
    /// must have owned it in the generation that it names.
    pub(crate) fn commit(&mut self, now: Instant, request: &MemberRequest) -> bool {
        self.remove_expired_members(now);
        let part = (request.topic.clone(), request.part);
        let Some(partition) = self.partition_states.get_mut(&part) else {
            return false;
        };
        let accepted = partition.owner.as_ref() == Some(&request.member)
            && request.generation >= partition.owned_since;
        if accepted {
            partition.committed_offset = request.offset;
        }
        accepted
    }

    /// All partitions, each as topic, partition, owner and committed offset.
    pub(crate) fn owners(&mut self, now: Instant) -> Vec<(String, u32, Option<String>, u64)> {
        self.remove_expired_members(now);
        let rows = self
            .partition_states
            .iter()
            .map(|((topic, part), partition)| {
                let (owner, offset) = (partition.owner.clone(), partition.committed_offset);
                (topic.clone(), *part, owner, offset)
            });
        rows.collect()
    }

    /// Removes the members that did not renew their membership in time.
    fn remove_expired_members(&mut self, now: Instant) {
        let expired: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| member.expires_at <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            self.members.shift_remove(name);
            self.release_partitions(|_| true, name);
        }
        if !expired.is_empty() {
            self.rebalance();
        }
    }

    /// Frees those partitions of a member for which `should_release` returns true.
    fn release_partitions(
        &mut self,
        should_release: impl Fn(&PartitionState) -> bool,
        member: &str,
    ) {
        let owned = self.partition_states.values_mut();
        let owned = owned.filter(|partition| partition.owner.as_deref() == Some(member));
        for partition in owned.filter(|partition| should_release(partition)) {
            partition.owner = None;
        }
    }

    /// Starts a generation in which all partitions are assigned evenly to the members.
    pub(crate) fn rebalance(&mut self) {
        self.generation += 1;
        let members: Vec<String> = self.members.keys().cloned().collect();
        for (nth, partition) in self.partition_states.values_mut().enumerate() {
            partition.assigned_to = match members.len() {
                0 => None,
                count => Some(members[nth % count].clone()),
            };
        }
    }
}
