//! Metrics of an entry VM: counters, gauges and latency histograms.

mod registration;

use std::collections::HashSet;
use std::sync::Arc;

use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::metric_labels::CallLabels;
use crate::metric_labels::OrganisationLabel;
use crate::metric_labels::RankLabel;
use crate::metric_labels::RankLabels;
use crate::metric_labels::Reason;

/// Maximum number of organisations with labels of their own, and the label of all others.
const MAX_ORGANISATIONS: usize = 64;

/// Largest rank with a label of its own. Less urgent ones count under it.
const MAX_RANK_LABEL: u32 = 15;
const OTHER_ORGANISATIONS: &str = "other";

/// Maximum number of ranks with labels of their own, and the label of the less urgent ones.
const MAX_RANKS: u8 = 16;
const OTHER_RANKS: &str = "other";

/// Metrics of an entry VM. No label identifies a request or a caller.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    registry: Registry,
    requests: Family<Reason, Counter>,
    refusals: Family<Reason, Counter>,
    unanswered: Family<Reason, Counter>,
    failed_attempts: Family<Reason, Counter>,
    path_failures: Family<Reason, Counter>,
    mismatches: Family<Reason, Counter>,
    paused_answers: Counter,
    calls: Family<CallLabels, Counter>,
    orders: Family<CallLabels, Counter>,
    takeovers: Counter,
    process_pauses: Counter,
    foreign_entries: Counter,
    lapsed_upstreams: Counter,
    store_reads_bytes: Family<Reason, Counter>,
    discarded_reads_bytes: Family<Reason, Counter>,
    store_rollbacks: Counter,
    learned_states: Family<Reason, Counter>,
    learned_state_writes: Family<Reason, Counter>,
    answers_of_earlier_eras: Family<Reason, Counter>,
    list_repairs: Counter,
    unresponsive_engines: Counter,
    notices: Family<Reason, Counter>,
    crashed_upstreams: Counter,
    new_blocks: Counter,
    first_answer_ms: Histogram,
    wait_ms: Histogram,
    plan_ms: Histogram,
    gap_ms: Histogram,
    pub active: Gauge,
    pub callers: Gauge,
    pub outbound: Gauge,
    pub dropped_lines: Gauge,
    pub blocked: Gauge,
    pub suspects: Gauge,
    pub on_probation: Gauge,
    pub store_loads: Gauge,
    pub store_loads_allowed: Gauge,
    pub limited_upstreams: Gauge,
    pub rejection_limited_upstreams: Gauge,
    pub resting_upstreams: Gauge,
    pub lost_paths: Gauge,
    pub relayed_paths: Gauge,
    pub relayed_connections: Gauge,
    relays: Family<Reason, Counter>,
    pub configuration_version: Gauge,
    pub newest_configuration_version: Gauge,
    pub configuration_outdated_ms: Gauge,
    pub configuration_unconfirmed: Gauge,
    unconfirmed_starts: Counter,
    trials: Counter,
    waited_for_owner: Counter,
    permits: Family<Reason, Counter>,
    limited_rejections: Family<Reason, Counter>,
    rejected_checks: Family<Reason, Counter>,
    resumptions: Family<Reason, Counter>,
    pub stream_origins: Gauge,
    pub dropped_origins: Gauge,
    over_limit: Family<OrganisationLabel, Counter>,
    over_limit_by_rank: Family<RankLabels, Counter>,
    rank_refusals: Family<RankLabel, Counter>,
    pub lowest_rank_permille: Gauge,
    pub uneven_engines: Gauge,
    /// Organisations that have labels of their own.
    organisations: HashSet<Arc<str>>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let buckets = || {
            [
                5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1_600.0, 3_200.0, 6_400.0,
            ]
        };
        let mut metrics = Self {
            registry: Registry::with_prefix("apricotdale"),
            requests: Family::default(),
            refusals: Family::default(),
            unanswered: Family::default(),
            failed_attempts: Family::default(),
            path_failures: Family::default(),
            mismatches: Family::default(),
            paused_answers: Counter::default(),
            calls: Family::default(),
            orders: Family::default(),
            takeovers: Counter::default(),
            process_pauses: Counter::default(),
            foreign_entries: Counter::default(),
            lapsed_upstreams: Counter::default(),
            store_reads_bytes: Family::default(),
            discarded_reads_bytes: Family::default(),
            store_rollbacks: Counter::default(),
            learned_states: Family::default(),
            learned_state_writes: Family::default(),
            answers_of_earlier_eras: Family::default(),
            list_repairs: Counter::default(),
            unresponsive_engines: Counter::default(),
            notices: Family::default(),
            crashed_upstreams: Counter::default(),
            new_blocks: Counter::default(),
            first_answer_ms: Histogram::new(buckets()),
            wait_ms: Histogram::new(buckets()),
            plan_ms: Histogram::new(buckets()),
            gap_ms: Histogram::new(buckets()),
            active: Gauge::default(),
            callers: Gauge::default(),
            outbound: Gauge::default(),
            dropped_lines: Gauge::default(),
            blocked: Gauge::default(),
            suspects: Gauge::default(),
            on_probation: Gauge::default(),
            store_loads: Gauge::default(),
            store_loads_allowed: Gauge::default(),
            limited_upstreams: Gauge::default(),
            rejection_limited_upstreams: Gauge::default(),
            resting_upstreams: Gauge::default(),
            lost_paths: Gauge::default(),
            relayed_paths: Gauge::default(),
            relayed_connections: Gauge::default(),
            relays: Family::default(),
            configuration_version: Gauge::default(),
            newest_configuration_version: Gauge::default(),
            configuration_outdated_ms: Gauge::default(),
            configuration_unconfirmed: Gauge::default(),
            unconfirmed_starts: Counter::default(),
            trials: Counter::default(),
            waited_for_owner: Counter::default(),
            permits: Family::default(),
            limited_rejections: Family::default(),
            rejected_checks: Family::default(),
            resumptions: Family::default(),
            stream_origins: Gauge::default(),
            dropped_origins: Gauge::default(),
            over_limit: Family::default(),
            over_limit_by_rank: Family::default(),
            rank_refusals: Family::default(),
            lowest_rank_permille: Gauge::default(),
            uneven_engines: Gauge::default(),
            organisations: HashSet::new(),
        };
        metrics.register();
        metrics
    }
}

impl EntryMetrics {
    /// Counts a request by how it ended.
    pub fn ended(&self, how: &str) {
        count(&self.requests, how);
    }

    pub fn refused(&self, reason: &str) {
        count(&self.refusals, reason);
    }

    /// Counts a request that was read whole and ends without a complete answer.
    pub fn unanswered(&self, reason: &str) {
        count(&self.unanswered, reason);
    }

    /// Counts an answer that could not continue what the caller had received.
    pub fn mismatch(&self, reason: &str) {
        count(&self.mismatches, reason);
    }

    /// Counts a pause of reading from an upstream because a caller is slow.
    pub fn paused_answer(&self) {
        self.paused_answers.inc();
    }

    /// Counts a failed attempt.
    pub fn failed_attempt(&self, reason: &str) {
        count(&self.failed_attempts, reason);
    }

    /// Counts a failed connection of this VM to an upstream.
    pub fn path_failure(&self, kind: &str) {
        count(&self.path_failures, kind);
    }

    /// Counts a connection that another VM wants relayed, by what became of it.
    pub fn relay(&self, outcome: &str) {
        count(&self.relays, outcome);
    }

    /// Counts a call by its outcome.
    pub fn call(&self, call: &str, outcome: &str) {
        count_outcome(&self.calls, call, outcome);
    }

    /// Counts an order by its outcome.
    pub fn order(&self, kind: &str, outcome: &str) {
        count_outcome(&self.orders, kind, outcome);
    }

    /// Counts a takeover of the lease by this VM.
    pub fn takeover(&self) {
        self.takeovers.inc();
    }

    /// Counts an entry that names no usable upstream.
    pub fn foreign_entry(&self) {
        self.foreign_entries.inc();
    }

    /// Counts an upstream that stays in use although its entry has vanished.
    pub fn lapsed_upstream(&mut self) {
        self.lapsed_upstreams.inc();
    }

    /// Counts the bytes of a store answer.
    pub fn store_read(&mut self, call: &str, bytes: usize) {
        count_by(&self.store_reads_bytes, call, bytes as u64);
    }

    /// Counts the received bytes of a store answer that is abandoned before its end.
    pub fn discarded_read(&self, call: &str, bytes: usize) {
        count_by(&self.discarded_reads_bytes, call, bytes as u64);
    }

    /// Records the duration of one round of planning.
    pub fn planned(&mut self, took_ms: u64) {
        self.plan_ms.observe(took_ms as f64);
    }

    /// Counts a rollback of the store.
    pub fn store_rolled_back(&self) {
        self.store_rollbacks.inc();
    }

    /// Counts a term as lease holder by whether the learned state of the former holder was restored,
    /// or why it was not.
    pub fn learned_state(&self, outcome: &str) {
        count(&self.learned_states, outcome);
    }

    /// Counts a write of the learned state by its outcome.
    pub fn learned_state_write(&self, outcome: &str) {
        count(&self.learned_state_writes, outcome);
    }

    /// Counts a store answer that is from before a rollback.
    pub fn answer_of_earlier_era(&self, call: &str) {
        count(&self.answers_of_earlier_eras, call);
    }

    /// Counts a read of the upstream list because it differed from the announced one.
    pub fn list_repair(&mut self) {
        self.list_repairs.inc();
    }

    /// Counts an answer in which an upstream states that it leaves or wants rest.
    pub fn notice(&self, kind: &str) {
        count(&self.notices, kind);
    }

    /// Counts an engine that became unresponsive.
    pub fn unresponsive_engine(&self) {
        self.unresponsive_engines.inc();
    }

    /// Counts an upstream that crashed while requests of this VM were in progress there.
    pub fn crashed_upstream(&self) {
        self.crashed_upstreams.inc();
    }

    /// Counts a trial run of a request on probation.
    pub fn trial(&self) {
        self.trials.inc();
    }

    /// Counts a request that waits for the quota owner.
    pub fn waited_for_owner(&self) {
        self.waited_for_owner.inc();
    }

    /// Counts a request that an upstream with a limit on rejections rejected, by whether this VM knew
    /// the limit when it sent the request.
    pub fn limited_rejection(&self, was_known: bool) {
        let reason = match was_known {
            true => "limit_known",
            false => "limit_unknown",
        };
        count(&self.limited_rejections, reason);
    }

    /// Counts a health check that an upstream rejected, by whether it was known to have a limit on
    /// rejections.
    pub fn rejected_check(&self, has_limit: bool) {
        let reason = match has_limit {
            true => "limited",
            false => "unlimited",
        };
        count(&self.rejected_checks, reason);
    }

    /// Counts a permit for an upstream that states a rate limit, as requested, granted or denied.
    pub fn permit(&self, outcome: &str) {
        count(&self.permits, outcome);
    }

    /// Counts a stream that its caller resumes, by how its origin was found or why it was not.
    pub fn resumption(&self, evidence: &str) {
        count(&self.resumptions, evidence);
    }

    /// Counts a request that was refused because of its organisation's limit. `has_turn` is whether
    /// units are kept for its return.
    pub fn over_limit(&mut self, organisation: &Arc<str>, rank: u32, has_turn: bool) {
        let labels = RankLabels {
            rank: rank.min(MAX_RANK_LABEL),
            has_turn: has_turn.to_string(),
        };
        self.over_limit_by_rank.get_or_create(&labels).inc();
        let is_known = self.organisations.contains(organisation);
        if !is_known && self.organisations.len() < MAX_ORGANISATIONS {
            self.organisations.insert(organisation.clone());
        }
        let organisation = match self.organisations.contains(organisation) {
            true => organisation.to_string(),
            false => OTHER_ORGANISATIONS.to_owned(),
        };
        let label = OrganisationLabel { organisation };
        self.over_limit.get_or_create(&label).inc();
    }

    /// Counts a request that was refused because its rank's share was used up.
    pub fn rank_refusal(&self, rank: u8) {
        let rank = match rank < MAX_RANKS {
            true => rank.to_string(),
            false => OTHER_RANKS.to_owned(),
        };
        self.rank_refusals.get_or_create(&RankLabel { rank }).inc();
    }

    /// Counts a request that this VM judged to crash upstreams.
    pub fn new_block(&self) {
        self.new_blocks.inc();
    }

    /// Counts a start of this VM without evidence that its configuration is in force.
    pub fn started_unconfirmed(&self) {
        self.unconfirmed_starts.inc();
    }

    /// Counts a pause of this process.
    pub fn process_paused(&self) {
        self.process_pauses.inc();
    }

    /// Records the time from arrival to the first part of the answer.
    pub fn first_answer(&self, took_ms: u64) {
        self.first_answer_ms.observe(took_ms as f64);
    }

    /// Records the time from arrival to the first attempt.
    pub fn waited(&self, took_ms: u64) {
        self.wait_ms.observe(took_ms as f64);
    }

    /// Records the time between two parts of an answer.
    pub fn gap(&self, gap_ms: u64) {
        self.gap_ms.observe(gap_ms as f64);
    }

    /// Encodes the metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing to a string does not fail");
        text
    }
}

fn count(family: &Family<Reason, Counter>, reason: &str) {
    count_by(family, reason, 1);
}

fn count_by(family: &Family<Reason, Counter>, reason: &str, by: u64) {
    let reason = reason.to_owned();
    family.get_or_create(&Reason { reason }).inc_by(by);
}

fn count_outcome(family: &Family<CallLabels, Counter>, call: &str, outcome: &str) {
    let labels = CallLabels {
        call: call.to_owned(),
        outcome: outcome.to_owned(),
    };
    family.get_or_create(&labels).inc();
}
