//! Origins of streams: what this VM keeps, tells other VMs of the streams that it begins, and
//! answers to their queries.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_fleet::RecentVersions;
use apricotdale_origins::Evidence;
use apricotdale_origins::OriginAnswer;
use apricotdale_origins::OriginQuery;
use apricotdale_origins::OriginTable;
use apricotdale_origins::Recorded;
use apricotdale_origins::StreamId;
use apricotdale_origins::StreamOrigin;
use apricotdale_origins::TOLD_HOLDERS;
use apricotdale_origins::TableOptions;
use apricotdale_origins::VersionHistory;
use apricotdale_origins::holders;

use crate::daemon::Daemon;
use crate::messages::PeerMessage;

/// Origins in one datagram. One takes about 40 bytes.
const ORIGINS_PER_DATAGRAM: usize = 24;

/// How long origins are collected before they are told. A caller takes longer to notice that a
/// stream broke off and to connect again.
const TELL_INTERVAL_MS: u64 = 5;

/// Largest number of origins that a VM tells others when it stops.
const MAX_TOLD_AT_STOP: usize = 4_000;

/// Largest number of services in one query.
pub(crate) const MAX_QUERIED_SERVICES: usize = 8;

/// Time for which origins are kept, as a multiple of the longest time for which a route's requests
/// are kept waiting, and its lower bound. A caller may wait for longer than its route.
const LIFETIME_TIMEOUTS: u64 = 2;
const MIN_LIFETIME_MS: u64 = 10_000;

/// Time between two updates of the known versions from the whole list.
const UPDATE_INTERVAL_MS: u64 = 1_000;

/// Age of the upstream list from which on upstreams may have come and gone unseen.
const MAX_LIST_AGE_MS: u64 = 2_500;

/// Origins of streams that this VM keeps, and those that it has not told to others yet.
#[derive(Debug)]
pub(crate) struct StreamOrigins {
    table: OriginTable,
    versions: VersionHistory,
    untold: BTreeMap<VmName, Vec<StreamOrigin>>,
    next_tell_ms: u64,
    /// Requests that wait for the origin of a stream.
    waiting: HashMap<StreamId, Vec<u64>>,
    /// Version of the configuration that the lifetime comes from; none before the first.
    configuration: Option<u64>,
    next_update_ms: u64,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            table: OriginTable::new(TableOptions::default()),
            versions: VersionHistory::default(),
            untold: BTreeMap::new(),
            next_tell_ms: u64::MAX,
            waiting: HashMap::new(),
            configuration: None,
            next_update_ms: 0,
        }
    }
}

impl StreamOrigins {
    /// Returns when origins are due to be told.
    pub fn next_ms(&self) -> u64 {
        self.next_tell_ms
    }

    /// Records that upstreams may have come and gone unseen.
    pub fn record_gap(&mut self) {
        self.versions.record_gap();
    }

    /// Returns the versions that services ran lately.
    pub fn recent_versions(&self, now_ms: u64) -> RecentVersions {
        let rows = self.versions.iter();
        let rows = rows.map(|(service, version)| (service.clone(), version.cloned()));
        let mut rows: Vec<_> = rows.collect();
        rows.sort_unstable();
        rows.dedup();
        RecentVersions {
            is_complete: self.versions.is_complete(now_ms, self.table.lifetime_ms()),
            rows,
        }
    }

    /// Records that no VM has served before this one, so that no stream has begun.
    pub fn record_first_vm(&mut self, now_ms: u64) {
        self.versions.restore(now_ms, []);
        self.versions.record_changes_read(now_ms);
    }

    /// Records that all changes of the upstream list have been read.
    pub fn record_changes_read(&mut self, now_ms: u64) {
        self.versions.record_changes_read(now_ms);
    }

    /// Records that the upstream list was read without its changes.
    pub fn record_changes_skipped(&mut self) {
        self.versions.record_changes_skipped();
    }

    /// Takes over the versions that services ran before this VM started.
    pub fn restore_versions(&mut self, now_ms: u64, recent: &RecentVersions) {
        if recent.is_complete {
            let rows = recent.rows.iter();
            let rows = rows.map(|(service, version)| (service, version.as_ref()));
            self.versions.restore(now_ms, rows);
        }
    }

    /// Returns the requests that wait for the origin of a stream.
    pub fn waiting_for(&mut self, stream: StreamId) -> &mut Vec<u64> {
        self.waiting.entry(stream).or_default()
    }

    /// Removes and returns the requests that wait for the origin of a stream.
    pub fn take_waiting(&mut self, stream: StreamId) -> Option<Vec<u64>> {
        self.waiting.remove(&stream)
    }

    /// Returns what this VM knows of a stream that one of the services began.
    pub fn evidence(&self, now_ms: u64, stream: StreamId, services: &[GroupName]) -> Evidence {
        let lifetime_ms = self.table.lifetime_ms();
        match self.table.get(now_ms, stream) {
            Some(Recorded::Origin(origin)) => Evidence::Origin(origin.clone()),
            Some(Recorded::Conflict) => Evidence::Conflict,
            None => Evidence::of_versions(services.iter().map(|service| {
                let versions = self.versions.versions(now_ms, service, lifetime_ms);
                (service.clone(), versions)
            })),
        }
    }
}

impl Daemon {
    /// Tells other VMs the origin of a stream whose first event the caller has now.
    pub(crate) fn record_stream_origin(&mut self, key: u64) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let id = request.stream.as_ref().and_then(|stream| stream.told_as);
        let (Some(stream), Some(origin)) = (id, request.delivery.origin()) else {
            return;
        };
        let mut origin = origin.clone();
        if origin.version.is_none() && origin.upstream.is_none() {
            return;
        }
        if origin.version.is_some() {
            // The version suffices, and the datagram is shorter without the name.
            origin.upstream = None;
        }
        let stated = StreamOrigin { stream, origin };
        self.schedule_telling(&stated);
        self.stream_origins.table.record(self.now_ms, stated);
    }

    /// Sends the origins that are due.
    pub(crate) fn advance_stream_origins(&mut self) {
        if self.now_ms < self.stream_origins.next_tell_ms {
            return;
        }
        self.tell_origins();
    }

    /// Tells the other VMs all origins that they have not been told.
    pub(crate) fn tell_origins(&mut self) {
        self.stream_origins.next_tell_ms = u64::MAX;
        for (vm, origins) in std::mem::take(&mut self.stream_origins.untold) {
            let Some(address) = self.peers.address_of(&vm) else {
                continue;
            };
            for part in origins.chunks(ORIGINS_PER_DATAGRAM) {
                let message = PeerMessage::StreamOrigins(part.to_vec());
                self.peers.send(address, &message);
            }
        }
    }

    /// Tells the VMs that remain when this one stops the origins that it keeps.
    pub(crate) fn hand_over_origins(&mut self) {
        for stated in self.stream_origins.table.newest(MAX_TOLD_AT_STOP) {
            self.schedule_telling(&stated);
        }
        self.tell_origins();
    }

    fn schedule_telling(&mut self, stated: &StreamOrigin) {
        let now_ms = self.now_ms;
        for vm in holders(stated.stream, self.peers.names(), TOLD_HOLDERS) {
            let untold = self.stream_origins.untold.entry(vm).or_default();
            untold.push(stated.clone());
            self.stream_origins.next_tell_ms = match untold.len() < ORIGINS_PER_DATAGRAM {
                true => (now_ms + TELL_INTERVAL_MS).min(self.stream_origins.next_tell_ms),
                false => now_ms,
            };
        }
    }

    /// Records the origins that another VM tells.
    pub(crate) fn record_told_origins(&mut self, from: SocketAddr, origins: Vec<StreamOrigin>) {
        if !self.peers.knows_address(from.ip()) {
            return;
        }
        for stated in origins {
            self.stream_origins.table.record(self.now_ms, stated);
        }
    }

    /// Answers another VM's query for the origin of a stream.
    pub(crate) fn answer_origin_query(&mut self, from: SocketAddr, query: &OriginQuery) {
        self.record_listed_versions();
        let services = &query.services[..query.services.len().min(MAX_QUERIED_SERVICES)];
        let evidence = self
            .stream_origins
            .evidence(self.now_ms, query.stream, services);
        let answer = OriginAnswer {
            from: self.peers.own_record().vm.clone(),
            stream: query.stream,
            evidence,
        };
        self.peers.send(from, &PeerMessage::OriginAnswer(answer));
    }

    /// Records the software version of an upstream that has just been listed.
    pub(crate) fn record_listed_version(&mut self, name: &UpstreamName) {
        if let Some(upstream) = self.directory.upstream(name) {
            let origin = upstream.origin();
            self.stream_origins.versions.record(self.now_ms, &origin);
        }
    }

    /// Records the software versions of the listed upstreams, also of leaving ones, which still
    /// write.
    pub(crate) fn record_listed_versions(&mut self) {
        let versions = &mut self.stream_origins.versions;
        for upstream in self.directory.upstreams() {
            versions.record(self.now_ms, &upstream.origin());
        }
    }

    /// Updates the versions of services that are known, and drops what has expired.
    pub(crate) fn update_stream_origins(&mut self) {
        let now_ms = self.now_ms;
        if now_ms < self.stream_origins.next_update_ms {
            return;
        }
        self.stream_origins.next_update_ms = now_ms + UPDATE_INTERVAL_MS;
        self.record_listed_versions();
        let version = Some(self.directory.version());
        let origins = &mut self.stream_origins;
        if origins.configuration != version {
            origins.configuration = version;
            let routes = self.directory.configuration().routes.iter();
            let streams = routes.filter(|route| route.kind.is_stream());
            let longest_ms = streams.map(|route| route.timeout_ms).max().unwrap_or(0);
            let lifetime_ms = (longest_ms * LIFETIME_TIMEOUTS).max(MIN_LIFETIME_MS);
            // Streams that began under the configuration before may last as long as it allowed.
            let lifetime_ms = lifetime_ms.max(origins.table.lifetime_ms());
            origins.table.set_lifetime_ms(lifetime_ms);
        }
        let is_read = self
            .store_pollers
            .list_age_ms(now_ms)
            .is_some_and(|age_ms| age_ms < MAX_LIST_AGE_MS);
        let is_followed = is_read || self.sharing.is_following(now_ms);
        match is_followed {
            _ if !self.directory.is_listed() => {}
            true if is_read => origins.versions.record_followed(now_ms),
            true => {
                origins.versions.record_followed(now_ms);
                origins.versions.record_changes_read(now_ms);
            }
            false => origins.versions.record_not_followed(),
        }
        let lifetime_ms = origins.table.lifetime_ms();
        origins.versions.drop_older(now_ms, lifetime_ms);
        let active = &self.active;
        origins.waiting.retain(|_, keys| {
            keys.retain(|key| active.get(*key).is_some());
            !keys.is_empty()
        });
        self.metrics.stream_origins.set(origins.table.len() as i64);
        self.metrics
            .dropped_origins
            .set(origins.table.dropped() as i64);
    }
}
