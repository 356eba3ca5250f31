//! Rendezvous hashing, which chooses the VM that prefers to do work that any VM may do.

use std::cmp::Reverse;
use std::hash::Hash;
use std::hash::Hasher;

use xxhash_rust::xxh3::Xxh3;

/// Returns the candidate whose hash together with the key is highest; `None` without candidates.
///
/// All VMs that see the same candidates choose the same one, and the removal of a candidate moves
/// only the keys of that candidate. The choice avoids duplicate work. VMs may see different
/// candidates, so correctness must not depend on a single choice.
pub fn preferred<'a, C, K>(candidates: impl IntoIterator<Item = &'a C>, key: &K) -> Option<&'a C>
where
    C: Hash + Ord,
    K: Hash + ?Sized,
{
    candidates
        .into_iter()
        .max_by(|left, right| (score(*left, key), *left).cmp(&(score(*right, key), *right)))
}

/// Returns the candidates in order of preference for the key, most preferred first.
pub fn ranked<'a, C, K>(candidates: impl IntoIterator<Item = &'a C>, key: &K) -> Vec<&'a C>
where
    C: Hash + Ord,
    K: Hash + ?Sized,
{
    let mut ranked: Vec<&C> = candidates.into_iter().collect();
    ranked.sort_by_cached_key(|candidate| Reverse((score(*candidate, key), *candidate)));
    ranked
}

fn score<C: Hash, K: Hash + ?Sized>(candidate: &C, key: &K) -> u64 {
    let mut hasher = Xxh3::new();
    candidate.hash(&mut hasher);
    key.hash(&mut hasher);
    hasher.finish()
}
