//! Details of this VM's demand for the lease holder, and what the holder announces from those of all VMs.

use std::collections::BTreeMap;

use apricotdale_admission::service_key;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::Job;
use apricotdale_dispatch::WaitReason;
use apricotdale_holder::DemandDetail;
use apricotdale_holder::DemandRow;
use apricotdale_holder::EngineKey;
use apricotdale_holder::EngineSpeedRow;
use apricotdale_holder::EngineUse;
use apricotdale_holder::ModelKey;
use apricotdale_holder::RequestState;

use crate::active::ActiveRequest;
use crate::active::Phase;
use crate::daemon::Daemon;
use crate::messages::HeartbeatDetail;
use crate::messages::PeerMessage;
use crate::peers::ROWS_PER_DATAGRAM;

/// Time between two demand reports while requests wait: at least the first, and for each known VM
/// the second, since the lease holder receives all reports and can handle about a thousand a
/// second.
const BUSY_DEMAND_INTERVAL_MS: u64 = 200;
const BUSY_DEMAND_INTERVAL_US_PER_VM: u64 = 1_000;

/// Time between two demand reports while no requests wait.
const IDLE_DEMAND_INTERVAL_MS: u64 = 700;

/// Time between two demand reports while no requests wait, where VMs report the requests by engine.
/// A request is in progress for about as long.
const DETAIL_INTERVAL_MS: u64 = 350;

/// Time between two heartbeats with the speeds of engines. Speeds are learnt over tens of seconds, and
/// the link of the lease holder may be narrow.
const SPEED_ROWS_INTERVAL_MS: u64 = 2_000;

/// Difference from the mean speed, in percent, up to which an engine's speed is not announced.
const MAX_USUAL_DEVIATION_PERCENT: u16 = 10;

impl Daemon {
    /// Returns whether VMs report details of their demand: with fewer VMs than an engine has slots,
    /// each VM hears of an engine's load and speed in its own answers.
    pub(crate) fn reports_detail(&self) -> bool {
        let vms = self.peers.others() as u32 + 1;
        let services = self.directory.configuration().services.values();
        let mut engines = services.filter_map(|service| service.engine.as_ref());
        engines.any(|engine| vms > engine.slots)
    }

    /// Returns the details of this VM's demand; none if the fleet does not need them.
    pub(crate) fn demand_detail(&mut self) -> Option<DemandDetail> {
        if !self.reports_detail() {
            return None;
        }
        let mut uses: BTreeMap<(EngineKey, ModelKey), u16> = BTreeMap::new();
        let mut in_progress: BTreeMap<u32, u16> = BTreeMap::new();
        let mut waiting: BTreeMap<(u32, u8), u16> = BTreeMap::new();
        for (_, request) in self.active.iter() {
            let Some(wanted) = &request.job.wanted else {
                continue;
            };
            let service = service_key(&request.job.service);
            match &request.phase {
                Phase::Sent { upstream, .. } => {
                    let key = (EngineKey::of(upstream), ModelKey::of(&wanted.model));
                    increment(uses.entry(key).or_default());
                    increment(in_progress.entry(service).or_default());
                }
                // Requests that wait for a load don't show that engines are full.
                Phase::Waiting(WaitReason::Full) => {
                    let key = (service, rank_of(&request.job));
                    increment(waiting.entry(key).or_default());
                }
                _ => {}
            }
        }
        let uses = uses
            .into_iter()
            .map(|((engine, model), requests)| EngineUse {
                engine,
                model,
                requests,
            });
        let detail = self
            .local_detail
            .take(uses.collect(), &in_progress, &waiting);
        Some(detail)
    }

    /// Returns what this VM announces as the lease holder; none if VMs don't report details.
    pub(crate) fn heartbeat_detail(&mut self) -> Option<HeartbeatDetail> {
        if !self.reports_detail() {
            return None;
        }
        let is_due = self.now_ms >= self.engine_orders.next_speed_rows_ms;
        let speeds = is_due.then(|| {
            self.engine_orders.next_speed_rows_ms = self.now_ms + SPEED_ROWS_INTERVAL_MS;
            self.speed_rows()
        });
        let services = self.directory.configuration().services.iter();
        let engines = services.filter_map(|(name, service)| Some((name, service.engine.as_ref()?)));
        let slots: Vec<(GroupName, u32)> = engines
            .map(|(name, engine)| (name.clone(), self.directory.capacity(name, engine.slots)))
            .collect();
        let now_ms = self.now_ms;
        let rank_shares = slots.into_iter().flat_map(|(service, slots)| {
            let key = service_key(&service);
            self.engine_orders.rank_shares(now_ms, key, slots)
        });
        Some(HeartbeatDetail {
            rank_shares: rank_shares.collect(),
            speeds,
        })
    }

    fn speed_rows(&self) -> Vec<EngineSpeedRow> {
        let rows = self.directory.upstreams().filter_map(|upstream| {
            let engine = EngineKey::of(&upstream.name);
            let percent = self.engine_orders.speed_percent(engine);
            let is_uneven = percent.abs_diff(100) > MAX_USUAL_DEVIATION_PERCENT;
            is_uneven.then_some(EngineSpeedRow { engine, percent })
        });
        EngineSpeedRow::most_uneven(rows.collect())
    }

    /// Applies what the lease holder announces.
    pub(crate) fn apply_heartbeat_detail(&mut self, detail: HeartbeatDetail) {
        if let Some(speeds) = detail.speeds {
            self.apply_speeds(&speeds);
        }
        self.apply_rank_shares(detail.rank_shares);
    }

    fn apply_speeds(&mut self, speeds: &[EngineSpeedRow]) {
        let percents: BTreeMap<EngineKey, u16> =
            speeds.iter().map(|row| (row.engine, row.percent)).collect();
        for upstream in self.directory.upstreams() {
            let percent = percents.get(&EngineKey::of(&upstream.name));
            let percent = percent.copied().unwrap_or(100);
            self.dispatcher
                .record_speed(&upstream.name, u32::from(percent));
        }
        self.metrics.uneven_engines.set(speeds.len() as i64);
    }

    /// Records the arrival of a request for an engine, for the reports to the lease holder.
    pub(crate) fn record_engine_arrival(&mut self, job: &Job) {
        if job.wanted.is_some() {
            let service = service_key(&job.service);
            self.local_detail.record_arrival(service, rank_of(job));
        }
    }

    /// Records that the answer to a request begins now.
    pub(crate) fn record_begun_answer(&mut self, key: u64) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        let job = &request.job;
        if let Some(wanted) = &job.wanted {
            let is_late = self.now_ms > job.target_ms;
            self.local_detail
                .record_answer(&wanted.model, rank_of(job), is_late);
        }
    }

    /// Records how long an answered request took at its engine, and the pace of its stream unless parts
    /// of it came from several engines.
    pub(crate) fn record_engine_end(&mut self, request: &ActiveRequest) {
        let Some(sent_ms) = request
            .first_sent_ms
            .filter(|_| request.job.wanted.is_some())
        else {
            return;
        };
        let service = service_key(&request.job.service);
        let took_ms = self.now_ms.saturating_sub(sent_ms);
        self.local_detail.record_end(service, took_ms);
        if let Some((engine, model, events, took_ms)) = pace(request) {
            self.local_detail
                .record_stream(engine, model, events, took_ms);
        }
    }

    pub(crate) fn send_demand(&mut self) {
        let now_ms = self.now_ms;
        let rows = self.changed_demand();
        let has_waiting_requests = rows
            .iter()
            .any(|row| row.waiting_for_load + row.waiting_for_slot > 0);
        let by_fleet_ms = self.peers.others() as u64 * BUSY_DEMAND_INTERVAL_US_PER_VM / 1_000;
        let waiting_ms = BUSY_DEMAND_INTERVAL_MS
            .max(by_fleet_ms)
            .min(IDLE_DEMAND_INTERVAL_MS);
        let pause_ms = match has_waiting_requests {
            true => waiting_ms,
            false if self.reports_detail() => DETAIL_INTERVAL_MS.max(waiting_ms),
            false => IDLE_DEMAND_INTERVAL_MS,
        };
        self.peers.next_demand_ms = now_ms + pause_ms;
        self.peers.last_demand_ms = now_ms;
        let from = self.peers.own.clone();
        let mut detail = self.demand_detail();
        if self.engine_orders.held_lease_end(now_ms).is_some() {
            self.engine_orders
                .record_demand(now_ms, &from.vm, from.incarnation, rows);
            if let Some(detail) = detail {
                self.engine_orders
                    .record_detail(now_ms, &from.vm, from.incarnation, &detail);
            }
            return;
        }
        let Some((_, address, _)) = self.peers.lease_holder else {
            return;
        };
        for rows in rows.chunks(ROWS_PER_DATAGRAM) {
            let message = PeerMessage::Demand {
                from: from.clone(),
                rows: rows.to_vec(),
                detail: detail.take(),
            };
            self.peers.send(address, &message);
        }
    }

    /// Returns the demand rows of models whose demand has changed or that requests in progress
    /// need.
    pub(crate) fn changed_demand(&mut self) -> Vec<DemandRow> {
        let active = self.active.iter().filter_map(|(_, request)| {
            let state = match request.phase {
                Phase::Waiting(WaitReason::Missing) => RequestState::Missing,
                Phase::Waiting(WaitReason::Full) => RequestState::Full,
                _ => RequestState::Running,
            };
            Some((request.job.wanted.as_ref()?, state))
        });
        self.local_demand.rows(active)
    }
}

fn rank_of(job: &Job) -> u8 {
    u8::try_from(job.rank).unwrap_or(u8::MAX)
}

fn increment(requests: &mut u16) {
    *requests = requests.saturating_add(1);
}

/// Returns the engine and model of a stream from one engine, its events after the first one and the
/// time that they took.
fn pace(request: &ActiveRequest) -> Option<(&UpstreamName, &ModelName, u32, u64)> {
    let wanted = request.job.wanted.as_ref()?;
    let [engine] = request.job.tried.as_slice() else {
        return None;
    };
    let first = request.serving.last_event.unwrap_or_default();
    let events = request.delivery.last_event()?.checked_sub(first + 1)?;
    let began_ms = request.first_answer_ms?;
    let took_ms = request.last_part_ms.checked_sub(began_ms)?;
    let events = u32::try_from(events).ok().filter(|events| *events > 0)?;
    Some((engine, &wanted.model, events, took_ms))
}
