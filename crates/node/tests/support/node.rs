//! A daemon in this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;

use apricotdale_adapters::Adapters;
use apricotdale_admin::AdminClient;
use apricotdale_admin::ClientOptions;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::PublishRequest;
use apricotdale_admin::Status;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::names::VmName;
use apricotdale_core::numbers::ConfigVersion;
use apricotdale_core::numbers::Epoch;
use apricotdale_core::vm_list::VmRole;
use apricotdale_core::vm_list::VmState;
use apricotdale_node::Daemon;
use apricotdale_settings::Settings;
use apricotdale_telemetry::Metrics;

use super::caller::Caller;
use super::clock::TestClock;
use super::engine::EnginesOfVm;
use super::platform::IdleWeightStore;
use super::serving::ServingOfVm;
use super::switch::Switch;
use super::wait_until;
use super::world::ENTRY_GROUP;
use super::world::World;
use super::world::configuration;

/// Time without an outcome after which an order's intent is taken over where that is allowed.
pub const LOAD_TIMEOUT_MS: u64 = 5_000;

/// Daemon with the fakes of its VM.
pub struct Node {
    pub vm: VmName,
    pub switch: Arc<Switch>,
    pub clock: Arc<TestClock>,
    pub caller: Caller,
    admin: SocketAddr,
    drain: Arc<AtomicBool>,
    ended: Option<JoinHandle<()>>,
}

impl Node {
    /// Starts a daemon and adds its VM to the list.
    pub fn start(world: &World, vm: &str, placement: &str) -> Self {
        let switch = Arc::new(Switch::default());
        let clock = Arc::new(TestClock::new(&world.time, &switch));
        let name = VmName::new(vm);
        let settings = settings(vm, placement);
        let adapters = adapters(world, &name, &switch, &clock);
        let daemon = Daemon::start(settings, adapters, Arc::new(Metrics::new()));
        let daemon = daemon.expect("a daemon");
        let callers = daemon.callers_address();
        let peers = Some(daemon.peers_address());
        world
            .vm_list
            .put(vm, VmRole::Entry, ENTRY_GROUP, callers, peers);
        Self {
            vm: name,
            switch,
            clock,
            caller: Caller::new(callers),
            admin: daemon.admin_address(),
            drain: daemon.drain_flag(),
            ended: Some(thread::spawn(move || daemon.wait())),
        }
    }

    pub fn admin(&self) -> AdminClient {
        AdminClient::new(self.admin, ClientOptions::default())
    }

    pub fn status(&self) -> Status {
        self.admin().status().expect("the daemon's status")
    }

    /// Returns the epoch of this daemon's process, or of the process that replaced it.
    pub fn epoch(&self) -> Epoch {
        let view = self.admin().members().expect("the members");
        let mut lines = view.members.iter();
        let line = lines.find(|line| line.vm == self.vm);
        line.and_then(|line| line.epoch).expect("an epoch")
    }

    /// Returns whether a model is configured at this daemon.
    pub fn has_model(&self, model: &str) -> bool {
        let view = self.admin().models().expect("the models");
        view.models.iter().any(|line| line.model.as_str() == model)
    }

    /// Returns the number of requests that wait for a model, by this daemon's demand table.
    pub fn waiting_for(&self, model: &str) -> u32 {
        let view = self.admin().models().expect("the models");
        let mut lines = view.models.iter();
        let line = lines.find(|line| line.model.as_str() == model);
        line.expect("a configured model").waiting
    }

    pub fn wait_ready(&self) {
        wait_until("the daemon to be ready", || self.caller.is_ready());
    }

    /// Waits until a configuration version is in force at this daemon.
    pub fn wait_version(&self, version: ConfigVersion) {
        wait_until("the configuration to be in force", || {
            self.status().config_version >= version
        });
    }

    /// Waits until this daemon has read an upstream's state from the list.
    pub fn wait_listed(&self, upstream: &str, state: VmState) {
        wait_until("the list to be read", || {
            let view = self.admin().upstreams().expect("the upstreams");
            let mut lines = view.upstreams.iter();
            lines.any(|line| line.upstream.as_str() == upstream && line.state == state)
        });
    }

    /// Waits until this daemon sends new work to an upstream.
    pub fn wait_accepts(&self, upstream: &str) {
        wait_until("the upstream to be accepted", || {
            let view = self.admin().upstreams().expect("the upstreams");
            let mut lines = view.upstreams.iter();
            lines.any(|line| line.upstream.as_str() == upstream && line.accepts)
        });
    }

    /// Publishes edits based on a version.
    pub fn publish(&self, base_version: ConfigVersion, edits: Vec<ConfigEdit>) -> PublishOutcome {
        let request = PublishRequest {
            operator: "test".into(),
            change_id: None,
            base_version,
            edits,
        };
        self.admin().publish(&request).expect("an outcome")
    }

    /// Publishes the configuration in force again, and returns the new version.
    pub fn publish_again(&self, base_version: ConfigVersion) -> ConfigVersion {
        match self.publish(base_version, configuration()) {
            PublishOutcome::Accepted { version } => version,
            outcome => panic!("the change was not accepted: {outcome:?}"),
        }
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.drain.store(true, Ordering::Release);
    }

    /// Returns whether the daemon has ended.
    pub fn has_ended(&self) -> bool {
        self.ended.as_ref().is_none_or(JoinHandle::is_finished)
    }

    /// Waits until the daemon has ended.
    pub fn wait_ended(&self) {
        wait_until("the daemon to end", || self.has_ended());
    }
}

impl Drop for Node {
    /// Starts the daemon's stop. A test does not wait for its end.
    fn drop(&mut self) {
        self.begin_stop();
        self.switch.resume();
        drop(self.ended.take());
    }
}

fn adapters(world: &World, vm: &VmName, switch: &Arc<Switch>, clock: &Arc<TestClock>) -> Adapters {
    let engines = || -> EnginesOfVm { world.engines.client(vm, switch) };
    Adapters {
        log: Arc::new(world.log.client(vm, switch)),
        orders: Arc::new(engines()),
        reports: Arc::new(engines()),
        serving: Arc::new(ServingOfVm {
            engines: engines(),
            gate: Arc::clone(&world.streams),
        }),
        service: Arc::new(world.service.client(switch)),
        weights: Arc::new(IdleWeightStore),
        vm_list: Arc::new(world.vm_list.client(vm, switch)),
        clock: Arc::clone(clock) as _,
    }
}

fn settings(vm: &str, placement: &str) -> Settings {
    let text = format!(
        "[vm]
name = {vm}
region = dk-east
availability_zone = hall-a
[listen]
callers = 127.0.0.1:0
peers = 127.0.0.1:0
admin = 127.0.0.1:0
[platform]
log = 127.0.0.1:1
weights = 127.0.0.1:1
vm_list = 127.0.0.1:1
claim_streams = 1
log_wait_ms = 100
vm_list_interval_ms = 100
[peers]
cluster_key = 4f1c2a9be07d53c86611f0ad92b7e3485d0a7c6e19f4832bb1c5d96e07a8243f
heartbeat_interval_ms = 200
timeout_ms = 200
[callers]
default_class = quick
[upstreams]
report_interval_ms = 100
load_timeout_ms = {LOAD_TIMEOUT_MS}
[policies]
placement = {placement}
seed = 7
"
    );
    Settings::from_text(&text).expect("settings without a problem")
}
