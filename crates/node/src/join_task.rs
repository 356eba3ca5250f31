//! Joins the fleet: appends this process's join and finds its epoch.

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

/// Timeout of an appended join's replay, after which the join is appended again.
const REPLAY_WAIT: Duration = Duration::from_secs(2);

/// Interval at which the state is checked for having caught up.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(20);

/// Pause after a failed append.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// State and clients that joining uses.
pub struct JoinTask {
    /// Name of the VM that this process runs on.
    pub vm: VmName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Random number that distinguishes this process from earlier ones on the same VM.
    pub process_id: u64,
    /// Name of the control stream.
    pub stream: StreamName,
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Control state replayed from the control stream.
    pub replayed: Arc<Replayed>,
    /// Receives the epoch once the join is replayed.
    pub epoch: Arc<EpochCell>,
    /// Appends the first record of the new epoch.
    pub appender: Appender,
    /// Read pacing of the control stream.
    pub pace: Pace,
    /// Set when the daemon's threads have to end.
    pub stop: Arc<AtomicBool>,
}

impl JoinTask {
    /// Joins, with retries until the join is replayed or the daemon stops.
    pub fn run(self) {
        let join = Join {
            vm: self.vm.clone(),
            zone: self.zone.clone(),
            process_id: self.process_id,
        };
        let payload = ControlRecord::Join(join).encode();
        let mut appended = false;
        let mut earlier_epoch = None;
        while !self.stop.load(Ordering::Relaxed) {
            if !self.replayed.is_caught_up() {
                thread::sleep(CATCH_UP_PAUSE);
                continue;
            }
            earlier_epoch = earlier_epoch.or_else(|| self.earlier_epoch());
            if let Some(epoch) = self.find_epoch(appended) {
                info!("joined with epoch {epoch}");
                self.epoch.set(epoch);
                self.depart_earlier(earlier_epoch);
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

    /// Returns this process's epoch once its join is replayed. Does not wait if no join was
    /// appended yet.
    fn find_epoch(&self, appended: bool) -> Option<Epoch> {
        let timeout = if appended {
            REPLAY_WAIT
        } else {
            Duration::ZERO
        };
        self.replayed
            .wait_for(timeout, |state| state.epoch_of(&self.vm, self.process_id))
    }

    /// Returns the epoch of an earlier process on this VM, or none if there was none.
    fn earlier_epoch(&self) -> Option<Epoch> {
        self.replayed.read(|state| {
            let mut newest = state.members().newest();
            let member = newest
                .find(|(vm, _)| **vm == self.vm)
                .map(|(_, member)| member)?;
            (member.process_id != self.process_id).then_some(member.epoch)
        })
    }

    /// Appends the departure of the VM's earlier process as the first record of the new epoch. That
    /// process has ended, because it held the address on which this one listens. Without this
    /// record its unsettled intents would stay open until this process appends another record.
    fn depart_earlier(&self, earlier_epoch: Option<Epoch>) {
        let Some(epoch) = earlier_epoch else { return };
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
