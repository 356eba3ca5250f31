//! Liveness of this VM's peers, and the choice of those that receive heartbeats next.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use apricotdale_core::names::VmName;

use crate::event::PeerStatus;
use crate::options::Options;

/// Number of former processes of a VM that are remembered to recognise their late answers.
const MAX_EARLIER_PROCESSES: usize = 4;

/// What a received status says about the peer's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StatusOutcome {
    /// The process is the known one, or the first one.
    Same,
    /// The VM runs another process than before.
    Restarted,
    /// The status is a late one of a former process.
    Outdated,
}

/// Liveness of one peer.
#[derive(Clone, Debug, Default)]
struct Peer {
    process_id: Option<u64>,
    earlier: VecDeque<u64>,
    draining: bool,
    suspected: bool,
    missed: u32,
    answered: u32,
    last_received_ms: Option<u64>,
}

impl Peer {
    fn record_status(&mut self, now_ms: u64, status: &PeerStatus) -> StatusOutcome {
        if self.earlier.contains(&status.process_id) {
            return StatusOutcome::Outdated;
        }
        self.last_received_ms = Some(now_ms);
        self.draining = status.draining;
        let before = self.process_id.replace(status.process_id);
        match before {
            Some(before) if before != status.process_id => {
                self.restart(before);
                StatusOutcome::Restarted
            }
            _ => StatusOutcome::Same,
        }
    }

    fn restart(&mut self, before: u64) {
        self.earlier.push_back(before);
        if self.earlier.len() > MAX_EARLIER_PROCESSES {
            self.earlier.pop_front();
        }
        self.missed = 0;
        self.answered = 0;
        self.suspected = false;
    }

    fn count_answer(&mut self, options: &Options) {
        self.missed = 0;
        self.answered = self.answered.saturating_add(1);
        if self.answered >= options.trust_after_answered {
            self.suspected = false;
        }
    }

    fn count_miss(&mut self, options: &Options) {
        self.answered = 0;
        self.missed = self.missed.saturating_add(1);
        if self.missed >= options.suspect_after_missed {
            self.suspected = true;
        }
    }
}

/// Liveness of all peers.
#[derive(Debug)]
pub(crate) struct Peers {
    peers: BTreeMap<VmName, Peer>,
    seed: u64,
    cursor: u64,
    next_round_ms: u64,
}

impl Peers {
    /// Returns the state before any heartbeat. `own` and the seed set the order of heartbeats.
    pub(crate) fn new(own: &VmName, seed: u64) -> Self {
        Self {
            peers: BTreeMap::new(),
            seed: xxh3_64_with_seed(own.as_str().as_bytes(), seed),
            cursor: 0,
            next_round_ms: 0,
        }
    }

    /// Returns whether a peer is neither draining nor suspected. True for unknown peers.
    pub(crate) fn is_trusted(&self, vm: &VmName) -> bool {
        let peer = self.peers.get(vm);
        peer.is_none_or(|peer| !peer.draining && !peer.suspected)
    }

    /// Returns whether any heartbeat or answer of the peer arrived within the last `within_ms`.
    pub(crate) fn received_within(&self, now_ms: u64, vm: &VmName, within_ms: u64) -> bool {
        let last_received_ms = self.peers.get(vm).and_then(|peer| peer.last_received_ms);
        last_received_ms
            .is_some_and(|last_received_ms| now_ms.saturating_sub(last_received_ms) < within_ms)
    }

    /// Records that a peer's own heartbeat arrived. It does not reset the missed answers: if the
    /// network is partitioned in one direction only, the peer may still not be reachable.
    pub(crate) fn record_heartbeat(&mut self, now_ms: u64, status: &PeerStatus) -> StatusOutcome {
        self.peers
            .entry(status.vm.clone())
            .or_default()
            .record_status(now_ms, status)
    }

    /// Records that a peer answered a heartbeat.
    pub(crate) fn record_answer(
        &mut self,
        now_ms: u64,
        status: &PeerStatus,
        options: &Options,
    ) -> StatusOutcome {
        let peer = self.peers.entry(status.vm.clone()).or_default();
        let outcome = peer.record_status(now_ms, status);
        if outcome != StatusOutcome::Outdated {
            peer.count_answer(options);
        }
        outcome
    }

    /// Records that a peer did not answer a heartbeat.
    pub(crate) fn record_miss(&mut self, vm: &VmName, options: &Options) {
        self.peers
            .entry(vm.clone())
            .or_default()
            .count_miss(options);
    }

    /// Removes all peers except the given ones.
    pub(crate) fn retain(&mut self, known: &BTreeSet<VmName>) {
        self.peers.retain(|vm, _| known.contains(vm));
    }

    /// Returns whether the next round of heartbeats is due.
    pub(crate) fn is_round_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_round_ms
    }

    /// Returns the recipients of the round that is due now, and schedules the next round.
    pub(crate) fn next_round(
        &mut self,
        now_ms: u64,
        targets: &[VmName],
        options: &Options,
    ) -> Vec<VmName> {
        if targets.len() <= options.peers_per_round {
            self.next_round_ms = now_ms + options.round_ms;
            return targets.to_vec();
        }
        self.next_round_ms = now_ms + options.large_cluster_round_ms;
        self.rotate(targets, options)
    }

    /// Returns the recipients of one round if there are more targets than a round has heartbeats:
    /// first some peers that missed their last heartbeat, so that a failed one is recognised within
    /// a few rounds and not within a few rotations, then the next ones in this VM's own order.
    fn rotate(&mut self, targets: &[VmName], options: &Options) -> Vec<VmName> {
        let mut order: Vec<(u64, &VmName)> = targets
            .iter()
            .map(|vm| (xxh3_64_with_seed(vm.as_str().as_bytes(), self.seed), vm))
            .collect();
        order.sort_unstable();
        let start = order.partition_point(|(hash, _)| *hash <= self.cursor);
        order.rotate_left(start);
        let missed_last = |vm: &VmName| {
            let peer = self.peers.get(vm);
            peer.is_some_and(|peer| peer.missed > 0 && !peer.suspected)
        };
        let missed_last_peers = order.iter().filter(|(_, vm)| missed_last(vm));
        let mut round: Vec<VmName> = missed_last_peers
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
