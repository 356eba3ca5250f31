//! The other VMs that this VM knows, and the datagram socket to them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_holder::ResidenceUpdate;
use apricotdale_holder::TakeoverCandidate;
use apricotdale_holder::takeover_order;
use mio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use crate::messages::PeerMessage;
use crate::messages::VmRecord;
use crate::messages::encode;

/// Demand rows in one datagram. A row takes about 30 bytes.
pub(crate) const ROWS_PER_DATAGRAM: usize = 30;

/// Lower bound of the shortest time between two demand reports, however many requests start to
/// wait.
const MIN_DEMAND_PAUSE_MS: u64 = 15;

/// What each known VM adds to the shortest time between two demand reports.
const DEMAND_PAUSE_US_PER_VM: u64 = 350;

/// Upper bound of the shortest time between two demand reports.
const MAX_DEMAND_PAUSE_MS: u64 = 150;

/// Shortest time between two heartbeats, however much changes. A heartbeat is a datagram to each
/// VM.
const MIN_HEARTBEAT_INTERVAL_MS: u64 = 40;

/// How long residence updates are collected before they are sent, for each known VM. Hundreds of
/// orders a second, each announced separately to hundreds of VMs, use up a small share of a core in
/// system calls alone.
const UPDATE_COLLECTION_US_PER_VM: u64 = 150;

/// Number of VMs, besides the lease holder, that receive reports of the requests in progress at
/// crashed upstreams. Any one of them is sufficient.
const JUDGE_COUNT: usize = 4;

/// Number of VMs that may keep the accounts of organisations: one, and its substitutes if it is
/// lost.
const OWNER_CANDIDATES: usize = 4;

/// Number of VMs that check an upstream in turn.
const MAX_CHECKERS: usize = 4;

/// How long a VM counts as alive after its last message.
const PEER_TIMEOUT_MS: u64 = 3_000;

/// Time between two hellos of a VM that receives no heartbeats of a lease holder.
pub(crate) const HELLO_INTERVAL_MS: u64 = 1_000;

/// Number of VMs that receive each hello after the first one, which goes to all. While there is no
/// lease holder all VMs send hellos: with each of them to all others, hundreds of VMs would
/// exchange tens of thousands of datagrams a second.
const HELLO_BATCH_VMS: usize = 16;

/// Maximum number of senders of undecodable messages that are logged.
const MAX_LOGGED_SENDERS: usize = 200;

/// What is known about another VM.
#[derive(Clone, Copy, Debug)]
struct KnownVm {
    address: SocketAddr,
    incarnation: u64,
    /// How long a fixed amount of work took on the VM when it started.
    work_us: u32,
    /// When this VM last received a message of the other VM; 0 if it knows only its entry in the
    /// store.
    last_received_ms: u64,
}

/// Known VMs, the lease holder among them, and the schedule of messages to them.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(super) own: VmRecord,
    socket: UdpSocket,
    known: HashMap<VmName, KnownVm>,
    /// Whether the VMs' entries in the store have been read.
    has_records: bool,
    /// Name and address of the lease holder, and when its last heartbeat was received or sent; none
    /// before the first and after its goodbye.
    pub(super) lease_holder: Option<(VmName, SocketAddr, u64)>,
    pub(super) next_demand_ms: u64,
    pub(super) last_demand_ms: u64,
    pub(super) next_heartbeat_ms: u64,
    pub(super) last_heartbeat_ms: u64,
    /// Residence updates that are collected for the next announcement.
    residence_updates: Vec<ResidenceUpdate>,
    pub(super) next_residence_updates_ms: u64,
    pub(super) next_hello_ms: u64,
    /// Whether the socket may hold datagrams that have not been received yet.
    pub may_have_more: bool,
    /// Whether the first hello has been sent to all VMs.
    has_sent_first_hello: bool,
    /// Index of the known VM that the next message in rotation begins with.
    rotation_offset: usize,
    /// Senders of undecodable messages that have been logged.
    undecodable_senders: HashSet<SocketAddr>,
}

impl Peers {
    pub fn new(own: VmRecord, socket: UdpSocket) -> Self {
        Self {
            own,
            socket,
            known: HashMap::new(),
            has_records: false,
            lease_holder: None,
            next_demand_ms: 0,
            last_demand_ms: 0,
            next_heartbeat_ms: 0,
            last_heartbeat_ms: 0,
            residence_updates: Vec::new(),
            next_residence_updates_ms: u64::MAX,
            next_hello_ms: u64::MAX,
            may_have_more: false,
            has_sent_first_hello: false,
            rotation_offset: 0,
            undecodable_senders: HashSet::new(),
        }
    }

    /// Returns whether this sender's undecodable message should be logged: the first one of each
    /// sender, up to a maximum number of senders.
    pub fn should_log_undecodable(&mut self, from: SocketAddr) -> bool {
        self.undecodable_senders.len() < MAX_LOGGED_SENDERS && self.undecodable_senders.insert(from)
    }

    /// Returns the lease holder that this VM knows, for logs; empty if it knows none.
    pub fn lease_holder_text(&self) -> &str {
        self.lease_holder
            .as_ref()
            .map_or("", |(vm, ..)| vm.as_str())
    }

    /// Returns the time since the last heartbeat of the lease holder, which may be this VM; the age
    /// of the clock if there was none.
    pub fn lease_holder_silence_ms(&self, now_ms: u64) -> u64 {
        let heartbeat_ms = self.lease_holder.as_ref().map_or(0, |(.., at_ms)| *at_ms);
        now_ms.saturating_sub(heartbeat_ms)
    }

    /// Returns this VM's entry in the store.
    pub fn own_record(&self) -> &VmRecord {
        &self.own
    }

    /// Adds the VMs of the store's entries and schedules a hello to all VMs.
    pub fn add_store_entries(&mut self, records: Vec<VmRecord>) {
        for record in records
            .into_iter()
            .filter(|record| record.vm != self.own.vm)
        {
            let listed = KnownVm {
                address: record.address,
                incarnation: record.incarnation,
                work_us: record.work_us,
                last_received_ms: 0,
            };
            let known = self.known.entry(record.vm).or_insert(listed);
            // What a VM has said of itself is newer than its entry may be.
            if known.last_received_ms == 0 {
                *known = listed;
            }
        }
        self.has_records = true;
        self.next_hello_ms = 0;
    }

    /// Schedules a demand report soon, since a request has started to wait.
    pub fn schedule_demand_report(&mut self) {
        let by_fleet_ms = self.known.len() as u64 * DEMAND_PAUSE_US_PER_VM / 1_000;
        let pause_ms = by_fleet_ms.clamp(MIN_DEMAND_PAUSE_MS, MAX_DEMAND_PAUSE_MS);
        self.next_demand_ms = self.next_demand_ms.min(self.last_demand_ms + pause_ms);
    }

    /// Returns when the next message is due.
    pub fn next_ms(&self) -> u64 {
        self.next_demand_ms
            .min(self.next_heartbeat_ms)
            .min(self.next_hello_ms)
            .min(self.next_residence_updates_ms)
    }

    pub(super) fn knows_vm(&self, vm: &VmName) -> bool {
        self.known.contains_key(vm)
    }

    /// Returns the address of another VM: for datagrams, and for connections that it relays.
    pub fn address_of(&self, vm: &VmName) -> Option<SocketAddr> {
        self.known.get(vm).map(|known| known.address)
    }

    /// Returns whether a VM other than these has been heard since a time.
    pub fn is_heard_since(&self, since_ms: u64, without: &HashSet<SocketAddr>) -> bool {
        let mut known = self.known.values();
        known.any(|known| known.last_received_ms > since_ms && !without.contains(&known.address))
    }

    /// Returns the names of the other VMs that are known.
    pub fn names(&self) -> impl Iterator<Item = &VmName> {
        self.known.keys()
    }

    /// Returns whether a known VM has this IP address.
    pub fn knows_address(&self, address: IpAddr) -> bool {
        let mut known = self.known.values();
        known.any(|known| known.address.ip() == address)
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
    pub fn takeover_rank(&self, now_ms: u64) -> u64 {
        if !self.has_records {
            return takeover_order::default_takeover_rank();
        }
        let own = TakeoverCandidate {
            vm: &self.own.vm,
            work_us: self.own.work_us,
            is_alive: true,
        };
        let lease_holder = self
            .lease_holder
            .as_ref()
            .map(|(lease_holder, ..)| lease_holder);
        let others = self
            .known
            .iter()
            .filter(|(vm, _)| Some(*vm) != lease_holder);
        takeover_order::takeover_rank(
            &own,
            others.map(|(vm, known)| TakeoverCandidate {
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
        let chosen = ranked.into_iter().take(JUDGE_COUNT);
        let mut judges: Vec<(VmName, SocketAddr)> = chosen
            .map(|(_, vm, address)| (vm.clone(), address))
            .collect();
        let lease_holder = self.lease_holder.as_ref();
        let lease_holder =
            lease_holder.filter(|(vm, ..)| judges.iter().all(|(judge, _)| judge != vm));
        judges.extend(lease_holder.map(|(vm, address, _)| (vm.clone(), *address)));
        judges
    }

    /// Returns the VMs that may keep the accounts of organisations: fast ones, which all VMs choose
    /// alike by speed class and hashes of their names. A slow VM can't answer hundreds of VMs in
    /// time.
    pub fn quota_owners(&self) -> Vec<(VmName, SocketAddr)> {
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
        let chosen = ranked.into_iter().take(OWNER_CANDIDATES);
        chosen
            .map(|(_, _, vm, address)| (vm.clone(), address))
            .collect()
    }

    /// Returns the other VMs that check an upstream, in the order in which they are asked. All VMs choose
    /// them alike by hashes of the names.
    pub fn checkers(&self, upstream: &UpstreamName) -> Vec<VmName> {
        let hash = |vm: &VmName| xxh3_64(format!("{vm} {upstream}").as_bytes());
        let mut ranked: Vec<(u64, &VmName)> = self.known.keys().map(|vm| (hash(vm), vm)).collect();
        ranked.sort_unstable();
        let chosen = ranked.into_iter().take(MAX_CHECKERS);
        chosen.map(|(_, vm)| vm.clone()).collect()
    }

    /// Announces to all VMs that this one stops.
    pub fn send_goodbye(&mut self) {
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

    /// Announces this VM to others: the first time to all, later to the next few in rotation.
    pub fn send_hello(&mut self) {
        let hello = PeerMessage::Hello(self.own.clone());
        if !std::mem::replace(&mut self.has_sent_first_hello, true) {
            self.send_all(&hello);
            return;
        }
        self.send_to_next(HELLO_BATCH_VMS, &hello);
    }

    /// Sends a message to the next known VMs in rotation.
    pub fn send_to_next(&mut self, max_vms: usize, message: &PeerMessage) {
        let at_once = self.known.len().min(max_vms);
        let recipients = self
            .known
            .values()
            .cycle()
            .skip(self.rotation_offset)
            .take(at_once);
        let addresses: Vec<SocketAddr> = recipients.map(|known| known.address).collect();
        for address in addresses {
            self.send(address, message);
        }
        self.rotation_offset = (self.rotation_offset + at_once) % self.known.len().max(1);
    }

    pub(super) fn send(&self, address: SocketAddr, message: &PeerMessage) {
        if let Some(bytes) = encode(message) {
            let _ = self.socket.send_to(&bytes, address);
        }
    }

    /// Schedules the next heartbeat soon, since something has changed that other VMs should know.
    pub fn schedule_heartbeat(&mut self) {
        self.next_heartbeat_ms = self
            .next_heartbeat_ms
            .min(self.last_heartbeat_ms + MIN_HEARTBEAT_INTERVAL_MS);
    }

    /// Queues residence updates for all VMs. A small fleet is sent them at once; for a large one
    /// they are collected for some time.
    pub fn queue_residence_updates(&mut self, now_ms: u64, residence_updates: &[ResidenceUpdate]) {
        for update in residence_updates {
            self.residence_updates
                .retain(|other| !other.has_same_subject(update));
            self.residence_updates.push(update.clone());
        }
        let pause_ms = self.known.len() as u64 * UPDATE_COLLECTION_US_PER_VM / 1_000;
        self.next_residence_updates_ms = self.next_residence_updates_ms.min(now_ms + pause_ms);
    }

    /// Sends the collected residence updates, in as many datagrams as they need.
    pub(super) fn send_residence_updates(&mut self) {
        self.next_residence_updates_ms = u64::MAX;
        for part in std::mem::take(&mut self.residence_updates).chunks(ROWS_PER_DATAGRAM / 2) {
            self.send_all(&PeerMessage::ResidenceUpdates(part.to_vec()));
        }
    }

    /// Records that a message of a VM was received. Returns whether this incarnation of the VM was
    /// unknown.
    pub(super) fn record_sender(&mut self, now_ms: u64, record: &VmRecord) -> bool {
        if record.vm == self.own.vm {
            return false;
        }
        let known = KnownVm {
            address: record.address,
            incarnation: record.incarnation,
            work_us: record.work_us,
            last_received_ms: now_ms,
        };
        let before = self.known.insert(record.vm.clone(), known);
        let is_other_incarnation =
            before.is_none_or(|before| before.incarnation != record.incarnation);
        if is_other_incarnation {
            log::debug!(
                peer = record.vm.to_string(), run = record.incarnation;
                "incarnation of a VM discovered"
            );
        }
        is_other_incarnation
    }
}

fn is_alive(known: &KnownVm, now_ms: u64) -> bool {
    known.last_received_ms > 0 && now_ms.saturating_sub(known.last_received_ms) < PEER_TIMEOUT_MS
}
