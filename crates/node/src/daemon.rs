//! Starts a daemon and takes it down gracefully.

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
use crate::assembly::Deciding;
use crate::assembly::Serving;
use crate::errors::Result;

/// How long connections may take to close after the last request of a planned stop has ended.
const CLOSE_WAIT: Duration = Duration::from_secs(2);

/// How long the last record may take.
const DEPART_WAIT: Duration = Duration::from_secs(1);

/// How often the waiting for a stop looks at the flag.
const STOP_POLL: Duration = Duration::from_millis(20);

/// `Daemon` is a running daemon.
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
    /// `Error::Listen` if an address is taken or not this VM's, `Error::UnknownPolicy` for a policy
    /// that is not there, `Error::System` if the system refuses a thread or a descriptor.
    pub fn start(settings: Settings, adapters: Adapters, metrics: Arc<Metrics>) -> Result<Self> {
        let common = Common::new(settings, adapters, metrics)?;
        let serving = Serving::start(&common)?;
        let (threads, appender) = Deciding::start(&common, &serving)?;
        Ok(Self {
            common,
            serving,
            appender,
            threads,
        })
    }

    /// Returns where callers are served.
    pub fn callers_address(&self) -> SocketAddr {
        self.serving.callers.address()
    }

    /// Returns where peers are answered.
    pub fn peers_address(&self) -> SocketAddr {
        self.serving.peers.address()
    }

    /// Returns where operators are answered.
    pub fn admin_address(&self) -> SocketAddr {
        self.serving.admin.address()
    }

    /// Returns a flag that begins a planned stop once it is set.
    pub fn drain_flag(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.common.draining)
    }

    /// Waits for a planned stop, carries it out, and returns once everything has ended.
    ///
    /// New requests are refused at once; those in progress, and the orders on their way, have the
    /// grace time to end. The deciding threads end last, so that outcomes are still told.
    pub fn wait(self) {
        while !self.common.draining.load(Ordering::Acquire) {
            thread::sleep(STOP_POLL);
        }
        info!("stopping: no new work is taken");
        let deadline = Instant::now() + Duration::from_millis(self.common.settings.drain.grace_ms);
        self.common.membership.handle(MembershipEvent::DrainBegun);
        let gateway = &self.serving.gateway;
        gateway.drain();
        if !gateway.wait_idle(left(deadline)) {
            warn!(
                "the grace time is over with {} requests in progress",
                gateway.in_progress()
            );
        }
        self.serving.callers.stop();
        self.serving.callers.wait_idle(CLOSE_WAIT);
        self.common.retired.store(true, Ordering::Release);
        let told = self.await_ends_of_calls(deadline);
        if self.settle_intents(left(deadline)) && told {
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

    /// Waits until the ends of all calls under claims are on their streams, and returns whether they
    /// are. Otherwise the keys of calls that ran would be told as of unknown outcome for ever.
    fn await_ends_of_calls(&self, deadline: Instant) -> bool {
        let streams = &self.common.claim_streams;
        while !streams.iter().all(|stream| stream.has_no_open_ends()) {
            if left(deadline).is_zero() {
                warn!("stopping with ends of calls that the log has not taken");
                return false;
            }
            thread::sleep(STOP_POLL);
        }
        true
    }

    /// Waits until the intents of this process are settled, and returns whether they are. Others
    /// would have to find out from the engines what became of them.
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
            warn!("stopping with intents that are not settled; others take them over");
        }
        settled.is_some()
    }

    /// Says on the control stream that this process is over, so that nobody waits for it. It is said
    /// only once no order of this process can be sent any more: replay frees what such an order
    /// could still take.
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
                // The stop may have given up waiting.
                let _ = done.send(());
            },
        );
        // While the log is down the platform's list tells in its place.
        let _ = appended.recv_timeout(DEPART_WAIT);
    }
}

fn left(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
