//! Streams that callers resume: the search for the process that began one, and what follows from
//! it.

use std::net::SocketAddr;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::VmName;
use apricotdale_core::origin::Origin;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_dispatch::WaitReason;
use apricotdale_fleet::Route;
use apricotdale_fleet::ServingRequest;
use apricotdale_organisations::Organisation;
use apricotdale_origins::ASKED_HOLDERS;
use apricotdale_origins::Evidence;
use apricotdale_origins::OriginAnswer;
use apricotdale_origins::OriginQuery;
use apricotdale_origins::OriginUnknown;
use apricotdale_origins::Resumption;
use apricotdale_origins::ResumptionStep;
use apricotdale_origins::StreamId;
use apricotdale_origins::holders;

use crate::active::Phase;
use crate::crash_watch::request_features;
use crate::daemon::Daemon;
use crate::messages::PeerMessage;
use crate::stream_origins::MAX_QUERIED_SERVICES;
use crate::unanswered::UnansweredReason;

/// Stream that a request begins or resumes.
#[derive(Debug)]
pub(crate) struct StreamInProgress {
    /// Identity under which its origin is told to other VMs; none if its caller resumes it without
    /// naming it.
    pub told_as: Option<StreamId>,
    search: OriginSearch,
}

/// Progress of the search for the origin of a stream.
#[derive(Debug)]
enum OriginSearch {
    /// The stream begins here.
    Unneeded,
    /// Other VMs are being asked.
    Open {
        stream: StreamId,
        resumption: Resumption,
    },
    /// The origin was found.
    Found { at_ms: u64 },
}

impl StreamInProgress {
    /// Returns when the origin of the stream was found; none before, and if the stream begins here.
    pub fn found_ms(&self) -> Option<u64> {
        match self.search {
            OriginSearch::Found { at_ms } => Some(at_ms),
            OriginSearch::Unneeded | OriginSearch::Open { .. } => None,
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
                told_as: Some(own),
                search: OriginSearch::Unneeded,
            });
        }
        // No VM knows the ID of this request: for a caller that names no stream, the others can
        // only say which versions there were.
        let stream = serving.resumes.as_ref().map_or(own, id_of);
        let services = services_of(route);
        self.record_listed_versions();
        let evidence = self.stream_origins.evidence(self.now_ms, stream, &services);
        let asked = match evidence {
            Evidence::Conflict => Vec::new(),
            _ => holders(stream, self.peers.names(), ASKED_HOLDERS),
        };
        Some(StreamInProgress {
            // The caller may resume it once more, when other versions have come.
            told_as: serving.resumes.as_ref().map(|_| stream),
            search: OriginSearch::Open {
                stream,
                resumption: Resumption::new(self.now_ms, evidence, asked),
            },
        })
    }

    /// Returns whether a request can be dispatched because the origin of its stream is known, or
    /// because it has none. If the origin can't be found, the request is refused.
    pub(crate) fn has_stream_origin(&mut self, key: u64) -> bool {
        let now_ms = self.now_ms;
        let Some(request) = self.active.get_mut(key) else {
            return false;
        };
        let search = request.stream.as_mut().map(|stream| &mut stream.search);
        let Some(search) = search else {
            return true;
        };
        let OriginSearch::Open { stream, resumption } = search else {
            return true;
        };
        let stream = *stream;
        let step = resumption.decide(now_ms);
        let is_recorded = resumption.is_recorded();
        match step {
            ResumptionStep::Ask(vms, again_ms) => {
                let services = services_of(&request.route);
                self.wait_for_origin(key, stream, again_ms);
                self.ask_for_origin(&vms, stream, services);
                false
            }
            ResumptionStep::Wait(again_ms) => {
                self.wait_for_origin(key, stream, again_ms);
                false
            }
            ResumptionStep::Resume(origin) => {
                *search = OriginSearch::Found { at_ms: now_ms };
                self.resume_from(key, origin, is_recorded)
            }
            ResumptionStep::Refuse(reason) => {
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
        let waiting = self.stream_origins.waiting_for(stream);
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
            self.refuse(key, &refusal, UnansweredReason::OriginRefused);
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

    /// Applies to a request what depends on its service, which is not the one that was drawn for
    /// it. Returns whether the request may be sent there.
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
                self.refuse(key, &refusal, UnansweredReason::Blocked);
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

    /// Completes the origin of the events that a request's caller has, for the choice of an
    /// upstream.
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
        let refusal = Refusal::not_run(RefusalReason::OriginUnknown, detail);
        self.refuse(key, &refusal, UnansweredReason::OriginRefused);
    }

    /// Applies another VM's answer to a query.
    pub(crate) fn apply_origin_answer(&mut self, from: SocketAddr, answer: &OriginAnswer) {
        if self.peers.address_of(&answer.from) != Some(from) {
            return;
        }
        let Some(waiting) = self.stream_origins.take_waiting(answer.stream) else {
            return;
        };
        for key in waiting {
            let request = self.active.get_mut(key);
            let stream = request.and_then(|request| request.stream.as_mut());
            if let Some(OriginSearch::Open { resumption, .. }) = stream.map(|it| &mut it.search) {
                resumption.record_answer(&answer.from, answer.evidence.clone());
                self.dispatch(key);
            }
        }
    }
}

/// Returns the software version of an origin, for logs; empty if it is unknown.
pub(crate) fn software_text(origin: &Origin) -> &str {
    origin
        .version
        .as_ref()
        .map_or("", |version| version.as_str())
}
