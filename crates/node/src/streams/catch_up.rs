//! Finds a state to go on from.

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

/// The most actions in one go. A plan that needs more goes round in circles, and goes on after a
/// pause.
const MAX_ACTIONS: usize = 16;

/// `CatchUp` carries out the plan for one stream.
pub struct CatchUp {
    /// The stream's state.
    pub state: Arc<dyn StreamState>,
    /// The log.
    pub log: Arc<dyn LogClient>,
    /// The snapshot stream.
    pub snapshots: Arc<SnapshotReader>,
    /// The way to peers' states.
    pub peers: Arc<PeerSnapshots>,
    /// The membership.
    pub membership: Arc<SharedMembership>,
    /// Called when this process holds a state that has been given up: it has to end.
    pub restart: Arc<dyn Fn() + Send + Sync>,
}

/// `CaughtUp` is how far catching up has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CaughtUp {
    /// The stream can be followed from the state on.
    Follow,
    /// The log is down; the state serves meanwhile.
    Serving,
    /// Nothing can be done now.
    Waiting,
}

/// `Episode` is what was learned in one go.
struct Episode {
    knowledge: StateSources,
    sections: BTreeMap<VmName, Section>,
}

impl CatchUp {
    /// Does what the plan says until the stream can be followed or nothing more can be done now.
    pub fn run(&self) -> CaughtUp {
        // While this process did not follow, others may have agreed on a fresh start and given up
        // the history that it holds. Its own position can look right all the same; only the snapshot
        // stream tells. It can't be read while the log is down, but then nothing is decided.
        if self.state.position().is_some() {
            self.snapshots.read_to_end();
        }
        let mut episode = self.begin();
        for _ in 0..MAX_ACTIONS {
            let action = plan(&episode.knowledge);
            if let Some(outcome) = self.carry_out(action, &mut episode) {
                return outcome;
            }
        }
        CaughtUp::Waiting
    }

    fn begin(&self) -> Episode {
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
        Episode {
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

    /// Carries out one action and returns the outcome if there is nothing more to do now.
    fn carry_out(&self, action: CatchUpAction, episode: &mut Episode) -> Option<CaughtUp> {
        match action {
            CatchUpAction::ReadLogRange => {
                episode.knowledge.log = self.log_range();
                None
            }
            CatchUpAction::Follow(_) => {
                if self.state.position().is_none() {
                    self.state.begin();
                }
                Some(CaughtUp::Follow)
            }
            CatchUpAction::ReadSnapshotStream => self.read_snapshots(episode),
            CatchUpAction::InstallFromStream => {
                let section = self.snapshots.newest(self.stream());
                self.install(section.as_ref(), "the snapshot stream", episode)
            }
            CatchUpAction::AskPeers(vms) => {
                vms.into_iter().for_each(|vm| self.ask(vm, episode));
                None
            }
            CatchUpAction::InstallFromPeer(vm) => {
                let section = episode.sections.get(&vm).cloned();
                self.install(section.as_ref(), vm.as_str(), episode)
            }
            CatchUpAction::ServeOnly => {
                self.state.note_caught_up();
                Some(CaughtUp::Serving)
            }
            CatchUpAction::Wait(reason) => {
                warn!("{} can't be caught up with now: {reason:?}", self.stream());
                Some(CaughtUp::Waiting)
            }
            CatchUpAction::ProposeFresh(next) => self.propose_fresh(next, episode),
            CatchUpAction::SaveAndRestart => {
                self.save();
                (self.restart)();
                Some(CaughtUp::Waiting)
            }
            CatchUpAction::Restart => {
                (self.restart)();
                Some(CaughtUp::Waiting)
            }
            CatchUpAction::Halt => {
                // Accepted configuration must not revert, so the state is kept. An operator has to
                // act: the log has lost records that it had acknowledged.
                error!(
                    "{} ends before what was read of it; no decisions",
                    self.stream()
                );
                Some(CaughtUp::Serving)
            }
        }
    }

    fn read_snapshots(&self, episode: &mut Episode) -> Option<CaughtUp> {
        if !self.snapshots.read_to_end() {
            return Some(CaughtUp::Waiting);
        }
        let newest = self.snapshots.newest(self.stream());
        episode.knowledge.lineage = self.snapshots.lineage(self.stream());
        episode.knowledge.stream = newest.map_or(StreamSnapshot::Absent, |section| {
            StreamSnapshot::Reaches(place(&section))
        });
        None
    }

    fn ask(&self, vm: VmName, episode: &mut Episode) {
        let address = self.membership.view().peer_address(&vm);
        let fetched = address.map_or(Fetched::Silent, |address| self.peers.fetch(address));
        let answer = match fetched {
            Fetched::Silent => PeerAnswer::Silent,
            Fetched::NoState => PeerAnswer::NoState,
            Fetched::State(mut snapshot) => match snapshot.sections.remove(self.stream()) {
                None => PeerAnswer::NoState,
                Some(section) => {
                    let position = place(&section);
                    episode.sections.insert(vm.clone(), section);
                    PeerAnswer::Reaches(position)
                }
            },
        };
        let peers = episode.knowledge.peers.iter_mut().flatten();
        peers
            .filter(|(name, _)| *name == vm)
            .for_each(|(_, known)| *known = answer);
    }

    fn install(
        &self,
        section: Option<&Section>,
        source: &str,
        episode: &mut Episode,
    ) -> Option<CaughtUp> {
        let installed = section.map(|section| self.state.install(section));
        match installed {
            Some(Ok(())) => {
                episode.knowledge.own = self.state.position();
                info!("{} goes on from a state of {source}", self.stream());
                None
            }
            Some(Err(error)) => {
                error!(
                    "the state of {} from {source} can't be read: {error}",
                    self.stream()
                );
                Some(CaughtUp::Waiting)
            }
            None => Some(CaughtUp::Waiting),
        }
    }

    fn propose_fresh(&self, next: Offset, episode: &mut Episode) -> Option<CaughtUp> {
        let outdated = self.snapshots.newest(self.stream());
        let bytes = self.state.fresh(next, outdated.as_ref());
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
                episode.knowledge.stream = StreamSnapshot::Unread;
                None
            }
            Err(error) => {
                warn!("append of the fresh start failed: {error}");
                Some(CaughtUp::Waiting)
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

fn place(section: &Section) -> Position {
    Position {
        lineage: section.lineage,
        next: section.next,
    }
}
