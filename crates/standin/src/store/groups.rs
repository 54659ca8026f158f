//! Groups: members that share the partitions of topics, for as long as each of them says so.

use indexmap::IndexMap;
use serde::Deserialize;
use serde::Serialize;
use std::time::Duration;
use tokio::time::Instant;

/// A topic and one of its partitions.
type Part = (String, u32);

/// Joins a group, or stays in it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Join {
    pub(crate) group: String,
    pub(crate) member: String,
    pub(crate) topics: Vec<String>,
    /// Seconds without a word after which the member is gone.
    pub(crate) ttl_s_time: f64,
    /// The last generation that the member heard of; 0 at first.
    pub(crate) generation: u64,
}

/// Says how far a member has come, or that it leaves.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Progress {
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

/// What a member has.
#[derive(Debug, Serialize)]
pub(crate) struct Share {
    generation: u64,
    ttl_s_time: f64,
    parts: Vec<(String, u32, u64)>,
}

#[derive(Debug)]
struct Member {
    until: Instant,
}

#[derive(Debug, Default)]
struct Holding {
    /// Who is to have it.
    due_to: Option<String>,
    /// Who has it, until that member has heard that it goes to another.
    held_by: Option<String>,
    /// The generation in which the holder got it.
    since: u64,
    committed: u64,
}

#[derive(Debug, Default)]
pub(crate) struct Group {
    generation: u64,
    members: IndexMap<String, Member>,
    holdings: IndexMap<Part, Holding>,
}

impl Group {
    pub(crate) fn join(&mut self, now: Instant, join: &Join, partitions: u32) -> Share {
        self.expire(now);
        let until = now + Duration::from_secs_f64(join.ttl_s_time);
        let known = self.members.contains_key(&join.member);
        self.members.insert(join.member.clone(), Member { until });
        for topic in &join.topics {
            for part in 0..partitions {
                self.holdings.entry((topic.clone(), part)).or_default();
            }
        }
        if !known {
            self.deal();
        }
        // The member has heard what it no longer has.
        if join.generation >= self.generation {
            self.release(
                |holding| holding.due_to.as_ref() != Some(&join.member),
                &join.member,
            );
        }
        let generation = self.generation;
        let mut parts = Vec::new();
        for ((topic, part), holding) in &mut self.holdings {
            if holding.due_to.as_ref() != Some(&join.member) {
                continue;
            }
            if holding.held_by.is_none() {
                holding.held_by = Some(join.member.clone());
                holding.since = generation;
            }
            if holding.held_by.as_ref() == Some(&join.member) {
                parts.push((topic.clone(), *part, holding.committed));
            }
        }
        Share {
            generation,
            ttl_s_time: join.ttl_s_time,
            parts,
        }
    }

    pub(crate) fn leave(&mut self, now: Instant, member: &str) {
        self.expire(now);
        if self.members.shift_remove(member).is_some() {
            self.release(|_| true, member);
            self.deal();
        }
    }

    /// Whether the member holds the partition, and did in the generation that it names.
    pub(crate) fn commit(&mut self, now: Instant, progress: &Progress) -> bool {
        self.expire(now);
        let part = (progress.topic.clone(), progress.part);
        let Some(holding) = self.holdings.get_mut(&part) else {
            return false;
        };
        let holds = holding.held_by.as_ref() == Some(&progress.member)
            && progress.generation >= holding.since;
        if holds {
            holding.committed = progress.offset;
        }
        holds
    }

    /// Topic, partition, member and offset.
    pub(crate) fn owners(&mut self, now: Instant) -> Vec<(String, u32, Option<String>, u64)> {
        self.expire(now);
        let rows = self.holdings.iter().map(|((topic, part), holding)| {
            let (member, offset) = (holding.held_by.clone(), holding.committed);
            (topic.clone(), *part, member, offset)
        });
        rows.collect()
    }

    fn expire(&mut self, now: Instant) {
        let gone: Vec<String> = self
            .members
            .iter()
            .filter(|(_, member)| member.until <= now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in &gone {
            self.members.shift_remove(name);
            self.release(|_| true, name);
        }
        if !gone.is_empty() {
            self.deal();
        }
    }

    fn release(&mut self, which: impl Fn(&Holding) -> bool, member: &str) {
        let held = self.holdings.values_mut();
        let held = held.filter(|holding| holding.held_by.as_deref() == Some(member));
        for holding in held.filter(|holding| which(holding)) {
            holding.held_by = None;
        }
    }

    /// Deals all partitions evenly.
    pub(crate) fn deal(&mut self) {
        self.generation += 1;
        let members: Vec<String> = self.members.keys().cloned().collect();
        for (nth, holding) in self.holdings.values_mut().enumerate() {
            holding.due_to = match members.len() {
                0 => None,
                count => Some(members[nth % count].clone()),
            };
        }
    }
}
