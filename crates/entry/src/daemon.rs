//! State of the daemon and its readiness loop.

mod sockets;

use std::collections::HashMap;
use std::io;
use std::time::Duration;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::DispatcherOptions;
use apricotdale_dispatch::LivenessMonitor;
use apricotdale_fleet::ConfigurationEvidence;
use apricotdale_fleet::Directory;
use apricotdale_fleet::DirectoryOptions;
use apricotdale_fleet::EvidenceOptions;
use apricotdale_fleet::ReadPacing;
use apricotdale_fleet::ReadSharing;
use apricotdale_holder::LocalDemand;
use apricotdale_holder::LocalDetail;
use apricotdale_paths::Options as PathOptions;
use apricotdale_paths::Paths;
use apricotdale_quarantine::CrashWatch;
use apricotdale_quarantine::Options as QuarantineOptions;
use mio::Events;
use mio::Interest;
use mio::Poll;
use mio::Token;
use mio::net::TcpListener;
use mio::net::UnixStream;
use signal_hook::consts::SIGHUP;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;

use self::sockets::bind;
use self::sockets::bind_for_peers;
use self::sockets::drain_pipe;
use self::sockets::random_incarnation;
use self::sockets::signal_pipe;
use crate::active::ActiveRequests;
use crate::block_store::BlockStore;
use crate::caller::Caller;
use crate::caller::CallerKind;
use crate::calls::CallAnswer;
use crate::calls::CallTag;
use crate::clock;
use crate::clock::now_ms;
use crate::codec::Codecs;
use crate::engine_orders::EngineOrders;
use crate::errors::Result;
use crate::health_checks::CheckWork;
use crate::learned_store::LearnedStore;
use crate::lifecycle::PlannedStop;
use crate::limits::Limits;
use crate::log_budget::LogBudget;
use crate::loop_load::LoopLoad;
use crate::messages::VmRecord;
use crate::metrics::EntryMetrics;
use crate::outbound::OutboundPool;
use crate::outbound::Peer;
use crate::outbound::Purpose;
use crate::peers::Peers;
use crate::rank_admission::RankGate;
use crate::relay::RelayedConnections;
use crate::residence_updates::ResidenceUpdates;
use crate::settings::Settings;
use crate::store_era::StoreEra;
use crate::store_pollers::StorePollers;
use crate::stream_origins::StreamOrigins;
use crate::upstream_paths::PathWork;
use crate::upstream_permits::UpstreamPermits;

/// Tokens of the event loop: three listeners, the socket for messages of other VMs, two pipes that
/// signals are written to, and the listener for connections to relay. Tokens of connections follow.
const CALLERS: Token = Token(0);
const READY: Token = Token(1);
const METRICS: Token = Token(2);
const PEERS: Token = Token(3);
const STOP: Token = Token(4);
const HANGUP: Token = Token(5);
const RELAY: Token = Token(6);
const FIRST_CONNECTION_TOKEN: usize = 16;

/// Maximum number of readiness events that one iteration of the loop handles.
const MAX_EVENTS: usize = 512;

/// Longest time between two checks for connections that have timed out.
const SWEEP_INTERVAL_MS: u64 = 250;

/// Longest sleep of the loop.
const MAX_SLEEP_MS: u64 = 250;

/// Delay of a wake-up from which a process pause is logged: three quarters of the shortest target
/// time in the users' deployments, so that every pause which makes a request late is logged.
const LOGGED_PAUSE_MS: u64 = 300;

/// Delay of a wake-up from which the silence of engines proves nothing, because this process
/// paused.
const SHORTEST_PAUSE_MS: u64 = 100;

/// Daemon of an entry VM.
pub struct Daemon {
    pub(crate) settings: Settings,
    pub(crate) codecs: Codecs,
    pub(crate) poll: Poll,
    /// Time of the current iteration, on the clock of [`clock::now_ms`].
    pub(crate) now_ms: u64,
    /// Random number of this incarnation of the process, which tells its messages from earlier
    /// ones.
    pub(crate) incarnation: u64,
    pub(crate) listeners: HashMap<Token, (TcpListener, CallerKind)>,
    stop_signals: UnixStream,
    hangup_signals: UnixStream,
    next_token: usize,
    pub(crate) callers: HashMap<Token, Caller>,
    pub(crate) outbound: OutboundPool,
    pub(crate) active: ActiveRequests,
    pub(crate) directory: Directory,
    pub(crate) dispatcher: Dispatcher,
    /// Watches engines with requests in progress for silence, and decides when they are probed.
    pub(crate) watch: LivenessMonitor,
    pub(crate) health_checks: CheckWork,
    /// Which upstreams this VM reaches itself, and which through another VM.
    pub(crate) paths: Paths,
    pub(crate) path_work: PathWork,
    pub(crate) relay_listener: TcpListener,
    pub(crate) relayed: RelayedConnections,
    pub(crate) loop_load: LoopLoad,
    pub(crate) crash_watch: CrashWatch,
    pub(crate) block_store: BlockStore,
    pub(crate) limits: Limits,
    /// Admission of arrivals by rank, as the lease holder announces it.
    pub(crate) rank_gate: RankGate,
    pub(crate) upstream_permits: UpstreamPermits,
    pub(crate) stream_origins: StreamOrigins,
    pub(crate) residence_updates: ResidenceUpdates,
    /// Ended incarnations of upstreams at which requests still appear to be in progress.
    pub(crate) ended_incarnations: Vec<UpstreamName>,
    pub(crate) store_pollers: StorePollers,
    pub(crate) engine_orders: EngineOrders,
    pub(crate) learned_store: LearnedStore,
    pub(crate) peers: Peers,
    /// Demand of this VM's requests, for reports to the lease holder.
    pub(crate) local_demand: LocalDemand,
    pub(crate) local_detail: LocalDetail,
    /// What other VMs announce about the store's content, and what this VM announces.
    pub(crate) sharing: ReadSharing,
    pub(crate) store_era: StoreEra,
    /// What is known about which configuration is in force.
    pub(crate) configuration_evidence: ConfigurationEvidence,
    pub(crate) next_configuration_query_ms: u64,
    /// Schedule of this VM's store reads among all VMs that read.
    pub(crate) pacing: ReadPacing,
    pub(crate) planned_stop: PlannedStop,
    pub(crate) metrics: EntryMetrics,
    pub(crate) log_budget: LogBudget,
    /// Answers to calls in progress, as far as they have been received.
    pub(crate) call_answers: HashMap<Token, CallAnswer>,
    /// Earliest deadline of the calls in progress.
    pub(crate) next_call_timeout_ms: u64,
    /// Connections that have had their share of reading in this iteration and may have unread bytes.
    pub(crate) unread: Vec<Token>,
    /// Callers' connections whose answer has ended and whose next request may already be there.
    pub(crate) answered: Vec<Token>,
    /// Whether dispatch of the waiting requests should be retried in this iteration.
    pub(crate) redispatch_needed: bool,
    next_sweep_ms: u64,
}

impl Daemon {
    /// Opens the sockets. No request is served before [`Daemon::run`].
    ///
    /// # Errors
    ///
    /// [`crate::Error::Listen`] if an address can't be bound, [`crate::Error::Loop`] for any other I/O error.
    pub fn new(mut settings: Settings, codecs: Codecs) -> Result<Self> {
        let poll = Poll::new()?;
        let now_ms = now_ms();
        let incarnation = random_incarnation();
        let mut listeners = HashMap::new();
        // A port chosen by the system replaces port 0 in the settings, so that the log and the
        // other VMs receive the address at which this VM can be reached.
        let addresses = [
            (CALLERS, &mut settings.callers, CallerKind::Serving),
            (READY, &mut settings.ready, CallerKind::Ready),
            (METRICS, &mut settings.metrics, CallerKind::Metrics),
        ];
        for (token, address, kind) in addresses {
            let mut listener = bind(*address)?;
            *address = listener.local_addr()?;
            poll.registry()
                .register(&mut listener, token, Interest::READABLE)?;
            listeners.insert(token, (listener, kind));
        }
        let (mut socket, mut relay_listener) = bind_for_peers(settings.peers)?;
        settings.peers = socket.local_addr()?;
        poll.registry()
            .register(&mut socket, PEERS, Interest::READABLE)?;
        poll.registry()
            .register(&mut relay_listener, RELAY, Interest::READABLE)?;
        let stop_signals = signal_pipe(&poll, STOP, &[SIGTERM, SIGINT])?;
        let hangup_signals = signal_pipe(&poll, HANGUP, &[SIGHUP])?;
        let mut options = DispatcherOptions::new(incarnation, settings.zone.clone());
        options.repeats_per_request = settings.repeats_per_request;
        options.spare_repeats = settings.spare_repeats;
        options.repeats_window_ms = settings.repeats_window_ms;
        let own_record = VmRecord {
            vm: settings.vm.clone(),
            address: settings.peers,
            incarnation,
            work_us: clock::fixed_work_us(incarnation),
        };
        let mut crash_watch = CrashWatch::new(incarnation, QuarantineOptions::default());
        crash_watch.exempt(&settings.exempt);
        Ok(Self {
            engine_orders: EngineOrders::new(&settings, incarnation),
            learned_store: LearnedStore::default(),
            peers: Peers::new(own_record, socket),
            local_demand: LocalDemand::default(),
            local_detail: LocalDetail::default(),
            poll,
            now_ms,
            incarnation,
            listeners,
            stop_signals,
            hangup_signals,
            next_token: FIRST_CONNECTION_TOKEN,
            callers: HashMap::new(),
            outbound: OutboundPool::new(settings.address),
            active: ActiveRequests::default(),
            directory: Directory::new(DirectoryOptions::default()),
            dispatcher: Dispatcher::new(options),
            watch: LivenessMonitor::default(),
            health_checks: CheckWork::default(),
            paths: Paths::new(PathOptions::new(incarnation, settings.zone.clone())),
            path_work: PathWork::default(),
            relay_listener,
            relayed: RelayedConnections::default(),
            loop_load: LoopLoad::default(),
            crash_watch,
            block_store: BlockStore::default(),
            limits: Limits::new(incarnation, settings.limit_bounds),
            rank_gate: RankGate::default(),
            upstream_permits: UpstreamPermits::new(incarnation),
            stream_origins: StreamOrigins::default(),
            residence_updates: ResidenceUpdates::default(),
            ended_incarnations: Vec::new(),
            store_pollers: StorePollers::default(),
            sharing: ReadSharing::default(),
            store_era: StoreEra::default(),
            configuration_evidence: ConfigurationEvidence::new(EvidenceOptions::default()),
            next_configuration_query_ms: 0,
            pacing: ReadPacing::new(settings.read_bytes_per_s, incarnation),
            planned_stop: PlannedStop::default(),
            metrics: EntryMetrics::default(),
            log_budget: LogBudget::default(),
            call_answers: HashMap::new(),
            next_call_timeout_ms: u64::MAX,
            unread: Vec::new(),
            answered: Vec::new(),
            redispatch_needed: false,
            next_sweep_ms: now_ms,
            settings,
            codecs,
        })
    }

    /// Returns the name of this VM.
    pub fn vm(&self) -> &VmName {
        &self.settings.vm
    }

    /// Serves until a planned stop is complete.
    ///
    /// # Errors
    ///
    /// [`crate::Error::Loop`] if the kernel's readiness interface fails.
    pub fn run(mut self) -> Result<()> {
        self.log_start();
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !self.is_stopped() {
            let sleep_ms = self.sleep_ms();
            match self
                .poll
                .poll(&mut events, Some(Duration::from_millis(sleep_ms)))
            {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
            self.loop_load.begin_work();
            self.check_for_pause(sleep_ms);
            let unread = std::mem::take(&mut self.unread);
            let ready: Vec<(Token, bool)> = events
                .iter()
                .map(|event| (event.token(), event.is_writable()))
                .chain(unread.into_iter().map(|token| (token, false)))
                .collect();
            for (token, writable) in ready {
                self.dispatch_event(token, writable);
            }
            if self.peers.may_have_more {
                self.receive_peer_messages();
            }
            self.work();
            self.loop_load.end_work();
        }
        self.refuse_unbegun();
        self.log_end();
        Ok(())
    }

    /// Reads the clock after a sleep and logs a long delay. A VM that was suspended or had no
    /// processor time makes requests late without any other trace of the cause.
    fn check_for_pause(&mut self, sleep_ms: u64) {
        let slept_from_ms = std::mem::replace(&mut self.now_ms, now_ms());
        let late_ms = self.now_ms.saturating_sub(slept_from_ms + sleep_ms);
        if late_ms >= SHORTEST_PAUSE_MS {
            self.watch.process_paused(self.now_ms);
            self.paths.process_paused(self.now_ms);
        }
        if late_ms >= LOGGED_PAUSE_MS {
            self.metrics.process_paused();
            self.request_blocks();
            self.stream_origins.record_gap();
            log::warn!(
                late_ms, requests = self.active.len(), orders_by = self.peers.lease_holder_text();
                "this VM stood still"
            );
        }
    }

    /// Does the work that is due, whether or not an event arrived.
    fn work(&mut self) {
        self.wake_due_requests();
        self.refuse_waiting_for_stop();
        for token in std::mem::take(&mut self.answered) {
            self.serve_caller(token);
        }
        self.advance_pollers();
        // The wait of a VM that starts begins as soon as it could serve, and not with the first
        // request.
        self.readiness();
        self.advance_engine_orders();
        self.advance_learned_store();
        self.advance_peers();
        self.advance_watch();
        self.advance_paths();
        self.advance_health_checks();
        self.advance_all_relayed();
        self.advance_crash_watch();
        self.advance_limits();
        self.advance_rank_gate();
        self.advance_upstream_permits();
        self.advance_stream_origins();
        if self.now_ms >= self.next_sweep_ms || self.now_ms >= self.next_call_timeout_ms {
            self.sweep();
        }
        if std::mem::take(&mut self.redispatch_needed) {
            self.dispatch_waiting();
        }
    }

    fn sleep_ms(&self) -> u64 {
        let has_work = !self.answered.is_empty() || !self.unread.is_empty();
        if has_work || self.redispatch_needed || self.peers.may_have_more {
            return 0;
        }
        let next_ms = [
            self.active.next_ms().unwrap_or(u64::MAX),
            self.next_sweep_ms,
            self.next_call_timeout_ms,
            self.store_pollers.next_ms(self.now_ms, &self.sharing),
            self.engine_orders.next_ms(),
            self.peers.next_ms(),
            self.watch.next_ms(),
            self.next_path_work_ms(),
            self.health_checks.next_ms(),
            self.relayed.next_ms(),
            self.crash_watch.next_ms(),
            self.limits.next_ms(),
            self.upstream_permits.next_ms(),
            self.stream_origins.next_ms(),
        ]
        .into_iter()
        .min()
        .unwrap_or(u64::MAX);
        next_ms.saturating_sub(self.now_ms).clamp(1, MAX_SLEEP_MS)
    }

    fn dispatch_event(&mut self, token: Token, writable: bool) {
        match token {
            CALLERS | READY | METRICS => self.accept(token),
            PEERS => self.receive_peer_messages(),
            RELAY => self.accept_relays(),
            STOP if drain_pipe(&mut self.stop_signals) => self.begin_stop(),
            HANGUP if drain_pipe(&mut self.hangup_signals) => self.reload(),
            STOP | HANGUP => {}
            token if self.callers.contains_key(&token) => self.serve_caller(token),
            token if self.relayed.contains(token) => self.advance_relayed(token),
            token => self.handle_outbound_event(token, writable),
        }
    }

    pub(crate) fn new_token(&mut self) -> Token {
        let token = Token(self.next_token);
        self.next_token += 1;
        token
    }

    /// Continues a connection that this VM opened, after an event on it.
    fn handle_outbound_event(&mut self, token: Token, writable: bool) {
        let now_ms = self.now_ms;
        let share_bytes = self.answer_share_bytes();
        let Some(connection) = self.outbound.get_mut(token) else {
            return;
        };
        connection.begin_iteration();
        let is_open = !writable || connection.stream.flush();
        if !connection.paused {
            let has_received = connection.read(now_ms, share_bytes);
            if !is_open {
                connection.record_write_failure();
            }
            if let (Peer::Upstream(upstream), true) = (connection.peer.clone(), has_received) {
                self.record_received(token, &upstream);
            }
        }
        let Some(connection) = self.outbound.get_mut(token) else {
            return;
        };
        match connection.purpose.clone() {
            Purpose::Idle => {
                // An idle connection that is readable was closed or carries bytes of no request.
                if connection.is_unusable_when_idle() {
                    self.outbound.close(token, self.poll.registry());
                }
            }
            Purpose::Call(_) if !is_open => self.call_failed(token),
            Purpose::Call(CallTag::Probe(_) | CallTag::PathProbe(_)) => {
                self.shorten_connect_probe(token);
                self.advance_call(token);
            }
            Purpose::Call(_) => self.advance_call(token),
            Purpose::Proxy(key) => self.advance_proxied_answer(token, key, is_open),
            Purpose::Drain => self.advance_drain(token),
        }
    }

    /// Reads more of an answer. Returns whether it has been read; otherwise the connection has had its
    /// share, and is continued in the next iteration of the loop.
    pub(crate) fn read_further(&mut self, token: Token) -> bool {
        let share_bytes = self.answer_share_bytes();
        let Some(connection) = self.outbound.get_mut(token) else {
            return false;
        };
        if connection.has_had_share() {
            self.unread.push(token);
            return false;
        }
        connection.read(self.now_ms, share_bytes);
        true
    }

    /// Drops connections that have timed out and applies the current number of VMs.
    fn sweep(&mut self) {
        self.next_sweep_ms = self.now_ms + SWEEP_INTERVAL_MS;
        if let Some(vms) = self.peers.vms() {
            self.dispatcher.set_vms(vms);
            self.pacing.set_vms(vms);
            self.limits.set_vms(vms as usize);
            self.upstream_permits.set_vms(vms as usize);
        }
        self.next_call_timeout_ms = u64::MAX;
        for token in self.outbound.sweep(self.now_ms, self.poll.registry()) {
            self.call_failed(token);
        }
        for (token, key) in self.outbound.late_connections(self.now_ms) {
            self.handle_failed_connection(token, key);
        }
        self.next_call_timeout_ms = self.outbound.next_call_until_ms().unwrap_or(u64::MAX);
        self.drop_timed_out_callers();
        if self.planned_stop.refuses_connections(self.now_ms) {
            self.listeners.remove(&CALLERS);
        }
        self.check_silent_requests();
        self.update_stream_origins();
    }
}
