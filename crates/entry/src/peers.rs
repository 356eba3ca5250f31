//! The other VMs, as far as this one knows them, and the socket towards them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;

use apricotdale_core::names::VmName;
use apricotdale_holder::ResidenceNews;
use mio::net::UdpSocket;

use crate::messages::PeerMessage;
use crate::messages::VmRecord;
use crate::messages::encode;

/// Rows of demand in one datagram: a row takes some 30 bytes.
pub(crate) const ROWS_A_DATAGRAM: usize = 30;

/// The shortest time between two tellings, however many requests begin to wait.
const DEMAND_MIN_MS: u64 = 15;

/// How long a VM that was not heard of counts as there.
const PEER_GOOD_MS: u64 = 3_000;

/// Time between two greetings by a VM that does not hear the giver of orders.
pub(crate) const GREETING_MS: u64 = 1_000;

/// VMs that are greeted at a time after the first greeting, in turn. When no giver is there all VMs
/// greet: if each greeted all others, hundreds would exchange tens of thousands of datagrams a second.
const GREETED_AT_ONCE: usize = 16;

#[derive(Clone, Copy, Debug)]
struct Known {
    address: SocketAddr,
    run: u64,
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
    pub(super) next_greeting_ms: u64,
    /// Whether all VMs were greeted, and how many were since then.
    has_greeted: bool,
    greeted: usize,
}

impl Peers {
    pub fn new(vm: VmName, address: SocketAddr, run: u64, socket: UdpSocket) -> Self {
        Self {
            own: VmRecord { vm, address, run },
            socket,
            known: HashMap::new(),
            has_records: false,
            holder: None,
            next_demand_ms: 0,
            last_demand_ms: 0,
            next_beat_ms: 0,
            next_greeting_ms: u64::MAX,
            has_greeted: false,
            greeted: 0,
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

    /// Notes that a VM was heard of.
    pub(super) fn note_heard(&mut self, now_ms: u64, record: &VmRecord) {
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
