//! Makes this process a member: appends its join and learns its epoch.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use log::info;
use log::warn;

use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Depart;
use apricotdale_core::control::Join;
use apricotdale_core::log::LogClient;
use apricotdale_core::names::StreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use apricotdale_core::numbers::Epoch;

use crate::appender::Appender;
use crate::appender::EpochCell;
use crate::appender::Persistence;
use crate::replayed::Replayed;
use crate::streams::Pace;

/// How long to wait for an appended join to be replayed before it is appended again.
const REPLAY_WAIT: Duration = Duration::from_secs(2);

/// How often to look whether the state has caught up.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(20);

/// The pause after an append that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// `Joining` is what joining needs.
pub struct Joining {
    /// This VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// This process, chosen at random at its start.
    pub process_id: u64,
    /// The control stream.
    pub stream: StreamName,
    /// The log.
    pub log: Arc<dyn LogClient>,
    /// The replayed state.
    pub replayed: Arc<Replayed>,
    /// Takes the epoch.
    pub epoch: Arc<EpochCell>,
    /// Appends the first record of the new epoch.
    pub appender: Appender,
    /// How often the control stream is read.
    pub pace: Pace,
    /// Set when the daemon stops.
    pub stop: Arc<AtomicBool>,
}

impl Joining {
    /// Joins, trying until it works or the daemon stops.
    pub fn run(self) {
        let join = Join {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            process_id: self.process_id,
        };
        let payload = ControlRecord::Join(join).encode();
        let mut appended = false;
        let mut earlier = None;
        while !self.stop.load(Ordering::Relaxed) {
            if !self.replayed.is_caught_up() {
                thread::sleep(CATCH_UP_PAUSE);
                continue;
            }
            earlier = earlier.or_else(|| self.earlier_epoch());
            if let Some(epoch) = self.find_epoch(appended) {
                info!("joined with epoch {epoch}");
                self.epoch.set(epoch);
                self.confirm(earlier);
                return;
            }
            self.pace.follow_closely();
            match self.log.append(&self.stream, &payload) {
                Ok(_) => appended = true,
                Err(error) => {
                    warn!("append of the join failed: {error}");
                    thread::sleep(RETRY_PAUSE);
                }
            }
        }
    }

    /// Returns this process's epoch once its join is replayed. Before a join was appended there is
    /// nothing to wait for.
    fn find_epoch(&self, appended: bool) -> Option<Epoch> {
        let timeout = if appended {
            REPLAY_WAIT
        } else {
            Duration::ZERO
        };
        self.replayed
            .wait_for(timeout, |state| state.epoch_of(&self.vm, self.process_id))
    }

    /// Returns the epoch of the process that ran on this VM before.
    fn earlier_epoch(&self) -> Option<Epoch> {
        self.replayed.read(|state| {
            let mut newest = state.members().newest();
            let member = newest
                .find(|(vm, _)| **vm == self.vm)
                .map(|(_, member)| member)?;
            (member.process_id != self.process_id).then_some(member.epoch)
        })
    }

    /// Appends a first record under the new epoch: that the VM's earlier process is over. It held
    /// the address on which this one listens, so it has ended. Without this record its open
    /// intents would stay open until this process has something else to say.
    fn confirm(&self, earlier: Option<Epoch>) {
        let Some(epoch) = earlier else { return };
        let vm = self.vm.clone();
        self.appender.propose(
            Persistence::Keep,
            move |proposer| {
                ControlRecord::Depart(Depart {
                    proposer,
                    vm: vm.clone(),
                    epoch,
                })
            },
            |_| {},
        );
    }
}
