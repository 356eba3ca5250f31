//! Starts a daemon and takes it down gracefully.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use log::info;
use log::warn;

use apricotdale_adapters::Adapters;
use apricotdale_membership::MembershipEvent;
use apricotdale_settings::Settings;
use apricotdale_telemetry::Metrics;

use crate::assembly::Common;
use crate::assembly::Deciding;
use crate::assembly::Serving;
use crate::errors::Result;

/// How long connections may take to close after the last request of a planned stop has ended.
const CLOSE_WAIT: Duration = Duration::from_secs(2);

/// How often the waiting for a stop looks at the flag.
const STOP_POLL: Duration = Duration::from_millis(20);

/// `Daemon` is a running daemon.
pub struct Daemon {
    common: Common,
    serving: Serving,
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
        let threads = Deciding::start(&common, &serving)?;
        Ok(Self {
            common,
            serving,
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
    /// New requests are refused at once; those in progress go on for the grace time. The deciding
    /// threads end last, so that the outcomes of orders on their way are still told.
    pub fn wait(self) {
        while !self.common.draining.load(Ordering::Acquire) {
            thread::sleep(STOP_POLL);
        }
        info!("stopping: no new work is taken");
        self.common.membership.handle(MembershipEvent::DrainBegun);
        let gateway = &self.serving.gateway;
        gateway.drain();
        let grace = Duration::from_millis(self.common.settings.drain.grace_ms);
        if !gateway.wait_idle(grace) {
            warn!(
                "the grace time is over with {} requests in progress",
                gateway.in_progress()
            );
        }
        self.serving.callers.stop();
        self.serving.callers.wait_idle(CLOSE_WAIT);
        self.common.stop.store(true, Ordering::Release);
        for thread in self.threads {
            // A panic of a thread has already been reported by the panic hook.
            let _ = thread.join();
        }
        self.serving.admin.stop();
        info!("stopped");
    }
}
