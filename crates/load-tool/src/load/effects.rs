//! Violations of the system's invariants, counted from the effects on stand-ins and from the
//! callers' records.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use apricotdale_launcher::cluster::Cluster;
use apricotdale_launcher::cluster::LOG;
use apricotdale_launcher::cluster::records;
use apricotdale_launcher::standin::EngineEffects;
use apricotdale_launcher::standin::ServiceEffects;

use crate::errors::Result;
use crate::load::caller_retries::NOT_RUN;
use crate::load::client::call_name;
use crate::load::client::idempotency_key;
use crate::load::record::Ending;
use crate::load::record::Record;
use crate::load::schedule::PlannedRequest;
use crate::load::schedule::Work;

/// Effects counted by the stand-ins until the end of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Effects {
    /// Effects on each engine.
    pub engines: Vec<EngineEffects>,
    /// Effects on each instance of the plain service.
    pub services: Vec<ServiceEffects>,
    /// Number of loads that the load tool itself ordered before the run, by model.
    pub loads_before: BTreeMap<String, u64>,
    /// Number of loads accepted by replay of the control stream, by model.
    pub loads_decided: BTreeMap<String, u64>,
}

/// VM killed during the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KilledVm {
    /// Index of the VM.
    pub vm: usize,
    /// Time just before the kill, since the start of the run.
    pub from: Duration,
    /// Time at which the process had ended, since the start of the run.
    pub to: Duration,
}

/// Number of violations of each invariant. All of them are zero in a correct run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Cut orders that a service executed more than once.
    pub calls_run_again: u64,
    /// Loads that an engine began without enough free memory.
    pub overcommitted: u64,
    /// Loads executed by engines beyond those accepted by replay of the control stream.
    pub loads_above_decided: u64,
    /// Answers that began and ended incomplete.
    pub answers_cut: u64,
    /// Answers with a part that belongs to another request, or with a part missing.
    pub answers_foreign: u64,
    /// Requests that ended with neither an answer nor a refusal.
    pub answers_missing: u64,
    /// Requests refused with the statement that they did not run, although they did.
    pub untrue_refusals: u64,
    /// Answers that are neither successes nor refusals by the system; no stand-in sends these.
    pub answers_strange: u64,
}

impl Effects {
    /// Reads the counts from the stand-ins and the control stream of a cluster.
    ///
    /// # Errors
    ///
    /// If a stand-in can't be reached.
    pub fn read(cluster: &Cluster, loads_before: BTreeMap<String, u64>) -> Result<Self> {
        let engines = engine_effects(cluster)?;
        let services = cluster
            .services()
            .into_iter()
            .map(|(_, service)| service.effects())
            .collect::<apricotdale_launcher::Result<Vec<ServiceEffects>>>()?;
        Ok(Self {
            engines,
            services,
            loads_before,
            loads_decided: loads_decided(cluster)?,
        })
    }

    /// Returns the number of loads accepted by replay of the control stream.
    pub fn decided_loads(&self) -> u64 {
        self.loads_decided.values().sum()
    }

    /// Returns the number of loads that engines executed during the run, without those before it.
    pub fn loads_done(&self) -> u64 {
        let before: u64 = self.loads_before.values().sum();
        self.loads().values().sum::<u64>().saturating_sub(before)
    }

    fn loads(&self) -> BTreeMap<String, u64> {
        sums(self.engines.iter().flat_map(|engine| &engine.loads))
    }
}

impl Violations {
    /// Counts the violations of a run. Answers lost with the killed VM are none.
    pub fn count(
        effects: &Effects,
        schedule: &[PlannedRequest],
        records: &[Record],
        killed: Option<KilledVm>,
    ) -> Self {
        let mut counted = Self {
            calls_run_again: calls_run_again(effects, schedule),
            overcommitted: effects.engines.iter().map(|one| one.overcommitted).sum(),
            loads_above_decided: loads_above_decided(effects),
            untrue_refusals: untrue_refusals(effects, records),
            ..Self::default()
        };
        for record in records {
            match &record.ending {
                _ if is_lost_with_vm(record, killed) => {}
                Ending::Cut(_) => counted.answers_cut += 1,
                Ending::Foreign(_) => counted.answers_foreign += 1,
                Ending::NoAnswer(_) => counted.answers_missing += 1,
                Ending::Strange(_) => counted.answers_strange += 1,
                Ending::Whole | Ending::Refused(_) => {}
            }
        }
        counted
    }

    /// Returns each count with its printed name.
    pub fn entries(&self) -> [(&'static str, u64); 8] {
        [
            ("calls_run_again", self.calls_run_again),
            ("overcommitted", self.overcommitted),
            ("loads_above_decided", self.loads_above_decided),
            ("answers_cut", self.answers_cut),
            ("answers_foreign", self.answers_foreign),
            ("answers_missing", self.answers_missing),
            ("untrue_refusals", self.untrue_refusals),
            ("answers_strange", self.answers_strange),
        ]
    }

    /// Returns whether there are no violations.
    pub fn is_empty(&self) -> bool {
        self.entries().iter().all(|(_, count)| *count == 0)
    }
}

/// Returns whether an answer was lost because its VM was killed while the request was in progress
/// there. No software on the VM can prevent that.
pub fn is_lost_with_vm(record: &Record, killed: Option<KilledVm>) -> bool {
    let was_there = |killed: KilledVm| {
        record.vm == killed.vm && record.sent <= killed.to && record.ended >= killed.from
    };
    record.ending.is_lost() && killed.is_some_and(was_there)
}

/// Returns the number of loads that the engines have executed so far, by model.
///
/// # Errors
///
/// If an engine can't be reached.
pub fn loads_by_model(cluster: &Cluster) -> Result<BTreeMap<String, u64>> {
    let engines = engine_effects(cluster)?;
    Ok(sums(engines.iter().flat_map(|engine| &engine.loads)))
}

fn engine_effects(cluster: &Cluster) -> Result<Vec<EngineEffects>> {
    let mut effects = Vec::new();
    for (_, engine) in cluster.engines() {
        effects.push(engine.effects()?);
    }
    Ok(effects)
}

fn loads_decided(cluster: &Cluster) -> Result<BTreeMap<String, u64>> {
    let log = cluster.standin(LOG)?;
    let loads_decided = records::decided_loads(log)?;
    let mut counts = BTreeMap::new();
    for (offset, intent) in records::load_intents(log)? {
        if loads_decided.contains(&offset) {
            *counts.entry(intent.model.to_string()).or_default() += 1;
        }
    }
    Ok(counts)
}

fn calls_run_again(effects: &Effects, schedule: &[PlannedRequest]) -> u64 {
    let by_call = sums(effects.services.iter().flat_map(|one| &one.calls));
    let by_key = sums(effects.services.iter().flat_map(|one| &one.keys));
    let mut calls = BTreeSet::new();
    for planned in schedule {
        let Work::CutOrder { order, keyed } = planned.work else {
            continue;
        };
        let ran = count(&by_call, &call_name(&planned.work));
        let ran_under_key = count(&by_key, &idempotency_key(order));
        if ran > 1 || (keyed && ran_under_key > 1) {
            calls.insert(order);
        }
    }
    calls.len() as u64
}

fn loads_above_decided(effects: &Effects) -> u64 {
    let loads = effects.loads();
    let above = loads.iter().map(|(model, loads)| {
        let expected = count(&effects.loads_before, model) + count(&effects.loads_decided, model);
        loads.saturating_sub(expected)
    });
    above.sum()
}

fn untrue_refusals(effects: &Effects, records: &[Record]) -> u64 {
    let at_engines = effects.engines.iter().flat_map(|one| one.requests.keys());
    let at_services = effects.services.iter().flat_map(|one| one.requests.keys());
    let ran: BTreeSet<&String> = at_engines.chain(at_services).collect();
    let untrue = records.iter().filter(|record| {
        let refusal = record.ending.refusal();
        refusal.is_some_and(|refusal| refusal.ran == NOT_RUN) && ran.contains(&record.identity)
    });
    untrue.count() as u64
}

fn sums<'a>(counts: impl Iterator<Item = (&'a String, &'a u64)>) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for (name, count) in counts {
        *sums.entry(name.clone()).or_default() += count;
    }
    sums
}

fn count(counts: &BTreeMap<String, u64>, name: &str) -> u64 {
    counts.get(name).copied().unwrap_or_default()
}
