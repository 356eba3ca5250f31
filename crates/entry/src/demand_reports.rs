//! Details of this VM's demand for the lease holder, and the loads of engines that the holder announces.

use std::collections::BTreeMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_dispatch::WaitReason;
use apricotdale_holder::DemandDetail;
use apricotdale_holder::EngineKey;
use apricotdale_holder::EngineLoad;
use apricotdale_holder::EngineLoads;
use apricotdale_holder::EngineUse;
use apricotdale_holder::ModelKey;
use apricotdale_holder::ModelWait;

use crate::active::ActiveRequest;
use crate::active::Phase;
use crate::daemon::Daemon;

/// Expected time from the send of a request to the first event of an engine that is not full, by which
/// a request has to start before its target.
const FIRST_EVENT_MS: u64 = 100;

impl Daemon {
    /// Returns whether VMs report details of their demand: with fewer VMs than an engine has slots,
    /// each VM hears of an engine's load in its own answers.
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
        let now_ms = self.now_ms;
        let mut uses: BTreeMap<(EngineKey, ModelKey), u16> = BTreeMap::new();
        let mut waits: BTreeMap<ModelKey, (u64, BTreeMap<u8, u16>)> = BTreeMap::new();
        for (_, request) in self.active.iter() {
            let Some(wanted) = &request.job.wanted else {
                continue;
            };
            let model = ModelKey::of(&wanted.model);
            match &request.phase {
                Phase::Sent { upstream, .. } => {
                    let requests = uses.entry((EngineKey::of(upstream), model)).or_default();
                    *requests = requests.saturating_add(1);
                }
                Phase::Waiting(WaitReason::Missing | WaitReason::Full) => {
                    let (target_ms, by_rank) =
                        waits.entry(model).or_insert((u64::MAX, BTreeMap::new()));
                    *target_ms = (*target_ms).min(request.job.target_ms);
                    let rank = u8::try_from(request.job.rank).unwrap_or(u8::MAX);
                    let requests = by_rank.entry(rank).or_default();
                    *requests = requests.saturating_add(1);
                }
                _ => {}
            }
        }
        let (answers, paces) = self.local_answers.take();
        let uses = uses
            .into_iter()
            .map(|((engine, model), requests)| EngineUse {
                engine,
                model,
                requests,
            });
        let waits = waits.into_iter().map(|(model, (target_ms, by_rank))| {
            let start_in_ms = target_ms.saturating_sub(now_ms + FIRST_EVENT_MS);
            ModelWait {
                model,
                start_in_ms: u32::try_from(start_in_ms).unwrap_or(u32::MAX),
                by_rank: by_rank.into_iter().collect(),
            }
        });
        Some(DemandDetail {
            uses: uses.collect(),
            waits: waits.collect(),
            answers,
            paces,
        })
    }

    /// Returns the loads of engines to announce; none if VMs don't report details.
    pub(crate) fn engine_loads(&mut self) -> Option<EngineLoads> {
        if !self.reports_detail() {
            return None;
        }
        let requests = self.engine_orders.engine_requests(self.now_ms);
        let mut rows = Vec::new();
        for upstream in self.directory.upstreams() {
            let engine = EngineKey::of(&upstream.name);
            let count = requests.get(&engine).copied().unwrap_or_default();
            let speed_percent = self.engine_orders.speed_percent(engine);
            let is_busy = count * 2 >= upstream.slots.max(1);
            if is_busy || speed_percent.abs_diff(100) > 10 {
                rows.push(EngineLoad {
                    engine,
                    requests: u16::try_from(count).unwrap_or(u16::MAX),
                    speed_percent,
                });
            }
        }
        Some(EngineLoads::new(rows))
    }

    /// Applies the loads that the lease holder announces.
    pub(crate) fn apply_engine_loads(&mut self, loads: &EngineLoads) {
        let now_ms = self.now_ms;
        let rows: BTreeMap<EngineKey, &EngineLoad> =
            loads.rows.iter().map(|row| (row.engine, row)).collect();
        for upstream in self.directory.upstreams() {
            let row = rows.get(&EngineKey::of(&upstream.name));
            let requests = row.map(|row| u32::from(row.requests));
            self.dispatcher
                .record_shared_load(now_ms, &upstream.name, requests);
        }
        self.redispatch_needed = true;
    }

    /// Records that the answer to a request begins now, for the reports to the lease holder.
    pub(crate) fn record_begun_answer(&mut self, key: u64) {
        let Some(request) = self.active.get(key) else {
            return;
        };
        if let Some(wanted) = &request.job.wanted {
            let is_late = self.now_ms > request.job.target_ms;
            self.local_answers.record_answer(&wanted.model, is_late);
        }
    }

    /// Records the pace of a stream that has ended, unless parts of it came from several upstreams.
    pub(crate) fn record_pace(&mut self, request: &ActiveRequest) {
        let Some((engine, model, events, took_ms)) = pace(request) else {
            return;
        };
        self.local_answers
            .record_stream(engine, model, events, took_ms);
    }
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
