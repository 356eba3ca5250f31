//! One VM: what the daemon does around the origins of streams.

use std::collections::BTreeMap;
use std::collections::HashMap;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::RequestId;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::VmName;
use apricotdale_core::origin::Origin;
use apricotdale_origins::Evidence;
use apricotdale_origins::OriginTable;
use apricotdale_origins::OriginUnknown;
use apricotdale_origins::Recorded;
use apricotdale_origins::Resumption;
use apricotdale_origins::ResumptionStep;
use apricotdale_origins::StreamId;
use apricotdale_origins::StreamOrigin;
use apricotdale_origins::TOLD_HOLDERS;
use apricotdale_origins::TableOptions;
use apricotdale_origins::VersionHistory;
use apricotdale_origins::holders;

use crate::engines::Entry;
use crate::options::Planted;

/// Age of the upstream list from which on upstreams may have come and gone unseen.
const MAX_LIST_AGE_MS: u64 = 4_000;

/// How long origins are collected before they are told.
pub const TELL_INTERVAL_MS: u64 = 20;

pub const LIFETIME_MS: u64 = 10_000;

/// Stream that a request begins or resumes, as in the daemon.
#[derive(Debug)]
pub struct StreamInProgress {
    pub id: Option<StreamId>,
    pub search: Option<Resumption>,
    pub searched: StreamId,
    pub own: StreamId,
}

/// Request in progress.
#[derive(Debug)]
pub struct Active {
    pub caller: usize,
    pub attempt: u64,
    pub stream: StreamInProgress,
    /// Origin of the events that the caller has.
    pub origin: Option<Origin>,
    pub has_begun: bool,
    pub sends: u32,
    pub tried: Vec<InstanceName>,
    pub arrived_ms: u64,
    /// Number of the last send or event; what belongs to earlier ones is void.
    pub step: u64,
    /// Process that answers, and its origin as known at the send.
    pub sent: Option<(usize, Origin)>,
}

/// Outcome of the search for the origin of a stream.
#[derive(Clone, Debug)]
pub enum Found {
    /// The request can be sent.
    Ready,
    Ask(Vec<VmName>, StreamId, u64),
    Wait(u64),
    Unknown(OriginUnknown),
}

#[derive(Debug)]
pub struct Vm {
    pub name: VmName,
    pub planted: Option<Planted>,
    /// Whether it runs the release before.
    pub is_old: bool,
    pub is_alive: bool,
    pub is_leaving: bool,
    /// Number of its starts; what belongs to earlier ones is void.
    pub start: u64,
    pub started_ms: u64,
    pub ended_ms: u64,
    pub paused_until_ms: u64,
    /// From when and until when no datagrams reach it or come from it.
    pub cut_from_ms: u64,
    pub cut_until_ms: u64,
    /// Other VMs that it knows.
    pub known: Vec<VmName>,
    pub list: BTreeMap<InstanceName, Entry>,
    pub read_ms: Option<u64>,
    pub table: OriginTable,
    pub max_streams: usize,
    pub versions: VersionHistory,
    pub untold: BTreeMap<VmName, Vec<StreamOrigin>>,
    pub active: BTreeMap<u64, Active>,
    pub waiting: HashMap<StreamId, Vec<u64>>,
}

impl Vm {
    pub fn new(name: VmName, planted: Option<Planted>, max_streams: usize) -> Self {
        Self {
            name,
            planted,
            is_old: false,
            is_alive: true,
            is_leaving: false,
            start: 0,
            started_ms: 0,
            ended_ms: 0,
            paused_until_ms: 0,
            cut_from_ms: 0,
            cut_until_ms: 0,
            known: Vec::new(),
            list: BTreeMap::new(),
            read_ms: None,
            table: new_table(max_streams),
            max_streams,
            versions: VersionHistory::default(),
            untold: BTreeMap::new(),
            active: BTreeMap::new(),
            waiting: HashMap::new(),
        }
    }

    pub fn kill(&mut self, now_ms: u64) {
        self.is_alive = false;
        self.ended_ms = now_ms;
        self.start += 1;
        self.active.clear();
        self.untold.clear();
        self.waiting.clear();
    }

    pub fn restart(&mut self, now_ms: u64) {
        self.is_alive = true;
        self.is_leaving = false;
        self.started_ms = now_ms;
        self.start += 1;
        self.known.clear();
        self.list.clear();
        self.read_ms = None;
        self.table = new_table(self.max_streams);
        self.versions = VersionHistory::default();
    }

    /// Applies a complete read of the upstream list. `is_copy` says that it came from a VM of the
    /// release before, without versions.
    pub fn apply_list(&mut self, now_ms: u64, list: &BTreeMap<InstanceName, Entry>, is_copy: bool) {
        let known = std::mem::take(&mut self.list);
        for (instance, entry) in list {
            let before = known.get(instance);
            let before = before.filter(|it| it.incarnation == entry.incarnation);
            let told = entry.version.clone().filter(|_| !is_copy);
            let version = told.or_else(|| before.and_then(|it| it.version.clone()));
            let was_serving = before.is_none_or(|it| it.is_serving);
            let entry = Entry {
                version,
                is_serving: entry.is_serving && was_serving,
                ..entry.clone()
            };
            self.list.insert(instance.clone(), entry);
        }
        self.read_ms = Some(now_ms);
    }

    /// Records the versions of the listed upstreams, and whether the list is followed.
    pub fn sweep(&mut self, now_ms: u64) {
        let forgets = self.planted == Some(Planted::VersionForgotten);
        if forgets {
            self.versions.drop_older(now_ms, 0);
        }
        for entry in self.list.values().filter(|it| it.is_serving || !forgets) {
            let version = entry.version.clone().or_else(|| self.version_if_unknown());
            let origin = Origin {
                version,
                ..entry.origin()
            };
            self.versions.record(now_ms, &origin);
        }
        let is_followed = self
            .read_ms
            .is_some_and(|read_ms| now_ms - read_ms < MAX_LIST_AGE_MS);
        match is_followed {
            true if self.planted == Some(Planted::YoungHistory) => self.versions.record_followed(0),
            true => self.versions.record_followed(now_ms),
            false => self.versions.record_gap(),
        }
        self.versions.drop_older(now_ms, LIFETIME_MS);
        let active = &self.active;
        self.waiting.retain(|_, keys| {
            keys.retain(|key| active.contains_key(key));
            !keys.is_empty()
        });
    }

    fn version_if_unknown(&self) -> Option<SoftwareVersion> {
        (self.planted == Some(Planted::UnknownIsEqual)).then(|| SoftwareVersion::from("unknown"))
    }

    /// Returns the origin of what a listed engine writes.
    pub fn origin_of(&self, instance: &InstanceName) -> Option<Origin> {
        let entry = self.list.get(instance)?;
        let mut origin = entry.origin();
        origin.version = origin.version.or_else(|| self.version_if_unknown());
        if self.planted == Some(Planted::IdentityForIncarnation) {
            origin.upstream = Some(instance.as_str().into());
        }
        Some(origin)
    }

    pub fn stream_id(&self, request: &RequestId, organisation: &str) -> StreamId {
        let organisation = match self.planted {
            Some(Planted::OrganisationLeftOut) => None,
            _ => Some(organisation),
        };
        StreamId::new(request, organisation)
    }

    pub fn evidence(&self, now_ms: u64, stream: StreamId, services: &[GroupName]) -> Evidence {
        match self.table.get(now_ms, stream) {
            Some(Recorded::Origin(origin)) => Evidence::Origin(origin.clone()),
            Some(Recorded::Conflict) => Evidence::Conflict,
            None => Evidence::of_versions(services.iter().map(|service| {
                let versions = self.versions.versions(now_ms, service, LIFETIME_MS);
                (service.clone(), versions)
            })),
        }
    }

    pub fn record(&mut self, now_ms: u64, stated: StreamOrigin) {
        let is_known = matches!(
            self.table.get(now_ms, stated.stream),
            Some(Recorded::Origin(_))
        );
        if !(self.planted == Some(Planted::FirstStatementWins) && is_known) {
            self.table.record(now_ms, stated);
        }
        assert!(
            self.table.len() <= self.max_streams,
            "the table is too large"
        );
    }

    /// Decides on the origin of the stream of a request, as the daemon does before it dispatches.
    pub fn find_origin(&mut self, now_ms: u64, key: u64) -> Found {
        let active = self.active.get_mut(&key).expect("an active request");
        let searched = active.stream.searched;
        let Some(search) = &mut active.stream.search else {
            return Found::Ready;
        };
        let step = search.decide(now_ms);
        let is_recorded = search.is_recorded();
        match step {
            ResumptionStep::Ask(vms, again_ms) => {
                self.wait(searched, key);
                Found::Ask(vms, searched, again_ms)
            }
            ResumptionStep::Wait(again_ms) => {
                self.wait(searched, key);
                Found::Wait(again_ms)
            }
            ResumptionStep::Resume(origin) => {
                active.stream.search = None;
                active.stream.id = is_recorded.then_some(searched);
                if self.planted == Some(Planted::SecondTryAsFirst) {
                    active.stream.id = is_recorded.then_some(active.stream.own);
                }
                active.origin = Some(origin);
                Found::Ready
            }
            ResumptionStep::Refuse(reason) => Found::Unknown(reason),
        }
    }

    fn wait(&mut self, stream: StreamId, key: u64) {
        let waiting = self.waiting.entry(stream).or_default();
        if !waiting.contains(&key) {
            waiting.push(key);
        }
    }

    /// Records the origin of a stream whose first event the caller has now. Returns whether it has
    /// to be told.
    pub fn record_first_event(&mut self, now_ms: u64, key: u64) -> bool {
        let active = &self.active[&key];
        let (Some(stream), Some(origin)) = (active.stream.id, &active.origin) else {
            return false;
        };
        let mut origin = origin.clone();
        if origin.version.is_some() {
            origin.upstream = None;
        }
        let stated = StreamOrigin { stream, origin };
        for vm in holders(stream, &self.known, TOLD_HOLDERS) {
            self.untold.entry(vm).or_default().push(stated.clone());
        }
        self.record(now_ms, stated);
        true
    }
}

fn new_table(max_streams: usize) -> OriginTable {
    OriginTable::new(TableOptions {
        lifetime_ms: LIFETIME_MS,
        max_streams,
    })
}
