//! The other VMs, as far as this one knows them, and the socket towards them.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;

use apricotdale_core::names::VmName;
use apricotdale_holder::ResidenceUpdate;
use apricotdale_holder::TakeoverCandidate;
use apricotdale_holder::takeover_order;
use mio::net::UdpSocket;
use xxhash_rust::xxh3::xxh3_64;

use crate::messages::PeerMessage;
use crate::messages::VmRecord;
use crate::messages::encode;

/// Rows of demand in one datagram: a row takes some 30 bytes.
pub(crate) const ROWS_A_DATAGRAM: usize = 30;

/// The shortest time between two tellings, however many requests begin to wait.
const DEMAND_MIN_MS: u64 = 15;

/// What each VM adds to the longest such time.
const DEMAND_MIN_US_A_VM: u64 = 350;

/// The longest such time.
const DEMAND_MOST_MIN_MS: u64 = 150;

/// The shortest time between two beats, however much changes. A beat is a datagram to each VM.
const BEAT_MIN_MS: u64 = 40;

/// How long news are gathered, for each VM that they are told to. Hundreds of orders a second, each
/// told by itself to hundreds of VMs, take the whole of a small part of a core in system calls.
const NEWS_PAUSE_US_A_VM: u64 = 150;

/// VMs, besides the one that gives orders, that are told what was in progress at upstreams that
/// crashed. Any one of them is enough.
const JUDGES: usize = 4;

/// VMs that may keep the accounts of organisations: the first one, and others where it is lost.
const KEEPERS: usize = 4;

/// How long a VM that was not heard of counts as there.
const PEER_GOOD_MS: u64 = 3_000;

/// Time between two greetings by a VM that does not hear the giver of orders.
pub(crate) const GREETING_MS: u64 = 1_000;

/// VMs that are greeted at a time after the first greeting, in turn. When no giver is there all VMs
/// greet: if each greeted all others, hundreds would exchange tens of thousands of datagrams a
/// second.
const GREETED_AT_ONCE: usize = 16;

/// Senders of messages that were not understood that have a line in the log.
const STRANGERS: usize = 200;

#[derive(Clone, Copy, Debug)]
struct Known {
    address: SocketAddr,
    run: u64,
    work_us: u32,
    heard_ms: u64,
}

/// `Peers` are the other VMs.
#[derive(Debug)]
pub(crate) struct Peers {
    pub(super) own: VmRecord,
    socket: UdpSocket,
    known: HashMap<VmName, Known>,
    /// Whether the store's entries of the VMs were read.
    has_records: bool,
    pub(super) holder: Option<(VmName, SocketAddr, u64)>,
    pub(super) next_demand_ms: u64,
    pub(super) last_demand_ms: u64,
    pub(super) next_beat_ms: u64,
    pub(super) last_beat_ms: u64,
    /// News that are still to be told, and when they are.
    news: Vec<ResidenceUpdate>,
    pub(super) next_news_ms: u64,
    pub(super) next_greeting_ms: u64,
    /// Whether the socket may hold datagrams that were not taken in yet.
    pub may_have_more: bool,
    /// Whether all VMs were greeted, and how many were since then.
    has_greeted: bool,
    greeted: usize,
    /// Senders of messages that were not understood.
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

    /// Returns whether a message of this sender was not understood for the first time.
    pub fn is_new_stranger(&mut self, from: SocketAddr) -> bool {
        self.strangers.len() < STRANGERS && self.strangers.insert(from)
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
                work_us: record.work_us,
                heard_ms: 0,
            });
        }
        self.has_records = true;
        self.next_greeting_ms = 0;
    }

    /// Has the demand told soon: a request has begun to wait.
    pub fn tell_demand_soon(&mut self) {
        let by_fleet_ms = self.known.len() as u64 * DEMAND_MIN_US_A_VM / 1_000;
        let pause_ms = by_fleet_ms.clamp(DEMAND_MIN_MS, DEMAND_MOST_MIN_MS);
        self.next_demand_ms = self.next_demand_ms.min(self.last_demand_ms + pause_ms);
    }

    /// Returns when something is to be sent.
    pub fn next_ms(&self) -> u64 {
        self.next_demand_ms
            .min(self.next_beat_ms)
            .min(self.next_greeting_ms)
            .min(self.next_news_ms)
    }

    /// Returns whether a VM is known.
    pub(super) fn knows(&self, vm: &VmName) -> bool {
        self.known.contains_key(vm)
    }

    /// Forgets a VM that stops.
    pub(super) fn forget(&mut self, vm: &VmName) {
        self.known.remove(vm);
    }

    /// Receives a datagram and returns its length and sender.
    pub(super) fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.socket.recv_from(bytes)
    }

    /// Returns how many VMs there are with this one, as far as the store and greetings have told;
    /// none before the store has. VMs that are gone without a word still count.
    pub fn vms(&self) -> Option<u32> {
        self.has_records.then(|| self.known.len() as u32 + 1)
    }

    /// Returns how many other VMs are known.
    pub fn others(&self) -> usize {
        self.known.len()
    }

    /// Returns this VM's place among those that could take over the orders from the VM that last
    /// gave them.
    pub fn takeover_rank(&self, now_ms: u64) -> u64 {
        if !self.has_records {
            return takeover_order::default_takeover_rank();
        }
        let own = TakeoverCandidate {
            vm: &self.own.vm,
            work_us: self.own.work_us,
            is_alive: true,
        };
        let holder = self.holder.as_ref().map(|(holder, ..)| holder);
        let others = self.known.iter().filter(|(vm, _)| Some(*vm) != holder);
        takeover_order::takeover_rank(
            &own,
            others.map(|(vm, known)| TakeoverCandidate {
                vm,
                work_us: known.work_us,
                is_alive: is_alive(known, now_ms),
            }),
        )
    }

    /// Returns the VMs that judge which requests crash upstreams, this one among them or not: the
    /// giver of orders, and some that all VMs choose alike from their names.
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

    /// Returns the VMs that may keep the accounts of organisations: the fast ones, chosen alike by all
    /// VMs from their names. A slow one can't answer hundreds of VMs in time.
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

    /// Says to other VMs that this one is there: at first to all, later to some in turn.
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

    /// Sends a message to one VM.
    pub(super) fn send(&self, address: SocketAddr, message: &PeerMessage) {
        if let Some(bytes) = encode(message) {
            let _ = self.socket.send_to(&bytes, address);
        }
    }

    /// Has the next beat sent soon: something has changed that others should know.
    pub fn beat_soon(&mut self) {
        self.next_beat_ms = self.next_beat_ms.min(self.last_beat_ms + BEAT_MIN_MS);
    }

    /// Has news told to all VMs, at once by a small fleet and gathered for some time by a large
    /// one.
    pub fn tell_news(&mut self, now_ms: u64, news: &[ResidenceUpdate]) {
        for told in news {
            self.news.retain(|other| !other.has_same_subject(told));
            self.news.push(told.clone());
        }
        let pause_ms = self.known.len() as u64 * NEWS_PAUSE_US_A_VM / 1_000;
        self.next_news_ms = self.next_news_ms.min(now_ms + pause_ms);
    }

    /// Sends the news that were gathered, in as many datagrams as they take.
    pub(super) fn send_news(&mut self) {
        self.next_news_ms = u64::MAX;
        for part in std::mem::take(&mut self.news).chunks(ROWS_A_DATAGRAM / 2) {
            self.send_all(&PeerMessage::News(part.to_vec()));
        }
    }

    /// Notes that a VM was heard of. Returns whether this is another run than was heard of before.
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
