//! Origins of streams: what this VM tells other VMs of the streams that it begins, and its search
//! for the origin of a stream that a caller resumes.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::VmName;
use apricotdale_core::origin::Origin;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::RecentVersions;
use apricotdale_fleet::Route;
use apricotdale_fleet::ServingRequest;
use apricotdale_organisations::Organisation;
use apricotdale_origins::ASKED_HOLDERS;
use apricotdale_origins::Evidence;
use apricotdale_origins::OriginAnswer;
use apricotdale_origins::OriginQuery;
use apricotdale_origins::OriginTable;
use apricotdale_origins::OriginUnknown;
use apricotdale_origins::Resumption;
use apricotdale_origins::ResumptionStep;
use apricotdale_origins::StreamId;
use apricotdale_origins::StreamOrigin;
use apricotdale_origins::TOLD_HOLDERS;
use apricotdale_origins::TableOptions;
use apricotdale_origins::VersionHistory;
use apricotdale_origins::holders;

use crate::active::Phase;
use crate::crash_watch::request_features;
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
const MAX_QUERIED_SERVICES: usize = 8;

/// Time for which origins are kept, as a multiple of the longest time for which a route's requests
/// are kept waiting, and its lower bound. A caller may wait for longer than its route.
const LIFETIME_TIMEOUTS: u64 = 2;
const MIN_LIFETIME_MS: u64 = 10_000;

/// Age of the upstream list from which on upstreams may have come and gone unseen.
const MAX_LIST_AGE_MS: u64 = 2_500;

/// Stream that a request begins or resumes.
#[derive(Debug)]
pub(crate) struct StreamInProgress {
    /// Identity under which other VMs can find its origin; none if no record says that this
    /// request belongs to the stream that it names.
    pub id: Option<StreamId>,
    /// Search for its origin; none if it is begun here, or once the search has ended.
    search: Option<Resumption>,
    /// Identity of the stream that is searched.
    searched: StreamId,
    /// When its origin was found; none before, and if it is begun here.
    pub found_ms: Option<u64>,
}

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

    /// Takes over the versions that services ran before this VM started.
    pub fn restore_versions(&mut self, now_ms: u64, recent: &RecentVersions) {
        if recent.is_complete {
            let rows = recent.rows.iter();
            let rows = rows.map(|(service, version)| (service, version.as_ref()));
            self.versions.restore(now_ms, rows);
        }
    }

    /// Returns what this VM knows of a stream that one of the services began.
    fn evidence(&self, now_ms: u64, stream: StreamId, services: &[GroupName]) -> Evidence {
        let lifetime_ms = self.table.lifetime_ms();
        match self.table.get(now_ms, stream) {
            Some(Some(origin)) => Evidence::Origin(origin.clone()),
            Some(None) => Evidence::Conflict,
            None => Evidence::of_versions(services.iter().map(|service| {
                let versions = self.versions.versions(now_ms, service, lifetime_ms);
                (service.clone(), versions)
            })),
        }
    }
}

/// Returns the services that a route leads to.
fn services_of(route: &Route) -> Vec<GroupName> {
    let mut services: Vec<GroupName> = route
        .shares
        .iter()
        .filter(|share| share.weight > 0)
        .map(|share| share.service.clone())
        .collect();
    services.sort_unstable();
    services.dedup();
    services.truncate(MAX_QUERIED_SERVICES);
    services
}

impl Daemon {
    /// Returns the stream that a request begins or resumes; none if no upstream may continue it.
    pub(crate) fn stream_of(
        &mut self,
        serving: &ServingRequest,
        route: &Route,
        organisation: Option<&Organisation>,
    ) -> Option<StreamInProgress> {
        if !route.kind.is_stream() || !route.kind.is_repeatable() {
            return None;
        }
        let id_of = |request: &RequestId| {
            StreamId::new(
                request,
                organisation.map(|organisation| &*organisation.name),
            )
        };
        let own = id_of(&serving.id);
        let first_event = self.codecs.callers.stream_format().first_event;
        let has_events = serving
            .last_event
            .is_some_and(|last| first_event.is_none_or(|first| last >= first));
        if !has_events {
            return Some(StreamInProgress {
                id: Some(own),
                search: None,
                searched: own,
                found_ms: None,
            });
        }
        // No VM knows the ID of this request: for a caller that names no stream, the others can
        // only say which versions there were.
        let searched = serving.resumes.as_ref().map_or(own, id_of);
        let services = services_of(route);
        self.record_listed_versions();
        let evidence = self
            .stream_origins
            .evidence(self.now_ms, searched, &services);
        let asked = match evidence {
            Evidence::Conflict => Vec::new(),
            _ => holders(searched, self.peers.names(), ASKED_HOLDERS),
        };
        Some(StreamInProgress {
            id: None,
            search: Some(Resumption::new(self.now_ms, evidence, asked)),
            searched,
            found_ms: None,
        })
    }

    /// Returns whether a request can be dispatched because the origin of its stream is known, or
    /// because it has none. If the origin can't be found, the request is refused.
    pub(crate) fn has_stream_origin(&mut self, key: u64) -> bool {
        let now_ms = self.now_ms;
        let Some(request) = self.active.get_mut(key) else {
            return false;
        };
        let Some(stream) = &mut request.stream else {
            return true;
        };
        let searched = stream.searched;
        let Some(search) = &mut stream.search else {
            return true;
        };
        let step = search.decide(now_ms);
        let is_recorded = search.is_recorded();
        match step {
            ResumptionStep::Ask(vms, again_ms) => {
                let services = services_of(&request.route);
                self.wait_for_origin(key, searched, again_ms);
                self.ask_for_origin(&vms, searched, services);
                false
            }
            ResumptionStep::Wait(again_ms) => {
                self.wait_for_origin(key, searched, again_ms);
                false
            }
            ResumptionStep::Resume(origin) => {
                stream.search = None;
                stream.found_ms = Some(now_ms);
                // The caller may resume it once more, when other versions have come.
                stream.id = request.serving.resumes.as_ref().map(|_| searched);
                self.resume_from(key, origin, is_recorded)
            }
            ResumptionStep::Refuse(reason) => {
                stream.search = None;
                self.refuse_unknown_origin(key, reason);
                false
            }
        }
    }

    fn wait_for_origin(&mut self, key: u64, stream: StreamId, again_ms: u64) {
        if let Some(request) = self.active.get_mut(key) {
            request.phase = Phase::Waiting(WaitReason::Origin);
        }
        self.active.wake_at(again_ms, key);
        let waiting = self.stream_origins.waiting.entry(stream).or_default();
        if !waiting.contains(&key) {
            waiting.push(key);
        }
    }

    fn ask_for_origin(&self, vms: &[VmName], stream: StreamId, services: Vec<GroupName>) {
        let query = PeerMessage::OriginQuery(OriginQuery { stream, services });
        for address in vms.iter().filter_map(|vm| self.peers.address_of(vm)) {
            self.peers.send(address, &query);
        }
    }

    /// Resumes a stream at the upstreams that may continue it. Returns whether its route still
    /// leads to their service.
    fn resume_from(&mut self, key: u64, origin: Origin, is_recorded: bool) -> bool {
        let origin = self.completed(origin);
        let Some(request) = self.active.get_mut(key) else {
            return false;
        };
        let mut shares = request.route.shares.iter();
        if !shares.any(|share| share.service == origin.service && share.weight > 0) {
            let detail = "the route no longer leads to the service that began the stream";
            let refusal = Refusal::not_run(RefusalReason::VersionGone, detail);
            self.refuse(key, &refusal);
            return false;
        }
        let evidence = if is_recorded {
            "recorded"
        } else {
            "only_version"
        };
        self.metrics.resumption(evidence);
        if self.log_budget.try_take(self.now_ms, false) {
            log::info!(
                request_id = request.serving.id.to_string(),
                resumes = request.serving.resumes.as_ref().map_or("", RequestId::as_str),
                last_event = request.serving.last_event,
                software = software_text(&origin),
                evidence,
                age_ms = self.now_ms - request.job.arrived_ms;
                "stream resumed by its caller"
            );
        }
        let is_other_service = request.job.service != origin.service;
        request.job.service = origin.service.clone();
        request.delivery.set_origin(origin);
        !is_other_service || self.is_allowed_at_service(key)
    }

    /// Applies to a request what depends on its service, which is not the one that was drawn for it.
    /// Returns whether the request may be sent there.
    fn is_allowed_at_service(&mut self, key: u64) -> bool {
        let Some(request) = self.active.get_mut(key) else {
            return false;
        };
        let service = &request.job.service;
        let is_engine = self
            .directory
            .service(service)
            .is_some_and(|it| it.engine.is_some());
        request.job.wanted = request.serving.model.clone().filter(|_| is_engine);
        let features = request_features(&request.serving, service, &request.head, &request.body);
        request.features = features.clone();
        match self.block_refusal(&features) {
            Some(refusal) => {
                self.refuse(key, &refusal);
                false
            }
            None => true,
        }
    }

    /// Returns an origin with the version of its incarnation, if that has become known since.
    fn completed(&self, origin: Origin) -> Origin {
        let name = origin
            .upstream
            .as_ref()
            .filter(|_| origin.version.is_none());
        let known = name.and_then(|name| self.directory.upstream(name));
        match known {
            Some(known) => origin.corrected(Some(&known.origin())),
            None => origin,
        }
    }

    /// Completes the origin of the events that a request's caller has, for the choice of an upstream.
    pub(crate) fn complete_origin(&mut self, key: u64) {
        let request = self.active.get(key);
        let origin = request.and_then(|request| request.delivery.origin());
        let Some(origin) = origin.filter(|origin| origin.version.is_none()).cloned() else {
            return;
        };
        let completed = self.completed(origin);
        if let Some(request) = self.active.get_mut(key) {
            request.delivery.complete_origin(completed);
        }
    }

    fn refuse_unknown_origin(&mut self, key: u64, reason: OriginUnknown) {
        self.metrics.resumption(reason.as_str());
        let detail = match reason {
            OriginUnknown::SeveralVersions => {
                "nobody asked knows which of several software versions began the stream"
            }
            OriginUnknown::NoEvidence => {
                "nobody asked knows which software version began the stream"
            }
            OriginUnknown::Conflict => "two software versions are said to have begun the stream",
        };
        self.refuse(key, &Refusal::not_run(RefusalReason::OriginUnknown, detail));
    }

    /// Tells other VMs the origin of a stream whose first event the caller has now.
    pub(crate) fn record_stream_origin(&mut self, key: u64) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let id = request.stream.as_ref().and_then(|stream| stream.id);
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

    /// Applies another VM's answer to a query.
    pub(crate) fn apply_origin_answer(&mut self, from: SocketAddr, answer: &OriginAnswer) {
        if self.peers.address_of(&answer.from) != Some(from) {
            return;
        }
        let Some(waiting) = self.stream_origins.waiting.remove(&answer.stream) else {
            return;
        };
        for key in waiting {
            let request = self.active.get_mut(key);
            let stream = request.and_then(|request| request.stream.as_mut());
            if let Some(search) = stream.and_then(|stream| stream.search.as_mut()) {
                search.record_answer(&answer.from, answer.evidence.clone());
                self.dispatch(key);
            }
        }
    }

    /// Records the software versions of the listed upstreams, also of leaving ones, which still write.
    fn record_listed_versions(&mut self) {
        let versions = &mut self.stream_origins.versions;
        for upstream in self.directory.upstreams() {
            versions.record(self.now_ms, &upstream.origin());
        }
    }

    /// Updates the versions of services that are known, and drops what has expired.
    pub(crate) fn update_stream_origins(&mut self) {
        let now_ms = self.now_ms;
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
            true => origins.versions.record_followed(now_ms),
            false => origins.versions.record_gap(),
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

/// Returns the software version of an origin, for logs; empty if it is unknown.
pub(crate) fn software_text(origin: &Origin) -> &str {
    origin
        .version
        .as_ref()
        .map_or("", |version| version.as_str())
}
