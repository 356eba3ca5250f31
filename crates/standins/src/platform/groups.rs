//! Consumer groups of the store, whose members share the partitions of topics.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;

/// Number of partitions of each topic that a group shares.
const PARTITIONS: u64 = 4;

/// Call by which a member joins a group or stays in it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Join {
    pub group: String,
    pub member: String,
    pub topics: Vec<String>,
    pub ttl_ms: u64,
    /// Last generation that the member was sent; 0 at first.
    #[serde(default)]
    pub generation: u64,
}

/// Call by which a member leaves a group.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Leave {
    pub group: String,
    pub member: String,
}

/// Call by which a member records how far it has read a partition.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Commit {
    pub group: String,
    pub member: String,
    pub generation: u64,
    pub topic: String,
    pub part: u64,
    pub offset: u64,
}

/// Partition with its owner and its committed offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OwnedPartition {
    pub topic: String,
    pub part: u64,
    pub member: String,
    pub offset: u64,
}

#[derive(Debug, Default)]
struct Partition {
    /// Owner, and the generation since which it holds the partition.
    owner: Option<(String, u64)>,
    /// Member that is to own the partition next; empty for none.
    target: String,
    offset: u64,
}

/// Consumer group of the store.
#[derive(Debug, Default)]
pub(crate) struct Group {
    generation: u64,
    /// Members with the times at which they expire.
    members: BTreeMap<String, Instant>,
    partitions: BTreeMap<(String, u64), Partition>,
}

impl Group {
    /// Adds or renews a member, and returns the generation and the partitions that it owns.
    pub fn join(&mut self, now: Instant, join: &Join) -> (u64, Vec<OwnedPartition>) {
        self.drop_expired(now);
        let until = now + Duration::from_millis(join.ttl_ms);
        let is_new = self.members.insert(join.member.clone(), until).is_none();
        for topic in &join.topics {
            for part in 0..PARTITIONS {
                self.partitions.entry((topic.clone(), part)).or_default();
            }
        }
        if is_new {
            self.reassign();
        }
        if join.generation >= self.generation {
            self.release(&join.member);
        }
        self.assign_unowned();
        let owners = self.owners().into_iter();
        (
            self.generation,
            owners.filter(|owned| owned.member == join.member).collect(),
        )
    }

    /// Removes a member and reassigns its partitions.
    pub fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.release_all(member);
            self.reassign();
        }
        self.assign_unowned();
    }

    /// Records an offset. Returns whether the member owns the partition and did so in the
    /// generation that it names.
    pub fn commit(&mut self, now: Instant, commit: &Commit) -> bool {
        self.drop_expired(now);
        let key = (commit.topic.clone(), commit.part);
        let Some(partition) = self.partitions.get_mut(&key) else {
            return false;
        };
        let is_owner = partition
            .owner
            .as_ref()
            .is_some_and(|(member, since)| *member == commit.member && commit.generation >= *since);
        if is_owner {
            partition.offset = commit.offset;
        }
        is_owner
    }

    /// Returns the partitions that have owners.
    pub fn owners(&self) -> Vec<OwnedPartition> {
        self.partitions
            .iter()
            .filter_map(|((topic, part), partition)| {
                let (member, _) = partition.owner.as_ref()?;
                Some(OwnedPartition {
                    topic: topic.clone(),
                    part: *part,
                    member: member.clone(),
                    offset: partition.offset,
                })
            })
            .collect()
    }

    fn drop_expired(&mut self, now: Instant) {
        let expired: Vec<String> = self
            .members
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(member, _)| member.clone())
            .collect();
        for member in expired {
            self.leave(&member);
        }
    }

    /// Decides again which member is to own which partition.
    fn reassign(&mut self) {
        self.generation += 1;
        let members: Vec<&String> = self.members.keys().collect();
        for (index, partition) in self.partitions.values_mut().enumerate() {
            partition.target = match members.len() {
                0 => String::new(),
                count => members[index % count].clone(),
            };
        }
    }

    /// Releases the partitions of a member that others are to own. The member has seen the newest
    /// generation.
    fn release(&mut self, member: &str) {
        for partition in self.partitions.values_mut() {
            let target = &partition.target;
            partition
                .owner
                .take_if(|(holder, _)| holder == member && target != member);
        }
    }

    /// Releases all partitions of a member that has left.
    fn release_all(&mut self, member: &str) {
        for partition in self.partitions.values_mut() {
            partition.owner.take_if(|(holder, _)| holder == member);
        }
    }

    /// Assigns the partitions without owners to their targets.
    fn assign_unowned(&mut self) {
        let generation = self.generation;
        for partition in self.partitions.values_mut() {
            if partition.owner.is_none() && !partition.target.is_empty() {
                partition.owner = Some((partition.target.clone(), generation));
            }
        }
    }
}
