//! Connections that this VM relays to upstreams for VMs without a path of their own.
//!
//! A relayed connection consists of one from the other VM and one to the upstream, which is always
//! opened directly, so that there is never more than one relay. The bytes are passed on unseen: the
//! other VM has judged the request and decides on retries. Reading from one side pauses while the
//! other side is behind, and the end of either side ends the other.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::IpAddr;

use apricotdale_core::names::UpstreamName;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_paths::RelayNotice;
use apricotdale_paths::append_relay_data;
use apricotdale_paths::parse_relay_request;
use mio::Registry;
use mio::Token;
use mio::net::TcpStream;

use crate::daemon::Daemon;
use crate::stream::ReadEnd;
use crate::stream::Stream;

/// Largest number of relayed connections. Each takes two descriptors, and as many bytes as
/// `MAX_UNSENT_BYTES` allows in each direction.
const MAX_RELAYED: usize = 500;

/// Bytes that wait for one side from which on the other side is not read.
const MAX_UNSENT_BYTES: usize = 32 * 1024;

/// Time limit for the request of a new connection to arrive, and for the upstream to be reached.
/// It is shorter than the time after which the other VM gives up.
const OPEN_TIMEOUT_MS: u64 = 300;

/// Time limit for the last bytes to be taken once the upstream has ended its side.
const CLOSE_TIMEOUT_MS: u64 = 5_000;

/// Time between two checks for connections that have timed out.
const SWEEP_INTERVAL_MS: u64 = 100;

/// Load of this VM in thousandths from which on it relays no further connections.
const MAX_LOAD_PERMILLE: u16 = 950;

/// Progress of a relayed connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The request that names the upstream has not arrived.
    Requesting,
    /// The connection to the upstream is being opened.
    Connecting,
    /// Bytes are passed on.
    Open,
    /// What remains is sent to the other VM, and then the connection ends: with a reset if the
    /// upstream's did.
    Closing,
}

#[derive(Debug)]
struct Relayed {
    /// Connection of the other VM.
    near: Stream,
    /// Connection to the upstream; none before it is opened and once it has ended.
    far: Option<(Token, UpstreamName, Stream)>,
    phase: Phase,
    /// Time limit of the phase, except of `Open`.
    until_ms: u64,
}

/// All connections that this VM relays.
#[derive(Debug, Default)]
pub(crate) struct RelayedConnections {
    /// By the token of the other VM's connection.
    by_near: HashMap<Token, Relayed>,
    /// Tokens of the upstreams' connections, with those of the other VMs'.
    near_by_far: HashMap<Token, Token>,
    /// Connections for which bytes may be unread without another readiness event.
    unfinished: HashSet<Token>,
    next_sweep_ms: u64,
}

impl RelayedConnections {
    pub fn len(&self) -> usize {
        self.by_near.len()
    }

    pub fn contains(&self, token: Token) -> bool {
        self.by_near.contains_key(&token) || self.near_by_far.contains_key(&token)
    }

    /// Returns when a connection may have timed out.
    pub fn next_ms(&self) -> u64 {
        match (self.unfinished.is_empty(), self.by_near.is_empty()) {
            (false, _) => 0,
            (true, false) => self.next_sweep_ms,
            (true, true) => u64::MAX,
        }
    }

    fn near_of(&self, token: Token) -> Token {
        self.near_by_far.get(&token).copied().unwrap_or(token)
    }

    /// Closes both sides, with `abort` by resets.
    fn remove(&mut self, near: Token, registry: &Registry, abort: bool) {
        let Some(relayed) = self.by_near.remove(&near) else {
            return;
        };
        self.unfinished.remove(&near);
        if let Some((far, _, stream)) = relayed.far {
            self.near_by_far.remove(&far);
            stream.close(registry, abort);
        }
        relayed.near.close(registry, abort);
    }
}

impl Daemon {
    /// Returns whether this VM relays further connections.
    pub(crate) fn has_room_to_relay(&self) -> bool {
        self.relayed.len() < MAX_RELAYED
            && !self.planned_stop.has_begun()
            && self.loop_load.permille() < MAX_LOAD_PERMILLE
    }

    /// Accepts connections of other VMs that want them relayed.
    pub(crate) fn accept_relays(&mut self) {
        loop {
            match self.relay_listener.accept() {
                Ok((socket, from)) => self.accept_relayed(socket, from.ip()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    log::warn!(reason = error.to_string(); "connection can't be accepted");
                    return;
                }
            }
        }
    }

    /// Accepts a connection of a VM that wants it relayed. Others than known VMs are not served.
    fn accept_relayed(&mut self, socket: TcpStream, from: IpAddr) {
        if !self.peers.knows_address(from) || self.relayed.len() >= MAX_RELAYED {
            self.metrics.relay("rejected");
            return;
        }
        let token = self.new_token();
        let Ok(near) = Stream::accepted(socket, self.poll.registry(), token) else {
            return;
        };
        let relayed = Relayed {
            near,
            far: None,
            phase: Phase::Requesting,
            until_ms: self.now_ms + OPEN_TIMEOUT_MS,
        };
        self.relayed.by_near.insert(token, relayed);
        self.advance_relayed(token);
    }

    /// Continues a relayed connection after an event on either side.
    pub(crate) fn advance_relayed(&mut self, token: Token) {
        let near = self.relayed.near_of(token);
        let phase = match self.relayed.by_near.get(&near) {
            Some(relayed) => relayed.phase,
            None => return,
        };
        match phase {
            Phase::Requesting => self.receive_relay_request(near),
            Phase::Connecting => self.check_relay_opened(near),
            Phase::Open => self.pass_on(near),
            Phase::Closing => self.finish_relayed(near),
        }
    }

    fn receive_relay_request(&mut self, near: Token) {
        let Some(relayed) = self.relayed.by_near.get_mut(&near) else {
            return;
        };
        let mut bytes = Vec::new();
        let end = relayed.near.read(&mut bytes, MAX_UNSENT_BYTES);
        // The request is short and sent at once, so that it arrives in one piece; nothing follows
        // before the upstream has been reached.
        let parsed = parse_relay_request(&bytes);
        match (parsed, end) {
            (Ok(Some((upstream, length))), ReadEnd::Drained) if length == bytes.len() => {
                self.open_relayed(near, &upstream);
            }
            (Ok(None), ReadEnd::Drained) if bytes.is_empty() => {}
            _ => {
                self.metrics.relay("malformed");
                self.relayed.remove(near, self.poll.registry(), true);
            }
        }
    }

    fn open_relayed(&mut self, near: Token, name: &UpstreamName) {
        let upstream = self.directory.upstream(name);
        let serving = upstream.filter(|it| it.phase == UpstreamPhase::Serving);
        let address = serving
            .filter(|_| self.has_room_to_relay() && !self.dispatcher.is_resting(self.now_ms, name))
            .map(|upstream| upstream.address);
        let far = self.new_token();
        let registry = self.poll.registry();
        let source = self.settings.address;
        let stream = address.map(|address| Stream::connect(source, address, registry, far));
        let Some(Ok(stream)) = stream else {
            self.refuse_relayed(near);
            return;
        };
        let until_ms = self.now_ms + OPEN_TIMEOUT_MS;
        if let Some(relayed) = self.relayed.by_near.get_mut(&near) {
            relayed.far = Some((far, name.clone(), stream));
            relayed.phase = Phase::Connecting;
            relayed.until_ms = until_ms;
            self.relayed.near_by_far.insert(far, near);
        }
    }

    /// Says that the upstream was not reached, and that nothing was passed on.
    fn refuse_relayed(&mut self, near: Token) {
        self.metrics.relay("not_reached");
        self.close_relayed(near, RelayNotice::NotReached);
    }

    /// Ends the upstream's side, and the other one once it has taken the last bytes.
    fn close_relayed(&mut self, near: Token, notice: RelayNotice) {
        let until_ms = self.now_ms + CLOSE_TIMEOUT_MS;
        let Some(relayed) = self.relayed.by_near.get_mut(&near) else {
            return;
        };
        if let Some((far, _, stream)) = relayed.far.take() {
            self.relayed.near_by_far.remove(&far);
            stream.close(self.poll.registry(), false);
        }
        relayed.near.queue(&notice.bytes());
        relayed.phase = Phase::Closing;
        relayed.until_ms = until_ms;
        self.finish_relayed(near);
    }

    fn check_relay_opened(&mut self, near: Token) {
        let Some(relayed) = self.relayed.by_near.get_mut(&near) else {
            return;
        };
        let mut early = Vec::new();
        let has_left = relayed.near.read(&mut early, MAX_UNSENT_BYTES) != ReadEnd::Drained;
        let state = relayed.far.as_ref().map(|(.., far)| far.connection_state());
        match state {
            _ if has_left || !early.is_empty() => {
                self.relayed.remove(near, self.poll.registry(), true);
            }
            Some(Ok(true)) => {
                relayed.phase = Phase::Open;
                relayed.near.queue(&RelayNotice::Opened.bytes());
                self.metrics.relay("opened");
                self.pass_on(near);
            }
            Some(Ok(false)) => {}
            Some(Err(_)) | None => self.refuse_relayed(near),
        }
    }

    /// Passes bytes on in both directions until one side has none or the other is behind.
    fn pass_on(&mut self, near: Token) {
        let now_ms = self.now_ms;
        self.relayed.unfinished.remove(&near);
        let Some(relayed) = self.relayed.by_near.get_mut(&near) else {
            return;
        };
        let Some((_, upstream, far)) = &mut relayed.far else {
            return;
        };
        let mut up = Vec::new();
        let mut down = Vec::new();
        let mut near_end = flushed(&mut relayed.near);
        let mut far_end = flushed(far);
        if near_end == ReadEnd::Drained && far.unwritten_bytes() < MAX_UNSENT_BYTES {
            near_end = relayed.near.read(&mut up, MAX_UNSENT_BYTES);
            if near_end == ReadEnd::Limit {
                self.relayed.unfinished.insert(near);
            }
            if near_end != ReadEnd::Broken {
                far.queue(&up);
                if !far.flush() {
                    far_end = ReadEnd::Broken;
                }
            }
        }
        if far_end == ReadEnd::Drained && relayed.near.unwritten_bytes() < MAX_UNSENT_BYTES {
            far_end = far.read(&mut down, MAX_UNSENT_BYTES);
            if far_end == ReadEnd::Limit {
                self.relayed.unfinished.insert(near);
            }
            // The upstream has not taken the whole request, so this is no orderly end of an answer.
            if far_end == ReadEnd::Closed && far.unwritten_bytes() > 0 {
                far_end = ReadEnd::Broken;
            }
        }
        if !down.is_empty() {
            let mut frames = Vec::with_capacity(down.len() + 8);
            append_relay_data(&mut frames, &down);
            relayed.near.queue(&frames);
            if !relayed.near.flush() {
                near_end = ReadEnd::Broken;
            }
            let upstream = upstream.clone();
            self.paths.record_received(now_ms, &upstream, None);
        }
        match (near_end, far_end) {
            (ReadEnd::Closed, _) => self.relayed.remove(near, self.poll.registry(), false),
            // The other VM has abandoned a request, which must not reach the upstream any more.
            (ReadEnd::Broken, _) => self.relayed.remove(near, self.poll.registry(), true),
            (_, ReadEnd::Closed) => self.close_relayed(near, RelayNotice::Closed),
            (_, ReadEnd::Broken) => self.close_relayed(near, RelayNotice::Broken),
            _ => {}
        }
    }

    fn finish_relayed(&mut self, near: Token) {
        let Some(relayed) = self.relayed.by_near.get_mut(&near) else {
            return;
        };
        let is_usable = relayed.near.flush();
        if !is_usable || relayed.near.unwritten_bytes() == 0 {
            self.relayed.remove(near, self.poll.registry(), false);
        }
    }

    /// Continues connections with unread bytes, and ends those that have timed out.
    pub(crate) fn advance_all_relayed(&mut self) {
        for near in std::mem::take(&mut self.relayed.unfinished) {
            self.advance_relayed(near);
        }
        let now_ms = self.now_ms;
        if now_ms < self.relayed.next_sweep_ms {
            return;
        }
        self.relayed.next_sweep_ms = now_ms + SWEEP_INTERVAL_MS;
        let connections = self.relayed.by_near.iter();
        let late = connections.filter(|(_, it)| it.phase != Phase::Open && it.until_ms <= now_ms);
        let late: Vec<(Token, Phase)> = late.map(|(near, it)| (*near, it.phase)).collect();
        for (near, phase) in late {
            match phase {
                Phase::Connecting => self.refuse_relayed(near),
                _ => self.relayed.remove(near, self.poll.registry(), true),
            }
        }
    }

    /// Tells the other VMs that their connections must not be used for another exchange, since this
    /// VM stops.
    pub(crate) fn announce_relay_stop(&mut self) {
        self.announce_last_exchanges(|_| true);
    }

    /// Tells the other VMs that their connections to an upstream must not be used for another
    /// exchange.
    pub(crate) fn announce_relay_end(&mut self, upstream: &UpstreamName) {
        self.announce_last_exchanges(|far| far == upstream);
    }

    fn announce_last_exchanges(&mut self, is_concerned: impl Fn(&UpstreamName) -> bool) {
        for relayed in self.relayed.by_near.values_mut() {
            let upstream = relayed.far.as_ref().map(|(_, upstream, _)| upstream);
            if relayed.phase == Phase::Open && upstream.is_some_and(&is_concerned) {
                relayed.near.queue(&RelayNotice::Leaving.bytes());
                relayed.near.flush();
            }
        }
    }
}

/// Writes what waits for a side, and returns how that ended.
fn flushed(stream: &mut Stream) -> ReadEnd {
    match stream.flush() {
        true => ReadEnd::Drained,
        false => ReadEnd::Broken,
    }
}
