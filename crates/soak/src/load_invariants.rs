//! Invariants about engines that many models share in turn, and about ranks.

use std::collections::BTreeMap;

use crate::checks::Checker;
use crate::checks::Invariant;
use crate::checks::SCHEDULING_SLACK_MS;
use crate::checks::UNDISTURBED_MS;
use crate::checks::Violation;
use crate::checks::violation;
use crate::record::ArrivalSeen;
use crate::record::Attempt;
use crate::record::KILL;
use crate::record::KILL_ALL;
use crate::record::PAUSE;
use crate::record::Place;
use crate::record::Presented;
use crate::record::ROLLBACK;
use crate::record::Record;
use crate::record::STOP;

/// Time after the loss of a lease holder from which no VM may keep an engine closed for a model.
const REOPEN_DEADLINE_MS: u64 = 1_000;

/// Time for which a model stays loaded at an engine before it may be swapped out and in again.
const TURN_MS: u64 = 500;

/// Time by which a caller's clock may be ahead of the arrival of its request at the VM.
const SENDING_MS: u64 = 50;

/// Number of requests that arrived at an engine within [`BUSY_MS`] from which it may have been full.
const BUSY_REQUESTS: usize = 8;
const BUSY_MS: u64 = 500;

/// Reasons of refusals for want of room.
const WANT_OF_ROOM: [&str; 3] = ["deadline_too_short", "no_capacity", "overloaded"];

/// Time for which an engine listed a model as loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResidenceSeen {
    /// Name of the engine.
    pub upstream: String,
    /// Name of the model.
    pub model: String,
    /// Time when the engine accepted the load.
    pub ordered_ms: u64,
    /// Time from which the engine listed the model.
    pub from_ms: u64,
    /// Time when the engine accepted the unload; none if it accepted none.
    pub until_ms: Option<u64>,
}

/// How often a soak met the cases that the invariants of this module are about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadCoverage {
    /// Losses of lease holders.
    pub losses: usize,
    /// Refusals for want of room that are judged.
    pub judged_refusals: usize,
    /// Models that were loaded again at an engine.
    pub swaps: usize,
    /// Shortest time from the end of a load to the next load of the model at the engine.
    pub shortest_swap_ms: Option<u64>,
}

/// Returns how often a soak met the cases of these invariants.
pub fn load_coverage(record: &Record) -> LoadCoverage {
    let checker = Checker::new(record);
    let swaps = swaps(record);
    LoadCoverage {
        losses: checker.holder_losses_ms().len(),
        judged_refusals: checker.judged_refusals().count(),
        swaps: swaps.len(),
        shortest_swap_ms: swaps.iter().map(|(_, took_ms)| *took_ms).min(),
    }
}

/// Returns the models that were loaded again at an engine, with the time from the end of the load
/// before to the next.
fn swaps(record: &Record) -> Vec<(&ResidenceSeen, u64)> {
    let mut by_place: BTreeMap<(&str, &str), Vec<&ResidenceSeen>> = BTreeMap::new();
    for residence in &record.residences {
        let place = (residence.upstream.as_str(), residence.model.as_str());
        by_place.entry(place).or_default().push(residence);
    }
    let mut swaps = Vec::new();
    for residences in by_place.values() {
        let pairs = residences.windows(2);
        swaps.extend(pairs.map(|pair| (pair[0], pair[1].ordered_ms - pair[0].from_ms)));
    }
    swaps
}

impl Checker<'_> {
    pub fn check_turns(&self, found: &mut Vec<Violation>) {
        for (residence, took_ms) in swaps(self.record) {
            if took_ms < TURN_MS {
                let detail = format!(
                    "{} listed {} from {} ms, unloaded it at {:?} ms and loaded it again after \
                     {took_ms} ms",
                    residence.upstream, residence.model, residence.from_ms, residence.until_ms
                );
                found.push(violation(Invariant::TurnsKept, detail));
            }
        }
    }

    pub fn check_urgency(&self, found: &mut Vec<Violation>) {
        let refused: Vec<&Attempt> = self.judged_refusals().collect();
        for refused in refused {
            let mut arrivals = self.record.arrivals.iter();
            let overtaking = arrivals.find(|arrival| self.overtakes(arrival, refused));
            if let Some(arrival) = overtaking {
                let detail = format!(
                    "{} of rank {} for {:?}, sent to vm{} at {} ms, was refused at {} ms ({:?}); \
                     {} came later and reached {} at {} ms",
                    refused.id,
                    refused.rank,
                    refused.model,
                    refused.vm,
                    refused.sent_ms,
                    refused.ended_ms,
                    refused.refusal,
                    arrival.id,
                    arrival.upstream,
                    arrival.at_ms
                );
                found.push(violation(Invariant::UrgentFirst, detail));
            }
        }
    }

    pub fn check_reopenings(&self, found: &mut Vec<Violation>) {
        let losses_ms = self.holder_losses_ms();
        let refused: Vec<&Attempt> = self.judged_refusals().collect();
        for refused in refused {
            let residences = self.record.residences.iter();
            let mut residences =
                residences.filter(|it| Some(it.model.as_str()) == refused.model.as_deref());
            let closed = residences.find_map(|residence| {
                let mut losses_ms = losses_ms.iter().rev();
                losses_ms.find_map(|lost_ms| {
                    let from_ms = residence.from_ms.max(*lost_ms);
                    self.is_closed(residence, from_ms, refused)
                        .then_some((residence, *lost_ms))
                })
            });
            if let Some((residence, lost_ms)) = closed {
                let detail = format!(
                    "{} refused at {} ms ({:?}) while {}, which listed {} from {} ms, got no \
                     requests for it since the lease holder was lost at {lost_ms} ms",
                    refused.id,
                    refused.ended_ms,
                    refused.refusal,
                    residence.upstream,
                    residence.model,
                    residence.from_ms
                );
                found.push(violation(Invariant::EnginesReopen, detail));
            }
        }
    }

    /// Returns the times when a VM was lost that had given the last order before.
    fn holder_losses_ms(&self) -> Vec<u64> {
        let mut losses_ms = Vec::new();
        for disturbance in &self.record.disturbances {
            let Place::Vm(vm) = disturbance.place else {
                continue;
            };
            let mut orders = self.record.order_times.iter().rev();
            let last = orders.find(|(at_ms, _)| *at_ms < disturbance.from_ms);
            let is_loss = [KILL, KILL_ALL, PAUSE, STOP].contains(&disturbance.what.as_str());
            if is_loss && last.is_some_and(|(_, holder)| *holder == format!("vm{vm}")) {
                losses_ms.push(disturbance.from_ms);
            }
        }
        losses_ms.sort_unstable();
        losses_ms
    }

    /// Returns the refusals for want of room of requests that no engine ran, at undisturbed VMs.
    fn judged_refusals(&self) -> impl Iterator<Item = &Attempt> {
        let attempts = self.record.attempts.iter();
        attempts.filter(|it| {
            let reason = it.refusal.as_deref().unwrap_or_default();
            let from_ms = it.sent_ms.saturating_sub(UNDISTURBED_MS);
            WANT_OF_ROOM.contains(&reason)
                && self.is_comparable(it)
                && self.run_count(&it.id) == 0
                && !self.disturbs_vm(it.vm, from_ms, it.ended_ms)
                && !self.disturbs_links(it.vm, from_ms, it.ended_ms)
        })
    }

    /// Returns whether any engine with its model can serve a request: it begins a stream, with a
    /// key. Copies of a request wait for each other once engines have crashed under one, as do
    /// those that crash engines, so only requests with a body of their own are judged.
    fn is_comparable(&self, attempt: &Attempt) -> bool {
        let mut crashers = self.record.crasher_ids.iter();
        attempt.model.is_some()
            && attempt.has_own_body
            && attempt.after_event == 0
            && matches!(attempt.presented, Presented::Key(_))
            && !crashers.any(|(id, _)| *id == attempt.id)
    }

    /// Returns whether a request came later to the VM that refused another, was less urgent, named
    /// the same model, and was sent before the refusal.
    fn overtakes(&self, arrival: &ArrivalSeen, refused: &Attempt) -> bool {
        let is_pending = arrival.at_ms > refused.sent_ms && arrival.at_ms < refused.ended_ms;
        is_pending
            && self.attempts.get(arrival.id.as_str()).is_some_and(|other| {
                other.vm == refused.vm
                    && other.model == refused.model
                    && other.rank > refused.rank
                    && other.sent_ms > refused.sent_ms + SENDING_MS
                    && self.is_comparable(other)
            })
    }

    /// Returns whether an engine got no request for a model that it listed, from a time until a
    /// request for the model was refused after the deadline, though nothing kept it from serving.
    fn is_closed(&self, residence: &ResidenceSeen, from_ms: u64, refused: &Attempt) -> bool {
        let until_ms = refused.ended_ms;
        let is_due = until_ms > from_ms + REOPEN_DEADLINE_MS + SCHEDULING_SLACK_MS;
        let is_listed = residence.until_ms.is_none_or(|end_ms| end_ms > until_ms);
        is_due && is_listed && self.is_ready(&residence.upstream, from_ms, until_ms) && {
            let model = Some(residence.model.as_str());
            let at_engine = self.record.arrivals.iter().filter(|it| {
                it.upstream == residence.upstream && it.at_ms >= from_ms && it.at_ms <= until_ms
            });
            let (mut for_model, mut recent) = (0, 0);
            for arrival in at_engine {
                let attempt = self.attempts.get(arrival.id.as_str());
                let named = attempt.and_then(|it| it.model.as_deref());
                let base = named.and_then(|name| name.split('/').next());
                for_model += usize::from(base == model);
                recent += usize::from(arrival.at_ms + BUSY_MS >= until_ms);
            }
            for_model == 0 && recent < BUSY_REQUESTS
        }
    }

    /// Returns whether an engine served throughout a time, and said and did nothing that keeps VMs
    /// from sending it requests.
    fn is_ready(&self, upstream: &str, from_ms: u64, until_ms: u64) -> bool {
        let record = self.record;
        let since_ms = from_ms.saturating_sub(UNDISTURBED_MS);
        let overlaps = |begin_ms: u64, end_ms: u64| begin_ms <= until_ms && end_ms >= since_ms;
        let mut times = record.engine_times.iter();
        let serves = times.any(|it| {
            it.upstream == upstream
                && it.from_ms <= from_ms
                && it.until_ms.is_none_or(|end_ms| end_ms > until_ms)
        });
        let mut breaks = record.link_breaks.iter();
        let mut silences = record.silences.iter();
        let mut limits = record.stated_limits.iter();
        let mut leaves = record.stated_leaves.iter();
        let mut rests = record.rests.iter();
        let mut runs = record.runs.iter();
        let mut disturbances = record.disturbances.iter();
        serves
            && !breaks.any(|it| it.upstream == upstream && overlaps(it.from_ms, it.until_ms))
            && !silences.any(|it| it.upstream == upstream && overlaps(it.from_ms, it.until_ms))
            && !limits.any(|it| it.upstream == upstream && overlaps(it.from_ms, it.until_ms))
            && !leaves.any(|it| it.upstream == upstream && it.from_ms <= until_ms)
            && !rests.any(|it| it.upstream == upstream && overlaps(it.at_ms, it.at_ms + it.rest_ms))
            && !runs.any(|it| {
                it.upstream == upstream && it.fault.is_some() && overlaps(it.at_ms, it.at_ms)
            })
            && !disturbances.any(|it| it.what == ROLLBACK && overlaps(it.from_ms, it.until_ms))
    }
}
