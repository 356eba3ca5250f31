//! Carries out the plan by which a stream's state catches up with the log.

use std::collections::BTreeMap;
use std::sync::Arc;

use log::error;
use log::info;
use log::warn;

use apricotdale_core::Error;
use apricotdale_core::log::LogClient;
use apricotdale_core::names::StreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;
use apricotdale_state::catch_up::CatchUpAction;
use apricotdale_state::catch_up::LogRange;
use apricotdale_state::catch_up::PeerAnswer;
use apricotdale_state::catch_up::Position;
use apricotdale_state::catch_up::StateSources;
use apricotdale_state::catch_up::StreamSnapshot;
use apricotdale_state::catch_up::plan;
use apricotdale_state::parts::FreshStart;
use apricotdale_state::parts::SnapshotRecord;
use apricotdale_state::snapshot::PART_BYTES;
use apricotdale_state::snapshot::Section;

use super::peer_snapshots::Fetched;
use super::peer_snapshots::PeerSnapshots;
use super::snapshot_reader::SnapshotReader;
use super::stream_state::StreamState;
use crate::membership_view::SharedMembership;

/// Maximum number of actions of one run. A plan that needs more is repeating itself; the next run
/// follows after a pause.
const MAX_ACTIONS: usize = 16;

/// Carries out the catch-up plan of one stream.
pub struct CatchUp {
    /// Replayed state of the stream.
    pub state: Arc<dyn StreamState>,
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Reader of the snapshot stream, shared by all streams.
    pub snapshots: Arc<SnapshotReader>,
    /// Client that fetches snapshots from peers.
    pub peers: Arc<PeerSnapshots>,
    /// View of the VMs and upstreams, shared by all threads.
    pub membership: Arc<SharedMembership>,
    /// Ends this process. Called when the other VMs have agreed on a fresh start without the
    /// history that this process holds.
    pub end_process: Arc<dyn Fn() + Send + Sync>,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CatchUpOutcome {
    /// The stream can be followed from the state on.
    Follow,
    /// The log is down; requests are served from the state meanwhile.
    Serving,
    /// No action is possible now.
    Waiting,
}

/// What one run has learned of the log, the snapshot stream and the peers.
struct Findings {
    knowledge: StateSources,
    sections: BTreeMap<VmName, Section>,
}

impl CatchUp {
    /// Carries out the plan until the stream can be followed or no action is possible.
    pub fn run(&self) -> CatchUpOutcome {
        // While this process did not follow the stream, other VMs may have agreed on a fresh start
        // and given up the history that this one holds. Its own position can look valid all the
        // same; only the snapshot stream shows the fresh start. That stream can't be read while the
        // log is down, but then nothing is decided.
        if self.state.position().is_some() {
            self.snapshots.read_to_end();
        }
        let mut findings = self.begin();
        for _ in 0..MAX_ACTIONS {
            let action = plan(&findings.knowledge);
            if let Some(outcome) = self.carry_out(action, &mut findings) {
                return outcome;
            }
        }
        CatchUpOutcome::Waiting
    }

    fn begin(&self) -> Findings {
        let view = self.membership.view();
        let peers = view.as_of_ms.map(|_| {
            let others = view.vms.keys().filter(|vm| **vm != view.own);
            others
                .map(|vm| (vm.clone(), PeerAnswer::NotAsked))
                .collect()
        });
        let knowledge = StateSources {
            own: self.state.position(),
            log: self.log_range(),
            stream: StreamSnapshot::Unread,
            lineage: self.snapshots.lineage(self.stream()),
            peers,
        };
        Findings {
            knowledge,
            sections: BTreeMap::new(),
        }
    }

    fn stream(&self) -> &StreamName {
        self.state.stream()
    }

    fn log_range(&self) -> LogRange {
        let mut from = self
            .state
            .position()
            .map_or(Offset(0), |position| position.next);
        let mut first = Offset(0);
        for _ in 0..2 {
            match self.log.read(self.stream(), from, 1, 0) {
                Ok(batch) => {
                    first = first.max(batch.first);
                    return LogRange::Keeps {
                        first,
                        end: batch.end,
                    };
                }
                Err(Error::Expired { first: kept }) => {
                    first = kept;
                    from = kept;
                }
                Err(_) => return LogRange::Down,
            }
        }
        LogRange::Down
    }

    /// Carries out one action. Returns the outcome if no further action is possible now.
    fn carry_out(&self, action: CatchUpAction, findings: &mut Findings) -> Option<CatchUpOutcome> {
        match action {
            CatchUpAction::ReadLogRange => {
                findings.knowledge.log = self.log_range();
                None
            }
            CatchUpAction::Follow(_) => {
                if self.state.position().is_none() {
                    self.state.begin();
                }
                Some(CatchUpOutcome::Follow)
            }
            CatchUpAction::ReadSnapshotStream => self.read_snapshots(findings),
            CatchUpAction::InstallFromStream => {
                let section = self.snapshots.newest(self.stream());
                self.install(section.as_ref(), "the snapshot stream", findings)
            }
            CatchUpAction::AskPeers(vms) => {
                vms.into_iter().for_each(|vm| self.ask_peer(vm, findings));
                None
            }
            CatchUpAction::InstallFromPeer(vm) => {
                let section = findings.sections.get(&vm).cloned();
                self.install(section.as_ref(), vm.as_str(), findings)
            }
            CatchUpAction::ServeOnly => {
                self.state.mark_caught_up();
                Some(CatchUpOutcome::Serving)
            }
            CatchUpAction::Wait(reason) => {
                warn!(
                    "catching up with {} is not possible now: {reason:?}",
                    self.stream()
                );
                Some(CatchUpOutcome::Waiting)
            }
            CatchUpAction::ProposeFresh(next) => self.propose_fresh_start(next, findings),
            CatchUpAction::SaveAndRestart => {
                self.save();
                (self.end_process)();
                Some(CatchUpOutcome::Waiting)
            }
            CatchUpAction::Restart => {
                (self.end_process)();
                Some(CatchUpOutcome::Waiting)
            }
            CatchUpAction::Halt => {
                // Accepted configuration must not revert, so the state is kept. The log has lost
                // acknowledged records, and an operator has to act.
                error!(
                    "{} ends before the replayed position; no decisions are made",
                    self.stream()
                );
                Some(CatchUpOutcome::Serving)
            }
        }
    }

    fn read_snapshots(&self, findings: &mut Findings) -> Option<CatchUpOutcome> {
        if !self.snapshots.read_to_end() {
            return Some(CatchUpOutcome::Waiting);
        }
        let newest = self.snapshots.newest(self.stream());
        findings.knowledge.lineage = self.snapshots.lineage(self.stream());
        findings.knowledge.stream = newest.map_or(StreamSnapshot::Absent, |section| {
            StreamSnapshot::Reaches(section_position(&section))
        });
        None
    }

    fn ask_peer(&self, vm: VmName, findings: &mut Findings) {
        let address = self.membership.view().peer_address(&vm);
        let fetched = address.map_or(Fetched::Silent, |address| self.peers.fetch(address));
        let answer = match fetched {
            Fetched::Silent => PeerAnswer::Silent,
            Fetched::NoState => PeerAnswer::NoState,
            Fetched::State(mut snapshot) => match snapshot.sections.remove(self.stream()) {
                None => PeerAnswer::NoState,
                Some(section) => {
                    let position = section_position(&section);
                    findings.sections.insert(vm.clone(), section);
                    PeerAnswer::Reaches(position)
                }
            },
        };
        let peers = findings.knowledge.peers.iter_mut().flatten();
        peers
            .filter(|(name, _)| *name == vm)
            .for_each(|(_, known)| *known = answer);
    }

    fn install(
        &self,
        section: Option<&Section>,
        source: &str,
        findings: &mut Findings,
    ) -> Option<CatchUpOutcome> {
        let installed = section.map(|section| self.state.install(section));
        match installed {
            Some(Ok(())) => {
                findings.knowledge.own = self.state.position();
                info!("installed a state of {} from {source}", self.stream());
                None
            }
            Some(Err(error)) => {
                error!(
                    "the state of {} from {source} can't be decoded: {error}",
                    self.stream()
                );
                Some(CatchUpOutcome::Waiting)
            }
            None => Some(CatchUpOutcome::Waiting),
        }
    }

    fn propose_fresh_start(&self, next: Offset, findings: &mut Findings) -> Option<CatchUpOutcome> {
        let outdated = self.snapshots.newest(self.stream());
        let bytes = self.state.fresh_start(next, outdated.as_ref());
        let fresh = FreshStart {
            after: self.snapshots.next_offset(),
            next,
            bytes,
        };
        let record = SnapshotRecord::of_fresh_start(self.stream(), fresh);
        error!(
            "the state of {} is lost; proposing a fresh start at {next}",
            self.stream()
        );
        match self.log.append(self.snapshots.stream(), &record.encode()) {
            Ok(_) => {
                findings.knowledge.stream = StreamSnapshot::Unread;
                None
            }
            Err(error) => {
                warn!("append of the fresh start failed: {error}");
                Some(CatchUpOutcome::Waiting)
            }
        }
    }

    fn save(&self) {
        let Some(section) = self.state.section() else {
            return;
        };
        for record in SnapshotRecord::of_section(self.stream(), &section, PART_BYTES) {
            if let Err(error) = self.log.append(self.snapshots.stream(), &record.encode()) {
                warn!("append of the outdated state failed: {error}");
                return;
            }
        }
    }
}

fn section_position(section: &Section) -> Position {
    Position {
        lineage: section.lineage,
        next: section.next,
    }
}
