//! The other VMs that this VM knows, and the datagram socket to them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;

use apricotdale_core::names::VmName;
use apricotdale_holder::Contender;
use apricotdale_holder::ResidenceNews;
use apricotdale_holder::succession;
use mio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use crate::messages::PeerMessage;
use crate::messages::VmRecord;
use crate::messages::encode;

/// Demand rows in one datagram. A row takes about 30 bytes.
pub(crate) const ROWS_A_DATAGRAM: usize = 30;

/// Lower bound of the shortest time between two demand reports, however many requests start to
/// wait.
const DEMAND_MIN_MS: u64 = 15;

/// What each known VM adds to the shortest time between two demand reports.
const DEMAND_MIN_US_A_VM: u64 = 350;

/// Upper bound of the shortest time between two demand reports.
const DEMAND_MOST_MIN_MS: u64 = 150;

/// Shortest time between two heartbeats, however much changes. A heartbeat is a datagram to each
/// VM.
const BEAT_MIN_MS: u64 = 40;

/// How long residence updates are collected before they are sent, for each known VM. Hundreds of
/// orders a second, each announced separately to hundreds of VMs, use up a small share of a core in
/// system calls alone.
const NEWS_PAUSE_US_A_VM: u64 = 150;

/// Number of VMs, besides the lease holder, that receive reports of the requests in progress at
/// crashed upstreams. Any one of them is sufficient.
const JUDGES: usize = 4;

/// Number of VMs that may keep the accounts of organisations: one, and its substitutes if it is
/// lost.
const KEEPERS: usize = 4;

/// How long a VM counts as alive after its last message.
const PEER_GOOD_MS: u64 = 3_000;

/// Time between two greetings by a VM that does not hear the lease holder.
pub(crate) const GREETING_MS: u64 = 1_000;

/// Number of VMs that are greeted at a time, in turn, after the first greeting to all. While there
/// is no lease holder all VMs greet: if each greeted all others, hundreds of VMs would exchange
/// tens of thousands of datagrams a second.
const GREETED_AT_ONCE: usize = 16;

/// Maximum number of senders of undecodable messages that are logged.
const STRANGERS: usize = 200;

#[derive(Clone, Copy, Debug)]
struct Known {
    address: SocketAddr,
    run: u64,
    work_us: u32,
    heard_ms: u64,
}

/// Known VMs, the lease holder among them, and the schedule of messages to them.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(super) own: VmRecord,
    socket: UdpSocket,
    known: HashMap<VmName, Known>,
    /// Whether the VMs' entries in the store have been read.
    has_records: bool,
    pub(super) holder: Option<(VmName, SocketAddr, u64)>,
    pub(super) next_demand_ms: u64,
    pub(super) last_demand_ms: u64,
    pub(super) next_beat_ms: u64,
    pub(super) last_beat_ms: u64,
    /// Residence updates that are collected for the next announcement.
    news: Vec<ResidenceNews>,
    pub(super) next_news_ms: u64,
    pub(super) next_greeting_ms: u64,
    /// Whether the socket may hold datagrams that have not been received yet.
    pub may_have_more: bool,
    /// Whether the first greeting has been sent to all VMs.
    has_greeted: bool,
    greeted: usize,
    /// Senders of undecodable messages that have been logged.
    strangers: HashSet<SocketAddr>,
}

impl Peers {
    pub fn new(own: VmRecord, socket: UdpSocket) -> Self {
        Self {
            own,
            socket,
            known: HashMap::new(),
            has_records: false,
            holder: None,
            next_demand_ms: 0,
            last_demand_ms: 0,
            next_beat_ms: 0,
            last_beat_ms: 0,
            news: Vec::new(),
            next_news_ms: u64::MAX,
            next_greeting_ms: u64::MAX,
            may_have_more: false,
            has_greeted: false,
            greeted: 0,
            strangers: HashSet::new(),
        }
    }

    /// Returns whether this sender's undecodable message should be logged: the first one of each
    /// sender, up to a maximum number of senders.
    pub fn is_new_stranger(&mut self, from: SocketAddr) -> bool {
        self.strangers.len() < STRANGERS && self.strangers.insert(from)
    }

    /// Returns the lease holder that this VM knows, for logs; empty if it knows none.
    pub fn holder_text(&self) -> &str {
        self.holder.as_ref().map_or("", |(vm, ..)| vm.as_str())
    }

    /// Returns this VM's entry in the store.
    pub fn own_record(&self) -> &VmRecord {
        &self.own
    }

    /// Adds the VMs of the store's entries and schedules a greeting to all VMs.
    pub fn note_records(&mut self, records: Vec<VmRecord>) {
        for record in records
            .into_iter()
            .filter(|record| record.vm != self.own.vm)
        {
            self.known.entry(record.vm).or_insert(Known {
                address: record.address,
                run: record.run,
                work_us: record.work_us,
                heard_ms: 0,
            });
        }
        self.has_records = true;
        self.next_greeting_ms = 0;
    }

    /// Schedules a demand report soon, since a request has started to wait.
    pub fn tell_demand_soon(&mut self) {
        let by_fleet_ms = self.known.len() as u64 * DEMAND_MIN_US_A_VM / 1_000;
        let pause_ms = by_fleet_ms.clamp(DEMAND_MIN_MS, DEMAND_MOST_MIN_MS);
        self.next_demand_ms = self.next_demand_ms.min(self.last_demand_ms + pause_ms);
    }

    /// Returns when the next message is due.
    pub fn next_ms(&self) -> u64 {
        self.next_demand_ms
            .min(self.next_beat_ms)
            .min(self.next_greeting_ms)
            .min(self.next_news_ms)
    }

    pub(super) fn knows(&self, vm: &VmName) -> bool {
        self.known.contains_key(vm)
    }

    /// Removes a VM that stops.
    pub(super) fn forget(&mut self, vm: &VmName) {
        self.known.remove(vm);
    }

    /// Receives a datagram and returns its length and sender.
    pub(super) fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(bytes)
    }

    /// Returns the number of VMs including this one; none before the store's entries have been
    /// read. VMs that ended without a goodbye still count.
    pub fn vms(&self) -> Option<u32> {
        self.has_records.then(|| self.known.len() as u32 + 1)
    }

    /// Returns the number of other VMs that are known.
    pub fn others(&self) -> usize {
        self.known.len()
    }

    /// Returns this VM's rank among the VMs that could take over the lease from its last holder.
    pub fn place(&self, now_ms: u64) -> u64 {
        if !self.has_records {
            return succession::unknown_place();
        }
        let own = Contender {
            vm: &self.own.vm,
            work_us: self.own.work_us,
            is_alive: true,
        };
        let holder = self.holder.as_ref().map(|(holder, ..)| holder);
        let others = self.known.iter().filter(|(vm, _)| Some(*vm) != holder);
        succession::place(
            &own,
            others.map(|(vm, known)| Contender {
                vm,
                work_us: known.work_us,
                is_alive: is_alive(known, now_ms),
            }),
        )
    }

    /// Returns the VMs that judge which requests crash upstreams: the lease holder, and some that
    /// all VMs choose alike by hashes of their names. This VM may be one of them.
    pub fn judges(&self) -> Vec<(VmName, SocketAddr)> {
        let others = self.known.iter().map(|(vm, known)| (vm, known.address));
        let mut ranked: Vec<(u64, &VmName, SocketAddr)> = others
            .chain([(&self.own.vm, self.own.address)])
            .map(|(vm, address)| (xxh3_64(vm.as_str().as_bytes()), vm, address))
            .collect();
        ranked.sort_unstable();
        let chosen = ranked.into_iter().take(JUDGES);
        let mut judges: Vec<(VmName, SocketAddr)> = chosen
            .map(|(_, vm, address)| (vm.clone(), address))
            .collect();
        let holder = self.holder.as_ref();
        let holder = holder.filter(|(vm, ..)| judges.iter().all(|(judge, _)| judge != vm));
        judges.extend(holder.map(|(vm, address, _)| (vm.clone(), *address)));
        judges
    }

    /// Returns the VMs that may keep the accounts of organisations: fast ones, which all VMs choose
    /// alike by speed class and hashes of their names. A slow VM can't answer hundreds of VMs in
    /// time.
    pub fn keepers(&self) -> Vec<(VmName, SocketAddr)> {
        let others = self.known.iter();
        let others = others.map(|(vm, known)| (known.work_us, vm, known.address));
        let own = (self.own.work_us, &self.own.vm, self.own.address);
        let mut ranked: Vec<(u32, u64, &VmName, SocketAddr)> = others
            .chain([own])
            .map(|(work_us, vm, address)| {
                let speed_class = work_us.max(1).ilog2();
                (speed_class, xxh3_64(vm.as_str().as_bytes()), vm, address)
            })
            .collect();
        ranked.sort_unstable();
        let chosen = ranked.into_iter().take(KEEPERS);
        chosen
            .map(|(_, _, vm, address)| (vm.clone(), address))
            .collect()
    }

    /// Announces to all VMs that this one stops.
    pub fn say_goodbye(&mut self) {
        self.send_all(&PeerMessage::Goodbye(self.own.vm.clone()));
    }

    /// Sends a message to all known VMs.
    pub fn send_all(&self, message: &PeerMessage) {
        let Some(bytes) = encode(message) else {
            return;
        };
        for known in self.known.values() {
            // A datagram that can't be sent is treated as lost.
            let _ = self.socket.send_to(&bytes, known.address);
        }
    }

    /// Announces this VM to others: the first time to all, later to some in turn.
    pub fn greet(&mut self) {
        let greeting = PeerMessage::Greeting(self.own.clone());
        if !std::mem::replace(&mut self.has_greeted, true) {
            self.send_all(&greeting);
            return;
        }
        let at_once = self.known.len().min(GREETED_AT_ONCE);
        let turn = self.known.values().cycle().skip(self.greeted).take(at_once);
        let addresses: Vec<SocketAddr> = turn.map(|known| known.address).collect();
        for address in addresses {
            self.send(address, &greeting);
        }
        self.greeted = (self.greeted + at_once) % self.known.len().max(1);
    }

    pub(super) fn send(&self, address: SocketAddr, message: &PeerMessage) {
        if let Some(bytes) = encode(message) {
            let _ = self.socket.send_to(&bytes, address);
        }
    }

    /// Schedules the next heartbeat soon, since something has changed that other VMs should know.
    pub fn beat_soon(&mut self) {
        self.next_beat_ms = self.next_beat_ms.min(self.last_beat_ms + BEAT_MIN_MS);
    }

    /// Queues residence updates for all VMs. A small fleet is sent them at once; for a large one
    /// they are collected for some time.
    pub fn tell_news(&mut self, now_ms: u64, news: &[ResidenceNews]) {
        for told in news {
            self.news.retain(|other| !other.is_about_the_same(told));
            self.news.push(told.clone());
        }
        let pause_ms = self.known.len() as u64 * NEWS_PAUSE_US_A_VM / 1_000;
        self.next_news_ms = self.next_news_ms.min(now_ms + pause_ms);
    }

    /// Sends the collected residence updates, in as many datagrams as they need.
    pub(super) fn send_news(&mut self) {
        self.next_news_ms = u64::MAX;
        for part in std::mem::take(&mut self.news).chunks(ROWS_A_DATAGRAM / 2) {
            self.send_all(&PeerMessage::News(part.to_vec()));
        }
    }

    /// Records that a VM was heard of. Returns whether this is a run of it that was not known.
    pub(super) fn note_heard(&mut self, now_ms: u64, record: &VmRecord) -> bool {
        if record.vm == self.own.vm {
            return false;
        }
        let known = Known {
            address: record.address,
            run: record.run,
            work_us: record.work_us,
            heard_ms: now_ms,
        };
        let before = self.known.insert(record.vm.clone(), known);
        let is_other_run = before.is_none_or(|before| before.run != record.run);
        if is_other_run {
            log::debug!(peer = record.vm.to_string(), run = record.run; "VM heard of");
        }
        is_other_run
    }
}

fn is_alive(known: &Known, now_ms: u64) -> bool {
    known.heard_ms > 0 && now_ms.saturating_sub(known.heard_ms) < PEER_GOOD_MS
}
