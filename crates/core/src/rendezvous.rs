//! Rendezvous hashing: which VM prefers to do a piece of work that any VM may do.

use std::hash::Hash;
use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

/// Returns the candidate with the highest hash together with the key, or none without candidates.
///
/// Every VM that sees the same candidates picks the same one, and a candidate that goes away moves
/// only its own keys. The choice saves duplicate work; nothing may rely on it being the same
/// everywhere.
pub fn preferred<'a, C, K>(candidates: impl IntoIterator<Item = &'a C>, key: &K) -> Option<&'a C>
where
    C: Hash + Ord,
    K: Hash + ?Sized,
{
    candidates
        .into_iter()
        .max_by(|left, right| (score(*left, key), *left).cmp(&(score(*right, key), *right)))
}

/// Returns the candidates in order of preference for the key, best first.
pub fn ranked<'a, C, K>(candidates: impl IntoIterator<Item = &'a C>, key: &K) -> Vec<&'a C>
where
    C: Hash + Ord,
    K: Hash + ?Sized,
{
    let mut ranked: Vec<&C> = candidates.into_iter().collect();
    ranked.sort_by(|left, right| (score(*right, key), *right).cmp(&(score(*left, key), *left)));
    ranked
}

fn score<C: Hash, K: Hash + ?Sized>(candidate: &C, key: &K) -> u64 {
    let mut hasher = Xxh3::new();
    candidate.hash(&mut hasher);
    key.hash(&mut hasher);
    hasher.finish()
}
