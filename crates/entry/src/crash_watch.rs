//! Upstreams that crash, the requests under which they do, and what the VMs tell each other of it.
//!
//! A connection that breaks shows little: the upstream may be there. So the upstream is asked
//! before the requests lost with it are held against anybody. What was in progress is told to a few
//! VMs, which judge; a verdict is told to all, and kept in the store by the giver of orders for VMs
//! that start. Nothing here holds up a request that is not blocked.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_fleet::ServingRequest;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_http1::RequestHead;
use apricotdale_quarantine::BlockRow;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::Options;
use apricotdale_quarantine::Quarantine;
use apricotdale_quarantine::Scope;
use apricotdale_quarantine::Suspect;
use serde::Deserialize;
use serde::Serialize;

use crate::active::Phase;
use crate::calling::CallOutcome;
use crate::calling::CallTag;
use crate::codec::StoreOutcome;
use crate::codec::Topic;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::outbound::Peer;
use crate::settings::Settings;

/// How long the answer of an upstream is awaited that broke a connection. Nobody listens where a
/// process has ended, which shows within a round trip.
const RECHECK_MS: u64 = 300;

/// The pause before an upstream is asked again that neither answered nor refused the connection: a
/// process that ends resets those it had yet to accept. It doubles each time.
const RECHECK_PAUSE_MS: u64 = 30;

/// How often an engine is asked that broke a connection.
const ENGINE_RECHECKS: u32 = 5;

/// How often a connection is opened to a plain service's instance that broke one. It is asked
/// nothing, since it could take the question for a request.
const SERVICE_RECHECKS: u32 = 2;

/// How long a broken connection waits for a sign that its upstream has ended.
const UNCONFIRMED_MS: u64 = 10_000;

/// When a report is told again after it was told first, since a datagram may be lost.
const TELL_AGAIN_MS: [u64; 3] = [5, 300, 1_000];

/// How long this VM's own reports are kept for judges that start again.
const OWN_REPORTS_MS: u64 = 600_000;

/// Own reports that are kept.
const OWN_REPORTS: usize = 64;

/// Reports in one datagram, and suspects in one report.
const REPORTS_A_DATAGRAM: usize = 4;
const SUSPECTS_A_REPORT: usize = 10;

/// Blocks in one datagram.
const BLOCKS_A_DATAGRAM: usize = 10;

/// When a block is told again by the VM that found it.
const BLOCK_AGAIN_MS: [u64; 2] = [300, 1_500];

/// The time between two tellings of the blocks in force by the giver of orders.
const BLOCKS_EVERY_MS: u64 = 5_000;

/// The pause before the store is called again that did not answer.
const STORE_PAUSE_MS: u64 = 1_000;

/// How long a call to the store may take.
const STORE_TIMEOUT_MS: u64 = 1_000;

/// The time between two looks for what is too old.
const FORGET_EVERY_MS: u64 = 1_000;

/// Records in one write to the store.
const RECORDS_A_WRITE: usize = 200;

/// Ended blocks whose records are still to be dropped.
const MAX_ENDED: usize = 1_000;

/// Lost requests that are remembered of one upstream until it is known whether it has ended.
const MAX_BROKEN: usize = 256;

/// Requests of which this VM remembers that they were answered.
const ANSWERED: usize = 2_048;

/// Fingerprints in one line of the log.
const LOGGED_SUSPECTS: usize = 8;

/// Requests that were answered lately, which speaks for them when an upstream crashes under them.
#[derive(Debug, Default)]
struct AnsweredLately {
    at_ms: HashMap<Fingerprint, u64>,
    order: VecDeque<Fingerprint>,
}

impl AnsweredLately {
    fn note(&mut self, now_ms: u64, fingerprint: Fingerprint) {
        if self.at_ms.insert(fingerprint, now_ms).is_some() {
            return;
        }
        self.order.push_back(fingerprint);
        if self.order.len() > ANSWERED {
            let oldest = self.order.pop_front();
            oldest.and_then(|oldest| self.at_ms.remove(&oldest));
        }
    }

    fn ago_ms(&self, now_ms: u64, fingerprint: &Fingerprint) -> Option<u64> {
        let at_ms = self.at_ms.get(fingerprint)?;
        Some(now_ms.saturating_sub(*at_ms))
    }
}

/// Requests of this VM that were lost with a connection to an upstream that may have crashed.
#[derive(Debug)]
struct Broken {
    since_ms: u64,
    suspects: Vec<Suspect>,
    is_engine: bool,
    /// How often the upstream was asked, and when it is asked next.
    asked: u32,
    recheck_ms: u64,
}

impl Broken {
    fn next_recheck_ms(&self, now_ms: u64) -> u64 {
        let most = match self.is_engine {
            true => ENGINE_RECHECKS,
            false => SERVICE_RECHECKS,
        };
        match self.asked < most {
            true => now_ms + (RECHECK_PAUSE_MS << self.asked.saturating_sub(1)),
            false => u64::MAX,
        }
    }
}

/// What this VM had in progress at an upstream that crashed.
#[derive(Debug)]
struct OwnReport {
    upstream: UpstreamName,
    at_ms: u64,
    suspects: Vec<Suspect>,
    /// How often it was told.
    told: usize,
    tell_ms: u64,
}

impl OwnReport {
    /// Returns the reports that fit into datagrams.
    fn parts(&self, now_ms: u64) -> impl Iterator<Item = CrashReport> {
        self.suspects
            .chunks(SUSPECTS_A_REPORT)
            .map(move |suspects| CrashReport {
                upstream: self.upstream.clone(),
                ago_ms: now_ms.saturating_sub(self.at_ms),
                suspects: suspects.to_vec(),
            })
    }
}

/// Blocks that this VM found and tells again.
#[derive(Debug)]
struct Telling {
    at_ms: u64,
    rows: Vec<BlockRow>,
}

/// `StoredBlock` is a block as the store keeps it.
#[derive(Debug, Serialize, Deserialize)]
struct StoredBlock {
    row: BlockRow,
    /// When it ends, in Unix milliseconds.
    until_unix_ms: u64,
}

/// `CrashWatch` is what this VM knows of crashed upstreams and of the requests under them.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    quarantine: Quarantine,
    answered: AnsweredLately,
    broken: HashMap<UpstreamName, Broken>,
    own: VecDeque<OwnReport>,
    telling: Vec<Telling>,
    /// Whether this VM gave orders when it looked last.
    was_giver: bool,
    /// Blocks that the giver of orders has yet to write to the store.
    unwritten: Vec<BlockRow>,
    /// Blocks that have ended, whose records it has yet to drop.
    ended: Vec<Fingerprint>,
    /// What is being written.
    writing: (Vec<BlockRow>, Vec<Fingerprint>),
    /// Whether the store's blocks were read, and after which key the next page begins.
    is_read: bool,
    after: Option<String>,
    is_calling: bool,
    next_store_ms: u64,
    next_rows_ms: u64,
    /// Where the next telling of the blocks in force goes on.
    next_row: usize,
    next_forget_ms: u64,
}

impl CrashWatch {
    pub fn new(settings: &Settings) -> Self {
        let mut watch = Self {
            quarantine: Quarantine::new(Options::default()),
            answered: AnsweredLately::default(),
            broken: HashMap::new(),
            own: VecDeque::new(),
            telling: Vec::new(),
            was_giver: false,
            unwritten: Vec::new(),
            ended: Vec::new(),
            writing: (Vec::new(), Vec::new()),
            is_read: false,
            after: None,
            is_calling: false,
            next_store_ms: 0,
            next_rows_ms: 0,
            next_row: 0,
            next_forget_ms: 0,
        };
        watch.exempt(&settings.exempt);
        watch
    }

    /// Takes in which requests the operators let pass.
    pub fn exempt(&mut self, fingerprints: &[Fingerprint]) {
        self.quarantine
            .exempt(fingerprints.iter().copied().collect());
    }

    /// Returns when something is to be done.
    pub fn next_ms(&self) -> u64 {
        let reports = self.own.iter().map(|report| report.tell_ms);
        let tellings = self.telling.iter().map(|telling| telling.at_ms);
        let first = reports.chain(tellings).min().unwrap_or(u64::MAX);
        let rechecks = self.broken.values().map(|broken| broken.recheck_ms);
        first
            .min(self.quarantine.next_ms())
            .min(rechecks.min().unwrap_or(u64::MAX))
    }
}

impl Daemon {
    /// Returns the refusal of a request under which upstreams crash, or none if it may be sent.
    pub(crate) fn blocked(&self, fingerprint: &Fingerprint) -> Option<Refusal> {
        let quarantine = &self.crash_watch.quarantine;
        let left_ms = quarantine.blocked_ms(self.now_ms, fingerprint)?;
        let detail = blocked_detail(fingerprint);
        let refusal = Refusal::not_run(RefusalReason::CrashesUpstreams, detail);
        Some(refusal.retry_after(left_ms))
    }

    /// Notes a request that was answered.
    pub(crate) fn note_answered(&mut self, fingerprint: Fingerprint) {
        self.crash_watch.answered.note(self.now_ms, fingerprint);
    }

    /// Notes a request that was lost because an upstream broke its connection.
    pub(crate) fn note_broken_send(&mut self, upstream: &UpstreamName, key: u64) {
        // One that leaves, was removed or fell silent before does not end under its requests.
        let is_serving = self
            .directory
            .upstream(upstream)
            .is_some_and(|it| it.phase == UpstreamPhase::Serving && it.leaves_in_ms.is_none());
        let reported = self.crash_watch.own.iter_mut();
        let mut reported = reported.filter(|report| report.upstream == *upstream);
        let Some(request) = self.active.get(key) else {
            return;
        };
        let fingerprint = request.fingerprint;
        let suspect = Suspect {
            fingerprint,
            caller: request.caller_hash,
            served_ago_ms: self.crash_watch.answered.ago_ms(self.now_ms, &fingerprint),
        };
        if let Some(report) = reported.next() {
            if !report.suspects.contains(&suspect) {
                report.suspects.push(suspect);
                report.told = 0;
                report.tell_ms = self.now_ms + TELL_AGAIN_MS[0];
            }
            return;
        }
        if !is_serving || self.watch.is_dark(upstream) {
            return;
        }
        let is_engine = request.job.wanted.is_some();
        let now_ms = self.now_ms;
        let broken = self.crash_watch.broken.entry(upstream.clone());
        let broken = broken.or_insert_with(|| Broken {
            since_ms: now_ms,
            suspects: Vec::new(),
            is_engine,
            asked: 0,
            recheck_ms: now_ms,
        });
        if broken.suspects.len() < MAX_BROKEN {
            broken.suspects.push(suspect);
        }
    }

    /// Asks the upstreams that broke connections whether they are still there.
    fn recheck_broken(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        for (upstream, broken) in &mut self.crash_watch.broken {
            if broken.recheck_ms <= now_ms {
                broken.recheck_ms = u64::MAX;
                broken.asked += 1;
                due.push((upstream.clone(), broken.is_engine));
            }
        }
        for (upstream, is_engine) in due {
            self.recheck(&upstream, is_engine);
        }
    }

    fn recheck(&mut self, upstream: &UpstreamName, is_engine: bool) {
        let Some(known) = self.directory.upstream(upstream) else {
            return;
        };
        let address = known.address;
        let bytes = match is_engine {
            true => self.codecs.engines.report(&known.instance),
            false => Vec::new(),
        };
        let peer = Peer::Upstream(upstream.clone());
        let tag = CallTag::Recheck(upstream.clone());
        self.call_anew(peer, address, tag, &bytes, RECHECK_MS);
    }

    /// Takes in what an upstream said that broke a connection. One that answers has not ended; if
    /// another answers in its place, it has.
    pub(crate) fn recheck_ended(&mut self, upstream: &UpstreamName, outcome: &CallOutcome) {
        let CallOutcome::Answered { status, body } = outcome else {
            if let Some(broken) = self.crash_watch.broken.get_mut(upstream) {
                broken.recheck_ms = broken.next_recheck_ms(self.now_ms);
            }
            return;
        };
        let born_ms = self.directory.upstream(upstream).map(|it| it.born_ms);
        let report = self.codecs.engines.report_answer(*status, body);
        match report {
            Ok(report) if born_ms.is_some_and(|born_ms| report.born_ms <= born_ms) => {
                self.crash_watch.broken.remove(upstream);
            }
            Ok(_) => self.note_ended(upstream),
            Err(_) if *status == 421 => self.note_ended(upstream),
            Err(_) => {}
        }
    }

    /// Takes in that an upstream has ended or can't be reached. Without a connection that broke
    /// shortly before, it was not a crash.
    pub(crate) fn note_ended(&mut self, upstream: &UpstreamName) {
        let Some(broken) = self.crash_watch.broken.remove(upstream) else {
            return;
        };
        let texts = broken.suspects.iter().take(LOGGED_SUSPECTS);
        let texts: Vec<String> = texts.map(|it| it.fingerprint.to_string()).collect();
        self.metrics.crashed_upstream();
        log::warn!(
            upstream = upstream.to_string(),
            requests = broken.suspects.len(),
            fingerprints = texts.join(" ");
            "upstream crashed"
        );
        self.crash_watch.own.push_back(OwnReport {
            upstream: upstream.clone(),
            at_ms: broken.since_ms,
            suspects: broken.suspects,
            told: 0,
            tell_ms: self.now_ms + TELL_AGAIN_MS[0],
        });
        if self.crash_watch.own.len() > OWN_REPORTS {
            self.crash_watch.own.pop_front();
        }
    }

    /// Does what is due about crashed upstreams and blocked requests.
    pub(crate) fn advance_crash_watch(&mut self) {
        let now_ms = self.now_ms;
        self.recheck_broken();
        self.tell_reports();
        if now_ms >= self.crash_watch.quarantine.next_ms() {
            self.judge();
        }
        let (due, later) = std::mem::take(&mut self.crash_watch.telling)
            .into_iter()
            .partition(|telling| telling.at_ms <= now_ms);
        self.crash_watch.telling = later;
        for telling in due {
            self.tell_blocks(&telling.rows);
        }
        if now_ms >= self.crash_watch.next_forget_ms {
            self.crash_watch.next_forget_ms = now_ms + FORGET_EVERY_MS;
            self.forget_crashes();
        }
        self.tell_blocks_in_force();
        self.call_store_for_blocks();
    }

    fn tell_reports(&mut self) {
        let now_ms = self.now_ms;
        if self.crash_watch.own.iter().all(|it| it.tell_ms > now_ms) {
            return;
        }
        let mut parts = Vec::new();
        for report in &mut self.crash_watch.own {
            if report.tell_ms <= now_ms {
                parts.extend(report.parts(now_ms));
                report.told += 1;
                let again_ms = TELL_AGAIN_MS.get(report.told);
                report.tell_ms = again_ms.map_or(u64::MAX, |again_ms| now_ms + again_ms);
            }
        }
        for part in &parts {
            self.crash_watch.quarantine.note_crash(now_ms, part);
        }
        let own = self.peers.own_record().vm.clone();
        let judges = self.peers.judges();
        for (_, address) in judges.into_iter().filter(|(vm, _)| *vm != own) {
            self.send_reports(address, &parts);
        }
    }

    fn send_reports(&self, address: SocketAddr, parts: &[CrashReport]) {
        for part in parts.chunks(REPORTS_A_DATAGRAM) {
            self.peers
                .send(address, &PeerMessage::Crashes(part.to_vec()));
        }
    }

    fn judge(&mut self) {
        let own = &self.peers.own_record().vm;
        let is_judge = self.peers.judges().iter().any(|(vm, _)| vm == own);
        let scope = match is_judge {
            true => Scope::Fleet,
            false => Scope::OwnRequests,
        };
        let begun = self.crash_watch.quarantine.judge(self.now_ms, scope);
        if begun.is_empty() {
            return;
        }
        for row in &begun {
            self.metrics.begun_block();
            self.block_began(row, "found");
        }
        self.tell_blocks(&begun);
        for after_ms in BLOCK_AGAIN_MS {
            self.crash_watch.telling.push(Telling {
                at_ms: self.now_ms + after_ms,
                rows: begun.clone(),
            });
        }
    }

    /// Ends what is in progress of a request that is blocked from now on.
    fn block_began(&mut self, row: &BlockRow, how: &str) {
        let upstreams: Vec<&str> = row.upstreams.iter().map(UpstreamName::as_str).collect();
        log::warn!(
            fingerprint = row.fingerprint.to_string(),
            upstreams = upstreams.join(" "),
            times = row.times,
            left_ms = row.left_ms,
            how;
            "request blocked"
        );
        if self.crash_watch.was_giver {
            self.crash_watch.unwritten.push(row.clone());
        }
        let keys: Vec<u64> = self
            .active
            .iter()
            .filter(|(_, request)| request.fingerprint == row.fingerprint)
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.refuse_blocked(key, row);
        }
    }

    fn refuse_blocked(&mut self, key: u64, row: &BlockRow) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let is_sent = matches!(request.phase, Phase::Sent { .. });
        let detail = blocked_detail(&row.fingerprint);
        let reason = RefusalReason::CrashesUpstreams;
        let refusal = match is_sent || request.job.runs > 0 {
            true => Refusal::unknown(reason, detail),
            false => Refusal::not_run(reason, detail).retry_after(row.left_ms),
        };
        self.cancel_try(key);
        self.refuse(key, &refusal);
    }

    fn forget_crashes(&mut self) {
        let now_ms = self.now_ms;
        let ended = self.crash_watch.quarantine.forget(now_ms);
        self.crash_watch.ended.extend(ended);
        self.crash_watch.ended.truncate(MAX_ENDED);
        self.crash_watch
            .broken
            .retain(|_, broken| now_ms < broken.since_ms + UNCONFIRMED_MS);
        self.crash_watch
            .own
            .retain(|report| now_ms < report.at_ms + OWN_REPORTS_MS);
    }

    /// Takes in what another VM had in progress at upstreams that crashed.
    pub(crate) fn take_crash_reports(&mut self, reports: &[CrashReport]) {
        for report in reports {
            self.crash_watch.quarantine.note_crash(self.now_ms, report);
        }
    }

    /// Takes in blocks that another VM tells of.
    pub(crate) fn take_blocks(&mut self, rows: &[BlockRow]) {
        for row in rows {
            if self.crash_watch.quarantine.note_block(self.now_ms, row) {
                self.block_began(row, "told");
            }
        }
    }

    fn tell_blocks(&self, rows: &[BlockRow]) {
        for part in rows.chunks(BLOCKS_A_DATAGRAM) {
            self.peers.send_all(&PeerMessage::Blocks(part.to_vec()));
        }
    }

    /// Tells some of the blocks in force to all VMs, as the giver of orders: some may have missed
    /// them.
    fn tell_blocks_in_force(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.crash_watch.next_rows_ms || self.ordering.held_lease_end(now_ms).is_none()
        {
            return;
        }
        self.crash_watch.next_rows_ms = now_ms + BLOCKS_EVERY_MS;
        let rows = self.crash_watch.quarantine.rows(now_ms);
        if rows.is_empty() {
            return;
        }
        let first = self.crash_watch.next_row % rows.len();
        self.crash_watch.next_row = first + BLOCKS_A_DATAGRAM;
        let last = rows.len().min(first + BLOCKS_A_DATAGRAM);
        self.tell_blocks(&rows[first..last]);
    }

    /// Tells a VM the blocks in force.
    pub(crate) fn tell_blocks_to(&self, address: SocketAddr) {
        let rows = self.crash_watch.quarantine.rows(self.now_ms);
        for part in rows.chunks(BLOCKS_A_DATAGRAM) {
            self.peers
                .send(address, &PeerMessage::Blocks(part.to_vec()));
        }
    }

    /// Tells a VM that greets what it may not know: the blocks, from the giver of orders, and to a
    /// judge what this VM had in progress at upstreams that crashed.
    pub(crate) fn tell_quarantine_to(&mut self, address: SocketAddr, vm: &VmName) {
        if self.ordering.held_lease_end(self.now_ms).is_some() {
            self.tell_blocks_to(address);
        }
        if self.crash_watch.own.is_empty() {
            return;
        }
        if self.peers.judges().iter().any(|(judge, _)| judge == vm) {
            let own = self.crash_watch.own.iter();
            let parts: Vec<CrashReport> = own.flat_map(|it| it.parts(self.now_ms)).collect();
            self.send_reports(address, &parts);
        }
    }

    /// Asks the giver of orders for the blocks in force: this VM may have missed some.
    pub(crate) fn ask_for_blocks(&mut self) {
        if let Some((_, address, _)) = self.peers.holder {
            self.peers.send(address, &PeerMessage::BlocksWanted);
        }
    }

    /// Reads the blocks from the store once, and writes them as the giver of orders.
    fn call_store_for_blocks(&mut self) {
        let now_ms = self.now_ms;
        let is_giver = self.ordering.held_lease_end(now_ms).is_some();
        let watch = &mut self.crash_watch;
        // A new giver writes all that it knows: the one before may not have.
        match (is_giver, std::mem::replace(&mut watch.was_giver, is_giver)) {
            (true, false) => watch.unwritten = watch.quarantine.rows(now_ms),
            (false, _) => watch.unwritten.clear(),
            (true, true) => {}
        }
        let is_due = !watch.is_calling && now_ms >= watch.next_store_ms;
        let has_records = !watch.unwritten.is_empty() || !watch.ended.is_empty();
        match watch.is_read {
            // The lists come first: without them nothing is served.
            false if is_due && self.directory.is_complete() => self.read_blocks(),
            true if is_due && is_giver && has_records => self.write_blocks(),
            _ => {}
        }
    }

    fn read_blocks(&mut self) {
        self.crash_watch.is_calling = true;
        let after = self.crash_watch.after.as_deref();
        let bytes = self.codecs.store.newest(Topic::Blocks, after);
        self.call_store(CallTag::BlocksNewest, &bytes, STORE_TIMEOUT_MS);
    }

    fn write_blocks(&mut self) {
        let watch = &mut self.crash_watch;
        let rows = watch.unwritten.len().min(RECORDS_A_WRITE);
        let rows: Vec<BlockRow> = watch.unwritten.drain(..rows).collect();
        let ended = watch.ended.len().min(RECORDS_A_WRITE);
        let ended: Vec<Fingerprint> = watch.ended.drain(..ended).collect();
        let dropped = ended.iter().map(|it| (it.to_string(), Vec::new()));
        // What was blocked again comes last and stays.
        let records: Vec<_> = dropped.chain(rows.iter().map(stored)).collect();
        watch.writing = (rows, ended);
        watch.is_calling = true;
        let bytes = self.codecs.store.append_keyed(Topic::Blocks, &records);
        self.call_store(CallTag::BlocksAppend, &bytes, STORE_TIMEOUT_MS);
    }

    /// Takes in a page of the blocks that the store keeps.
    pub(crate) fn blocks_read(&mut self, outcome: CallOutcome) {
        self.crash_watch.is_calling = false;
        let page = match outcome {
            CallOutcome::Answered { status, body } => {
                self.metrics.store_read("blocks_newest", body.len());
                self.codecs.store.newest_answer(status, &body).ok()
            }
            _ => None,
        };
        let Some(page) = page else {
            self.crash_watch.next_store_ms = self.now_ms + STORE_PAUSE_MS;
            return;
        };
        for record in &page.records {
            match record.value.as_deref().and_then(restored) {
                Some(row) if self.crash_watch.quarantine.note_block(self.now_ms, &row) => {
                    self.block_began(&row, "read");
                }
                Some(_) => {}
                None => self
                    .crash_watch
                    .ended
                    .extend(record.key.parse::<Fingerprint>()),
            }
        }
        self.crash_watch.after = page.records.last().map(|record| record.key.clone());
        self.crash_watch.is_read = !page.more;
    }

    /// Takes in whether blocks were written.
    pub(crate) fn blocks_written(&mut self, outcome: CallOutcome) {
        self.crash_watch.is_calling = false;
        let (rows, ended) = std::mem::take(&mut self.crash_watch.writing);
        let done = match outcome {
            CallOutcome::Answered { status, body } => matches!(
                self.codecs.store.append_answer(status, &body),
                Ok(StoreOutcome::Done { .. })
            ),
            _ => false,
        };
        if !done {
            self.crash_watch.unwritten.extend(rows);
            self.crash_watch.ended.extend(ended);
            self.crash_watch.next_store_ms = self.now_ms + STORE_PAUSE_MS;
        }
    }

    pub(crate) fn note_quarantine_size(&mut self) {
        let quarantine = &self.crash_watch.quarantine;
        let blocked = quarantine.rows(self.now_ms).len();
        self.metrics.blocked.set(blocked as i64);
        self.metrics.suspects.set(quarantine.suspects() as i64);
    }
}

/// Returns what stands for a caller, who is known by the address only.
pub(crate) fn caller_hash(caller: IpAddr) -> CallerHash {
    match caller {
        IpAddr::V4(address) => CallerHash::of(&address.octets()),
        IpAddr::V6(address) => CallerHash::of(&address.octets()),
    }
}

/// Returns what tells whether two requests are the same one.
pub(crate) fn fingerprint(
    serving: &ServingRequest,
    head: &RequestHead,
    body: &[u8],
) -> Fingerprint {
    let target = [serving.host.as_str(), serving.target.as_str()];
    Fingerprint::of(None, &head.method, &target, body)
}

fn blocked_detail(fingerprint: &Fingerprint) -> String {
    format!("upstreams crashed under request {fingerprint}")
}

fn stored(row: &BlockRow) -> (String, Vec<u8>) {
    let block = StoredBlock {
        row: row.clone(),
        until_unix_ms: unix_ms() + row.left_ms,
    };
    let value = postcard::to_stdvec(&block).expect("a block of our own can be encoded");
    (row.fingerprint.to_string(), value)
}

/// Returns a block as it is now, or none if it has ended or can't be read.
fn restored(value: &[u8]) -> Option<BlockRow> {
    let block: StoredBlock = postcard::from_bytes(value).ok()?;
    let left_ms = block.until_unix_ms.saturating_sub(unix_ms());
    (left_ms > 0).then_some(BlockRow {
        // A clock that was set back must not make a block longer than it was.
        left_ms: left_ms.min(block.row.left_ms),
        ..block.row
    })
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
