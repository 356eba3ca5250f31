//! Messages between VMs.
//!
//! VMs send each other small datagrams. Each message tells a state and not a change of it, so a
//! lost one is made good by the next, and nothing waits for an answer. The VM that gives orders
//! tells all others that it is there, what it foresees and what engines hold; the others tell it
//! their demand. So the messages grow with the VMs, not with their square.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_dispatch::LoadForecast;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::DirectoryChange;
use apricotdale_fleet::WantedModel;
use apricotdale_holder::DemandRow;
use apricotdale_holder::ResidenceNews;
use mio::net::UdpSocket;

use crate::active::Phase;
use crate::daemon::Daemon;
use crate::messages::ForecastRow;
use crate::messages::PeerMessage;
use crate::messages::VmRecord;
use crate::messages::encode;
use crate::sharing::Freshness;

/// The largest datagram that is sent, below what a packet carries everywhere.
const DATAGRAM_BYTES: usize = 1_200;

/// Rows of demand in one datagram: a row takes some 30 bytes.
const ROWS_A_DATAGRAM: usize = 30;

/// Time between two tellings of the demand while requests wait.
const DEMAND_WAITING_MS: u64 = 200;

/// The same while none wait.
const DEMAND_CALM_MS: u64 = 700;

/// The shortest time between two tellings, however many requests begin to wait.
const DEMAND_MIN_MS: u64 = 15;

/// Time between two beats of the VM that gives orders.
const BEAT_MS: u64 = 400;

/// How long a VM that was not heard of counts as there.
const PEER_GOOD_MS: u64 = 3_000;

/// Time between two greetings to all known VMs by one that does not hear the giver of orders.
const GREETING_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Known {
    address: SocketAddr,
    run: u64,
    heard_ms: u64,
}

/// `Peers` are the other VMs.
#[derive(Debug)]
pub(crate) struct Peers {
    own: VmRecord,
    socket: UdpSocket,
    known: HashMap<VmName, Known>,
    /// Whether the store's entries of the VMs were read.
    has_records: bool,
    holder: Option<(VmName, SocketAddr, u64)>,
    arrived: HashMap<WantedModel, u64>,
    next_demand_ms: u64,
    last_demand_ms: u64,
    next_beat_ms: u64,
    next_greeting_ms: u64,
}

impl Peers {
    pub fn new(vm: VmName, address: SocketAddr, run: u64, socket: UdpSocket) -> Self {
        Self {
            own: VmRecord { vm, address, run },
            socket,
            known: HashMap::new(),
            has_records: false,
            holder: None,
            arrived: HashMap::new(),
            next_demand_ms: 0,
            last_demand_ms: 0,
            next_beat_ms: 0,
            next_greeting_ms: u64::MAX,
        }
    }

    /// Returns the VM that gives orders as far as this one knows, for logs.
    pub fn holder_text(&self) -> &str {
        self.holder.as_ref().map_or("", |(vm, ..)| vm.as_str())
    }

    /// Returns this VM's entry for the store.
    pub fn own_record(&self) -> &VmRecord {
        &self.own
    }

    /// Takes in the entries of the store and greets every VM.
    pub fn note_records(&mut self, records: Vec<VmRecord>) {
        for record in records
            .into_iter()
            .filter(|record| record.vm != self.own.vm)
        {
            self.known.entry(record.vm).or_insert(Known {
                address: record.address,
                run: record.run,
                heard_ms: 0,
            });
        }
        self.has_records = true;
        self.next_greeting_ms = 0;
    }

    /// Notes that a request for a model arrived.
    pub fn note_arrival(&mut self, wanted: &WantedModel) {
        *self.arrived.entry(wanted.clone()).or_default() += 1;
    }

    /// Has the demand told soon: a request has begun to wait.
    pub fn tell_demand_soon(&mut self) {
        self.next_demand_ms = self.next_demand_ms.min(self.last_demand_ms + DEMAND_MIN_MS);
    }

    /// Returns when something is to be sent.
    pub fn next_ms(&self) -> u64 {
        self.next_demand_ms
            .min(self.next_beat_ms)
            .min(self.next_greeting_ms)
    }

    /// Returns how many VMs there are with this one, as far as the store and greetings have told;
    /// none before the store has. VMs that are gone without a word still count.
    pub fn vms(&self) -> Option<u32> {
        self.has_records.then(|| self.known.len() as u32 + 1)
    }

    /// Returns this VM's place among those that were heard of lately, by name.
    pub fn place(&self, now_ms: u64) -> u64 {
        let alive = self
            .known
            .iter()
            .filter(|(_, known)| is_alive(known, now_ms));
        alive.filter(|(name, _)| **name < self.own.vm).count() as u64
    }

    /// Tells all VMs that this one stops.
    pub fn say_goodbye(&mut self) {
        self.send_all(&PeerMessage::Goodbye(self.own.vm.clone()));
    }

    /// Sends a message to all known VMs.
    pub fn send_all(&self, message: &PeerMessage) {
        let Some(bytes) = encode(message) else {
            return;
        };
        for known in self.known.values() {
            // A datagram that can't be sent is as good as a lost one.
            let _ = self.socket.send_to(&bytes, known.address);
        }
    }

    /// Sends a message to one VM.
    fn send(&self, address: SocketAddr, message: &PeerMessage) {
        if let Some(bytes) = encode(message) {
            let _ = self.socket.send_to(&bytes, address);
        }
    }

    /// Has the next beat sent at once: something has changed that others should know.
    pub fn beat_soon(&mut self) {
        self.next_beat_ms = 0;
    }

    /// Sends news, in as many datagrams as they take.
    pub fn send_news(&self, news: &[ResidenceNews]) {
        for part in news.chunks(ROWS_A_DATAGRAM / 2) {
            self.send_all(&PeerMessage::News(part.to_vec()));
        }
    }

    fn note_heard(&mut self, now_ms: u64, record: &VmRecord) {
        if record.vm == self.own.vm {
            return;
        }
        let known = Known {
            address: record.address,
            run: record.run,
            heard_ms: now_ms,
        };
        let before = self.known.insert(record.vm.clone(), known);
        if before.is_none_or(|before| before.run != record.run) {
            log::debug!(peer = record.vm.to_string(), run = record.run; "VM heard of");
        }
    }
}

fn is_alive(known: &Known, now_ms: u64) -> bool {
    known.heard_ms > 0 && now_ms.saturating_sub(known.heard_ms) < PEER_GOOD_MS
}

impl Daemon {
    /// Takes in the messages of other VMs.
    pub(crate) fn receive_peers(&mut self) {
        let mut bytes = [0_u8; 64 * 1024];
        loop {
            match self.peers.socket.recv_from(&mut bytes) {
                Ok((length, from)) => match postcard::from_bytes(&bytes[..length]) {
                    Ok(message) => self.take_message(from, message),
                    Err(error) => {
                        self.metrics.failed_try("bad_peer_message");
                        log::warn!(
                            from = from.to_string(), reason = error.to_string();
                            "message of a VM not understood"
                        );
                    }
                },
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return,
            }
        }
    }

    fn take_message(&mut self, from: SocketAddr, message: PeerMessage) {
        let now_ms = self.now_ms;
        match message {
            PeerMessage::Greeting(record) => {
                let is_new = !self.peers.known.contains_key(&record.vm);
                self.peers.note_heard(now_ms, &record);
                if is_new {
                    let greeting = PeerMessage::Greeting(self.peers.own.clone());
                    self.peers.send(record.address, &greeting);
                }
            }
            PeerMessage::Goodbye(vm) => {
                self.peers.known.remove(&vm);
                if self
                    .peers
                    .holder
                    .as_ref()
                    .is_some_and(|(holder, ..)| *holder == vm)
                {
                    self.peers.holder = None;
                }
            }
            PeerMessage::Demand { vm, run, rows } => {
                let record = VmRecord {
                    vm: vm.clone(),
                    address: from,
                    run,
                };
                self.peers.note_heard(now_ms, &record);
                for part in self.ordering.missed_news(&rows).chunks(ROWS_A_DATAGRAM / 2) {
                    self.peers.send(from, &PeerMessage::News(part.to_vec()));
                }
                self.ordering.note_demand(now_ms, &vm, run, rows);
            }
            PeerMessage::Beat {
                from,
                lease_end,
                forecasts,
                fresh,
            } => {
                self.peers.note_heard(now_ms, &from);
                if self.ordering.is_outdated(lease_end) {
                    return;
                }
                self.ordering.note_lease_end(now_ms, lease_end);
                if self
                    .peers
                    .holder
                    .as_ref()
                    .is_none_or(|(holder, ..)| *holder != from.vm)
                {
                    log::info!(holder = from.vm.to_string(), lease_end; "another VM gives orders");
                }
                self.take_freshness(&from, &fresh);
                self.peers.holder = Some((from.vm, from.address, now_ms));
                self.take_forecasts(forecasts);
            }
            PeerMessage::News(news) => self.take_news(news),
            PeerMessage::TurnedAway { engine, model } => self.engine_lacks(&engine, &model),
        }
    }

    /// Tells the giver of orders that an engine does not hold a model. Without this it would go on
    /// telling all VMs that the engine does.
    pub(crate) fn tell_turned_away(&mut self, engine: &UpstreamName, model: &ModelName) {
        if self.ordering.held_lease_end(self.now_ms).is_some() {
            self.engine_lacks(engine, model);
        } else if let Some((_, address, _)) = self.peers.holder {
            let message = PeerMessage::TurnedAway {
                engine: engine.clone(),
                model: model.clone(),
            };
            self.peers.send(address, &message);
        }
    }

    /// Takes in what the giver of orders has read.
    fn take_freshness(&mut self, giver: &VmRecord, fresh: &Freshness) {
        let now_ms = self.now_ms;
        if self.sharing.hear(now_ms, &giver.vm, giver.run, fresh) {
            self.feeds.read_list_soon(now_ms);
        }
        for name in &fresh.left {
            if self.directory.note_leaving(name) == DirectoryChange::Left {
                self.upstream_left(name, "told_by_another_vm");
            }
        }
    }

    /// Returns what this VM has read, for the others.
    fn freshness(&mut self) -> Freshness {
        let now_ms = self.now_ms;
        Freshness {
            configuration: self.directory.version(),
            configuration_age_ms: self.feeds.configuration_age_ms(now_ms),
            list_age_ms: self.feeds.list_age_ms(now_ms),
            came: self.sharing.came(),
            left: self.sharing.left(now_ms),
        }
    }

    fn take_forecasts(&mut self, forecasts: Vec<ForecastRow>) {
        let now_ms = self.now_ms;
        for row in forecasts {
            let ready_ms = row.ready_in_ms.map(|in_ms| now_ms + in_ms);
            self.dispatcher
                .note_forecast(now_ms, row.model, LoadForecast { ready_ms });
        }
        self.look_again = true;
    }

    pub(crate) fn take_news(&mut self, news: Vec<ResidenceNews>) {
        for news in news {
            self.look_again |= self.news.note(self.now_ms, &mut self.directory, news);
        }
    }

    /// Sends what is due.
    pub(crate) fn advance_peers(&mut self) {
        let now_ms = self.now_ms;
        if now_ms >= self.peers.next_greeting_ms {
            self.peers.next_greeting_ms = u64::MAX;
            let greeting = PeerMessage::Greeting(self.peers.own.clone());
            self.peers.send_all(&greeting);
        }
        if now_ms >= self.peers.next_beat_ms {
            self.peers.next_beat_ms = now_ms + BEAT_MS;
            self.send_beat();
        }
        if now_ms >= self.peers.next_demand_ms {
            self.tell_demand();
        }
    }

    fn send_beat(&mut self) {
        let now_ms = self.now_ms;
        let Some(lease_end) = self.ordering.held_lease_end(now_ms) else {
            let silent = self
                .peers
                .holder
                .as_ref()
                .is_none_or(|(.., heard_ms)| now_ms.saturating_sub(*heard_ms) > GREETING_MS);
            if silent && self.peers.next_greeting_ms == u64::MAX {
                self.peers.next_greeting_ms = now_ms + GREETING_MS;
            }
            return;
        };
        self.peers.holder = Some((self.peers.own.vm.clone(), self.peers.own.address, now_ms));
        let rows = self.ordering.forecasts(now_ms);
        let from = self.peers.own.clone();
        let mut parts: Vec<Vec<ForecastRow>> = rows
            .chunks(ROWS_A_DATAGRAM)
            .map(<[ForecastRow]>::to_vec)
            .collect();
        if parts.is_empty() {
            parts.push(Vec::new());
        }
        self.sharing.lead();
        let fresh = self.freshness();
        for forecasts in parts {
            let beat = PeerMessage::Beat {
                from: from.clone(),
                lease_end,
                forecasts,
                fresh: fresh.clone(),
            };
            self.peers.send_all(&beat);
        }
        self.take_forecasts(rows);
    }

    fn tell_demand(&mut self) {
        let now_ms = self.now_ms;
        let rows = self.demand_rows();
        let waits = rows.iter().any(|row| row.missing + row.crowded > 0);
        let pause_ms = if waits {
            DEMAND_WAITING_MS
        } else {
            DEMAND_CALM_MS
        };
        self.peers.next_demand_ms = now_ms + pause_ms;
        self.peers.last_demand_ms = now_ms;
        let (vm, run) = (self.peers.own.vm.clone(), self.peers.own.run);
        if self.ordering.held_lease_end(now_ms).is_some() {
            self.ordering.note_demand(now_ms, &vm, run, rows);
            return;
        }
        let Some((_, address, _)) = self.peers.holder else {
            return;
        };
        for rows in rows.chunks(ROWS_A_DATAGRAM) {
            let message = PeerMessage::Demand {
                vm: vm.clone(),
                run,
                rows: rows.to_vec(),
            };
            if let Some(bytes) = encode(&message) {
                debug_assert!(bytes.len() <= 4 * DATAGRAM_BYTES);
                let _ = self.peers.socket.send_to(&bytes, address);
            }
        }
    }

    /// Returns the demand for every model that was ever asked for here.
    fn demand_rows(&self) -> Vec<DemandRow> {
        let mut rows: HashMap<&WantedModel, DemandRow> = self
            .peers
            .arrived
            .iter()
            .map(|(wanted, arrived)| {
                let row = DemandRow {
                    model: wanted.model.clone(),
                    adapter: wanted.adapter.clone(),
                    missing: 0,
                    crowded: 0,
                    running: 0,
                    arrived: *arrived,
                };
                (wanted, row)
            })
            .collect();
        for (_, request) in self.active.iter() {
            let Some(row) = request.job.wanted.as_ref().and_then(|it| rows.get_mut(it)) else {
                continue;
            };
            match request.phase {
                Phase::Waiting(WaitReason::Missing) => row.missing += 1,
                Phase::Waiting(WaitReason::Crowded) => row.crowded += 1,
                _ => row.running += 1,
            }
        }
        rows.into_values().collect()
    }
}
