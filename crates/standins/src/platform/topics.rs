//! Topics of the store: records by offset, and the newest record of each key.

use std::collections::BTreeMap;
use std::collections::HashMap;

/// Prefix of the names of topics that keep the newest record of each key.
const KEYED_PREFIX: &str = "keyed.";

/// Partition of a topic.
#[derive(Clone, Debug, Default)]
pub(crate) struct Partition {
    first: u64,
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

#[derive(Clone, Copy, Debug)]
struct Producer {
    epoch: u64,
    next_sequence: u64,
    last_offset: u64,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Appended {
    Done { offset: u64 },
    EndMismatch,
    Fenced,
    WrongSequence { expected: u64 },
}

/// Conditions of an append.
#[derive(Clone, Debug, Default)]
pub(crate) struct Condition {
    /// End that the partition must have; absent if any end will do.
    pub expected_end: Option<u64>,
    /// Producer's name, epoch and sequence number.
    pub producer: Option<(String, u64, u64)>,
}

impl Partition {
    pub fn end(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    pub fn first(&self) -> u64 {
        self.first
    }

    pub fn append(&mut self, topic: &str, records: &[Vec<u8>], condition: &Condition) -> Appended {
        if condition
            .expected_end
            .is_some_and(|expected_end| expected_end != self.end())
        {
            return Appended::EndMismatch;
        }
        if let Some((name, epoch, sequence)) = &condition.producer {
            let known = self.producers.get(name).copied();
            match known {
                Some(known) if *epoch < known.epoch => return Appended::Fenced,
                Some(known) if *epoch == known.epoch && *sequence + 1 == known.next_sequence => {
                    return Appended::Done {
                        offset: known.last_offset,
                    };
                }
                Some(known) if *epoch == known.epoch && *sequence != known.next_sequence => {
                    return Appended::WrongSequence {
                        expected: known.next_sequence,
                    };
                }
                _ => {}
            }
            let producer = Producer {
                epoch: *epoch,
                next_sequence: sequence + 1,
                last_offset: self.end(),
            };
            self.producers.insert(name.clone(), producer);
        }
        let offset = self.end();
        for record in records {
            if topic.starts_with(KEYED_PREFIX) {
                self.keep_newest(record);
            }
            self.records.push(record.clone());
        }
        Appended::Done { offset }
    }

    fn keep_newest(&mut self, record: &[u8]) {
        let Some((length, rest)) = record.split_first() else {
            return;
        };
        let (key, value) = rest.split_at(usize::from(*length).min(rest.len()));
        let key = String::from_utf8_lossy(key).into_owned();
        if value.is_empty() {
            self.newest.remove(&key);
        } else {
            self.newest.insert(key, (self.end(), value.to_vec()));
        }
    }

    /// Returns the records from an offset on; none if the offset is no longer kept or lies after
    /// the end.
    pub fn read(&self, from: u64) -> Option<&[Vec<u8>]> {
        let skipped_records = from.checked_sub(self.first)? as usize;
        self.records.get(skipped_records..)
    }

    /// Deletes the records before an offset.
    pub fn trim(&mut self, before: u64) {
        let count = before
            .saturating_sub(self.first)
            .min(self.records.len() as u64);
        self.records.drain(..count as usize);
        self.first += count;
    }

    /// Returns the newest records of the keys after a key.
    pub fn newest(&self, after: Option<&str>) -> impl Iterator<Item = (&String, &(u64, Vec<u8>))> {
        let after = after.unwrap_or_default().to_owned();
        self.newest.iter().filter(move |(key, _)| **key > after)
    }
}
