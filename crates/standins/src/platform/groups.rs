//! Groups of the store: members that share the partitions of topics among themselves.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;

/// Partitions of each topic that a group shares.
const PARTITIONS: u64 = 4;

/// `Join` is a call by which a member joins a group or stays in it.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Join {
    pub group: String,
    pub member: String,
    pub topics: Vec<String>,
    pub ttl_ms: u64,
    /// The last generation that the member was told; 0 at first.
    #[serde(default)]
    pub generation: u64,
}

/// `Leave` is a call by which a member leaves a group.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Leave {
    pub group: String,
    pub member: String,
}

/// `Commit` is a call by which a member notes how far it has read a partition.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct Commit {
    pub group: String,
    pub member: String,
    pub generation: u64,
    pub topic: String,
    pub part: u64,
    pub offset: u64,
}

/// `Owned` is a partition with its owner and how far it has been read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Owned {
    pub topic: String,
    pub part: u64,
    pub member: String,
    pub offset: u64,
}

#[derive(Debug, Default)]
struct Partition {
    /// Who holds it, and since which generation.
    held: Option<(String, u64)>,
    /// Who is to have it next.
    target: String,
    offset: u64,
}

/// `Group` is one group.
#[derive(Debug, Default)]
pub(crate) struct Group {
    generation: u64,
    /// Until when each member counts as there.
    members: BTreeMap<String, Instant>,
    partitions: BTreeMap<(String, u64), Partition>,
}

impl Group {
    /// Has a member join or stay, and returns the generation and the partitions that it holds.
    pub fn join(&mut self, now: Instant, join: &Join) -> (u64, Vec<Owned>) {
        self.drop_lapsed(now);
        let until = now + Duration::from_millis(join.ttl_ms);
        let is_new = self.members.insert(join.member.clone(), until).is_none();
        for topic in &join.topics {
            for part in 0..PARTITIONS {
                self.partitions.entry((topic.clone(), part)).or_default();
            }
        }
        if is_new {
            self.share_out();
        }
        if join.generation >= self.generation {
            self.release(&join.member);
        }
        self.hand_over();
        let own = self.owners().into_iter();
        (
            self.generation,
            own.filter(|owned| owned.member == join.member).collect(),
        )
    }

    /// Has a member leave.
    pub fn leave(&mut self, member: &str) {
        if self.members.remove(member).is_some() {
            self.free(member);
            self.share_out();
        }
        self.hand_over();
    }

    /// Notes an offset. Returns whether the member holds the partition, and did so in the generation
    /// that it names.
    pub fn commit(&mut self, now: Instant, commit: &Commit) -> bool {
        self.drop_lapsed(now);
        let place = (commit.topic.clone(), commit.part);
        let Some(partition) = self.partitions.get_mut(&place) else {
            return false;
        };
        let holds = partition
            .held
            .as_ref()
            .is_some_and(|(member, since)| *member == commit.member && commit.generation >= *since);
        if holds {
            partition.offset = commit.offset;
        }
        holds
    }

    /// Returns the partitions that are held.
    pub fn owners(&self) -> Vec<Owned> {
        self.partitions
            .iter()
            .filter_map(|((topic, part), partition)| {
                let (member, _) = partition.held.as_ref()?;
                Some(Owned {
                    topic: topic.clone(),
                    part: *part,
                    member: member.clone(),
                    offset: partition.offset,
                })
            })
            .collect()
    }

    fn drop_lapsed(&mut self, now: Instant) {
        let lapsed: Vec<String> = self
            .members
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(member, _)| member.clone())
            .collect();
        for member in lapsed {
            self.leave(&member);
        }
    }

    /// Decides anew who is to have which partition.
    fn share_out(&mut self) {
        self.generation += 1;
        let members: Vec<&String> = self.members.keys().collect();
        for (index, partition) in self.partitions.values_mut().enumerate() {
            partition.target = match members.len() {
                0 => String::new(),
                count => members[index % count].clone(),
            };
        }
    }

    /// Takes from a member, which has seen the newest generation, what others are to have.
    fn release(&mut self, member: &str) {
        for partition in self.partitions.values_mut() {
            let target = &partition.target;
            partition
                .held
                .take_if(|(holder, _)| holder == member && target != member);
        }
    }

    /// Takes everything from a member that is gone.
    fn free(&mut self, member: &str) {
        for partition in self.partitions.values_mut() {
            partition.held.take_if(|(holder, _)| holder == member);
        }
    }

    /// Gives what nobody holds to those who are to have it.
    fn hand_over(&mut self) {
        let generation = self.generation;
        for partition in self.partitions.values_mut() {
            if partition.held.is_none() && !partition.target.is_empty() {
                partition.held = Some((partition.target.clone(), generation));
            }
        }
    }
}
