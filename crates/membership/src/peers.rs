//! What this VM has seen of its peers, and which of them to visit next.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use apricotdale_core::names::VmName;

use crate::event::PeerStatus;
use crate::options::Options;

/// The earlier processes of a VM that are remembered, so that a late answer of one is recognised.
const EARLIER_PROCESSES: usize = 4;

/// `SignOutcome` is what a peer's sign of life means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignOutcome {
    /// The process is the known one.
    Same,
    /// The VM runs another process than before.
    Restarted,
    /// The sign is a late one of an earlier process.
    Outdated,
}

/// `Peer` is what has been seen of one peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    process_id: Option<u64>,
    earlier: VecDeque<u64>,
    draining: bool,
    suspected: bool,
    missed: u32,
    answered: u32,
    heard_at_ms: Option<u64>,
}

impl Peer {
    fn sign(&mut self, now_ms: u64, sign: &PeerStatus) -> SignOutcome {
        if self.earlier.contains(&sign.process_id) {
            return SignOutcome::Outdated;
        }
        self.heard_at_ms = Some(now_ms);
        self.draining = sign.draining;
        let before = self.process_id.replace(sign.process_id);
        match before {
            Some(before) if before != sign.process_id => {
                self.restart(before);
                SignOutcome::Restarted
            }
            _ => SignOutcome::Same,
        }
    }

    fn restart(&mut self, before: u64) {
        self.earlier.push_back(before);
        if self.earlier.len() > EARLIER_PROCESSES {
            self.earlier.pop_front();
        }
        self.missed = 0;
        self.answered = 0;
        self.suspected = false;
    }

    fn answer(&mut self, options: &Options) {
        self.missed = 0;
        self.answered = self.answered.saturating_add(1);
        if self.answered >= options.trust_after_answered {
            self.suspected = false;
        }
    }

    fn miss(&mut self, options: &Options) {
        self.answered = 0;
        self.missed = self.missed.saturating_add(1);
        if self.missed >= options.suspect_after_missed {
            self.suspected = true;
        }
    }
}

/// `Peers` is what has been seen of all peers.
#[derive(Debug)]
pub(crate) struct Peers {
    peers: BTreeMap<VmName, Peer>,
    seed: u64,
    cursor: u64,
    next_round_ms: u64,
}

impl Peers {
    /// Returns an empty record. `own` and the seed set the order in which peers are visited.
    pub(crate) fn new(own: &VmName, seed: u64) -> Self {
        Self {
            peers: BTreeMap::new(),
            seed: xxh3_64_with_seed(own.as_str().as_bytes(), seed),
            cursor: 0,
            next_round_ms: 0,
        }
    }

    /// Returns whether nothing speaks against preferring a peer.
    pub(crate) fn is_trusted(&self, vm: &VmName) -> bool {
        let peer = self.peers.get(vm);
        peer.is_none_or(|peer| !peer.draining && !peer.suspected)
    }

    /// Returns whether the peer was heard within the last `within_ms`.
    pub(crate) fn heard_within(&self, now_ms: u64, vm: &VmName, within_ms: u64) -> bool {
        let heard_at_ms = self.peers.get(vm).and_then(|peer| peer.heard_at_ms);
        heard_at_ms.is_some_and(|heard_at_ms| now_ms.saturating_sub(heard_at_ms) < within_ms)
    }

    /// Notes that a peer's own heartbeat arrived. It does not clear missed ones: where the network
    /// is cut in one direction only, a peer that is heard may still not be reachable.
    pub(crate) fn heard(&mut self, now_ms: u64, sign: &PeerStatus) -> SignOutcome {
        self.peers
            .entry(sign.vm.clone())
            .or_default()
            .sign(now_ms, sign)
    }

    /// Notes that a peer answered.
    pub(crate) fn answered(
        &mut self,
        now_ms: u64,
        sign: &PeerStatus,
        options: &Options,
    ) -> SignOutcome {
        let peer = self.peers.entry(sign.vm.clone()).or_default();
        let outcome = peer.sign(now_ms, sign);
        if outcome != SignOutcome::Outdated {
            peer.answer(options);
        }
        outcome
    }

    /// Notes that a peer did not answer.
    pub(crate) fn missed(&mut self, vm: &VmName, options: &Options) {
        self.peers.entry(vm.clone()).or_default().miss(options);
    }

    /// Forgets all peers that are not among those given.
    pub(crate) fn retain(&mut self, known: &BTreeSet<VmName>) {
        self.peers.retain(|vm, _| known.contains(vm));
    }

    /// Returns whether the next round of visits is due.
    pub(crate) fn is_round_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_round_ms
    }

    /// Returns the peers to visit in the round that is due now.
    pub(crate) fn next_round(
        &mut self,
        now_ms: u64,
        visitable: &[VmName],
        options: &Options,
    ) -> Vec<VmName> {
        if visitable.len() <= options.peers_per_round {
            self.next_round_ms = now_ms + options.round_ms;
            return visitable.to_vec();
        }
        self.next_round_ms = now_ms + options.large_cluster_round_ms;
        self.rotate(visitable, options)
    }

    /// Returns one round of a cluster that is larger than a round: first some peers that missed
    /// their last heartbeat, so that a failed one is recognised within a few rounds and not within
    /// a few rotations, then the next ones in this VM's own order.
    fn rotate(&mut self, visitable: &[VmName], options: &Options) -> Vec<VmName> {
        let mut order: Vec<(u64, &VmName)> = visitable
            .iter()
            .map(|vm| (xxh3_64_with_seed(vm.as_str().as_bytes(), self.seed), vm))
            .collect();
        order.sort_unstable();
        let start = order.partition_point(|(hash, _)| *hash <= self.cursor);
        order.rotate_left(start);
        let doubtful = |vm: &VmName| {
            let peer = self.peers.get(vm);
            peer.is_some_and(|peer| peer.missed > 0 && !peer.suspected)
        };
        let rechecked = order.iter().filter(|(_, vm)| doubtful(vm));
        let mut round: Vec<VmName> = rechecked
            .take(options.rechecks_per_round)
            .map(|(_, vm)| (*vm).clone())
            .collect();
        for (hash, vm) in order {
            if round.len() >= options.peers_per_round {
                break;
            }
            self.cursor = hash;
            if !round.contains(vm) {
                round.push(vm.clone());
            }
        }
        round
    }
}
