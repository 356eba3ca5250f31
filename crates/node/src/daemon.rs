//! Start and graceful stop of a daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use log::info;
use log::warn;

use apricotdale_adapters::Adapters;
use apricotdale_core::control::ControlRecord;
use apricotdale_core::control::Depart;
use apricotdale_membership::MembershipEvent;
use apricotdale_settings::Settings;
use apricotdale_state::view::IntentView;
use apricotdale_telemetry::Metrics;

use crate::appender::Appender;
use crate::appender::Persistence;
use crate::assembly::Common;
use crate::assembly::ControlThreads;
use crate::assembly::Serving;
use crate::errors::Result;

/// Time for which connections may close after the last request of a planned stop has ended.
const CLOSE_WAIT: Duration = Duration::from_secs(2);

/// Timeout of the last record's append.
const DEPART_WAIT: Duration = Duration::from_secs(1);

/// Interval at which a stop's conditions are checked.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Running daemon with its servers and threads.
pub struct Daemon {
    common: Common,
    serving: Serving,
    appender: Appender,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts a daemon with the given settings and adapters.
    ///
    /// # Errors
    ///
    /// `Error::Listen` if an address is in use or not local, `Error::UnknownPolicy` if the settings
    /// name an unknown policy, `Error::System` if the cluster key is invalid or the system can't
    /// start a thread.
    pub fn start(settings: Settings, adapters: Adapters, metrics: Arc<Metrics>) -> Result<Self> {
        let common = Common::new(settings, adapters, metrics)?;
        let serving = Serving::start(&common)?;
        let (threads, appender) = ControlThreads::start(&common, &serving)?;
        Ok(Self {
            common,
            serving,
            appender,
            threads,
        })
    }

    /// Returns the address on which callers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.serving.callers.address()
    }

    /// Returns the address on which peers are served.
    pub fn peers_address(&self) -> SocketAddr {
        self.serving.peers.address()
    }

    /// Returns the address on which operators are served.
    pub fn admin_address(&self) -> SocketAddr {
        self.serving.admin.address()
    }

    /// Returns the flag that begins a planned stop once it is set.
    pub fn drain_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.common.draining)
    }

    /// Waits for a planned stop, carries it out, and returns once all threads have ended.
    ///
    /// New requests are refused at once. Requests in progress and orders on their way may finish
    /// within the grace time. The threads that append records end last, so that outcomes are still
    /// recorded.
    pub fn wait(self) {
        while !self.common.draining.load(Ordering::Acquire) {
            thread::sleep(STOP_POLL);
        }
        info!("planned stop begins: new requests are refused");
        let deadline = Instant::now() + Duration::from_millis(self.common.settings.drain.grace_ms);
        self.common.membership.handle(MembershipEvent::DrainBegun);
        let gateway = &self.serving.gateway;
        gateway.drain();
        if !gateway.wait_idle(remaining(deadline)) {
            warn!(
                "the grace time has passed with {} requests in progress",
                gateway.in_progress()
            );
        }
        self.serving.callers.stop();
        self.serving.callers.wait_idle(CLOSE_WAIT);
        self.common.retired.store(true, Ordering::Release);
        let finishes_appended = self.await_pending_finishes(deadline);
        if self.settle_intents(remaining(deadline)) && finishes_appended {
            self.depart();
        }
        self.common.stop.store(true, Ordering::Release);
        for thread in self.threads {
            // A panic of a thread has already been reported by the panic hook.
            let _ = thread.join();
        }
        self.serving.admin.stop();
        info!("stopped");
    }

    /// Waits until the finish records of all calls under claims are appended, and returns whether
    /// they are. Without them the keys of calls that ran would have an unknown outcome for ever.
    fn await_pending_finishes(&self, deadline: Instant) -> bool {
        let streams = &self.common.claim_streams;
        while !streams
            .iter()
            .all(|stream| stream.has_no_pending_finishes())
        {
            if remaining(deadline).is_zero() {
                warn!("stopping with finish records of calls that are not appended");
                return false;
            }
            thread::sleep(STOP_POLL);
        }
        true
    }

    /// Waits until the intents of this process are settled, and returns whether they are. Other
    /// processes would have to find their outcomes by the engines' status.
    fn settle_intents(&self, timeout: Duration) -> bool {
        let Some(epoch) = self.common.epoch.get() else {
            return false;
        };
        let settled = self.common.replayed.wait_for(timeout, |state| {
            let mut unsettled = state.unsettled();
            let is_own = |intent: IntentView| [intent.owner.epoch, intent.sender].contains(&epoch);
            (!unsettled.any(is_own)).then_some(())
        });
        if settled.is_none() {
            warn!("stopping with unsettled intents; other VMs take them over");
        }
        settled.is_some()
    }

    /// Appends a record that this process has ended, so that no VM waits for it. It must be
    /// appended only once this process can send no more orders: replay frees the memory that such
    /// an order could still use.
    fn depart(&self) {
        let Some(epoch) = self.common.epoch.get() else {
            return;
        };
        let vm = self.common.vm();
        let (done, appended) = crossbeam_channel::bounded(1);
        self.appender.propose(
            Persistence::Drop,
            move |proposer| {
                ControlRecord::Depart(Depart {
                    proposer,
                    vm: vm.clone(),
                    epoch,
                })
            },
            move |_| {
                // The receiver is gone if the wait has timed out.
                let _ = done.send(());
            },
        );
        // While the log is down, the VM list shows the end of this process instead.
        let _ = appended.recv_timeout(DEPART_WAIT);
    }
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
