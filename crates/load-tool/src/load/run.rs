//! One load run: starts the processes, sends the schedule, injects the faults and measures.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use serde_json::json;

use apricotdale_admin::PublishOutcome;
use apricotdale_launcher::cluster::Cluster;
use apricotdale_launcher::cluster::LOG;
use apricotdale_launcher::cluster::options::ClusterOptions;
use apricotdale_launcher::poll::MAX_POLLS;
use apricotdale_launcher::poll::poll_until;
use apricotdale_launcher::processes::Processes;
use apricotdale_policy_replay::deployment::Deployment;
use apricotdale_policy_replay::trace::Trace;
use apricotdale_policy_replay::trace::trace;

use crate::errors::Error;
use crate::errors::Result;
use crate::load::balancer::Balancer;
use crate::load::caller_retries::CallerRetries;
use crate::load::case::Case;
use crate::load::case::Fault;
use crate::load::client::Catalog;
use crate::load::client::Client;
use crate::load::clock::RunClock;
use crate::load::cluster_options::PolicyChoice;
use crate::load::cluster_options::cluster_options;
use crate::load::cluster_options::edits;
use crate::load::daemon_counts::DaemonCounts;
use crate::load::driver::Lateness;
use crate::load::driver::drive;
use crate::load::driver::lateness;
use crate::load::effects::Effects;
use crate::load::effects::KilledVm;
use crate::load::effects::Violations;
use crate::load::effects::loads_by_model;
use crate::load::host_caches;
use crate::load::measures::Evaluation;
use crate::load::measures::Results;
use crate::load::measures::RunData;
use crate::load::monitor::Monitor;
use crate::load::monitor::MonitorTargets;
use crate::load::monitor::Samples;
use crate::load::options::LoadOptions;
use crate::load::record::Ending;
use crate::load::record::Record;
use crate::load::scale::Scale;
use crate::load::schedule::PlannedRequest;
use crate::load::schedule::schedule;
use crate::process_cost::load_average;

/// Index of the VM killed in the case `vm-killed`.
const KILLED_VM: usize = 1;

/// Delay beyond which a request counts as sent late.
const TOLERATED_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of different bad endings in a report.
const MAX_SHOWN_ENDINGS: usize = 5;

/// Outcome of one run.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// Measured values.
    pub results: Results,
    /// Number of violations of each invariant.
    pub violations: Violations,
    /// Some of the endings that are neither complete answers nor refusals, with their counts. They
    /// include answers lost with a killed VM, which are no violations.
    pub bad_endings: Vec<String>,
    /// Models that were requested but not loaded before the end, with the number of measured
    /// requests that found them not loaded.
    pub never_loaded: BTreeMap<String, u32>,
    /// Delay of the load tool itself against its schedule.
    pub lateness: Lateness,
    /// Number of requests sent, with those of the warm-up and retries by callers.
    pub sent: usize,
    /// Load average of the machine over one minute, before and after the run.
    pub load_average: (f32, f32),
    /// Peak resident memory of all processes together, in bytes.
    pub peak_resident_bytes: u64,
    /// Peak number of processes, the load tool included.
    pub peak_processes: usize,
}

/// One run of a case, with its requests drawn in advance.
#[derive(Debug)]
pub struct Run<'a> {
    deployment: &'a Deployment,
    options: &'a LoadOptions,
    case: Case,
    scale: Scale,
    trace: Trace,
    schedule: Arc<Vec<PlannedRequest>>,
}

/// Counts and faults collected by the thread that injects the faults.
#[derive(Debug, Default)]
struct InjectionOutcome {
    counts: DaemonCounts,
    killed: Option<KilledVm>,
}

/// Action of the thread that injects the faults.
#[derive(Clone, Copy, Debug)]
enum Step {
    BeginMeasuring,
    Fault(Fault),
    EndMeasuring,
}

impl<'a> Run<'a> {
    /// Draws the requests of a run without sending any.
    pub fn new(deployment: &'a Deployment, options: &'a LoadOptions, case: Case) -> Self {
        let scale = Scale::new(options);
        let until_ms = scale.trace_at_ms(1.0) as u64;
        let surge = case.surge(deployment, &scale);
        let trace = trace(deployment, options.seed, until_ms, surge);
        let schedule = Arc::new(schedule(&trace, &scale, options));
        Self {
            deployment,
            options,
            case,
            scale,
            trace,
            schedule,
        }
    }

    /// Executes the run with a set of policies. `prepare` receives the handle of the processes
    /// before any of them starts.
    ///
    /// # Errors
    ///
    /// If the processes can't be started or reached, or use more than half of the machine's memory.
    pub fn execute(
        &self,
        policies: PolicyChoice,
        prepare: impl FnOnce(&Processes),
    ) -> Result<RunReport> {
        let load_before = load_average()?;
        let log_dir = self.options.log_dir.as_ref();
        let options = ClusterOptions {
            log_dir: log_dir.map(|dir| dir.join(self.case.as_str()).join(policies.as_str())),
            ..cluster_options(self.deployment, &self.scale, self.options, policies)
        };
        let mut cluster = Cluster::start(options, prepare)?;
        host_caches::fill(&cluster, &self.trace, self.options.seed)?;
        self.set_service_times(&cluster)?;
        self.publish(&cluster)?;
        let loads_before = loads_by_model(&cluster)?;
        let memory_exceeded = Arc::new(AtomicBool::new(false));
        let clock = RunClock::start();
        let monitor = Monitor::start(monitor_targets(&cluster, clock, &memory_exceeded))?;
        let (records, outcome) = self.send_with_faults(&mut cluster, clock, &memory_exceeded)?;
        let samples = monitor.end()?;
        if memory_exceeded.load(Ordering::Relaxed) {
            return Err(Error::failed(
                "the processes used more than half of the machine's memory",
            ));
        }
        let load_after = load_average()?;
        let effects = Effects::read(&cluster, loads_before)?;
        cluster.stop();
        Ok(self.report(
            records,
            outcome,
            effects,
            samples,
            (load_before, load_after),
        ))
    }

    fn report(
        &self,
        records: Vec<Record>,
        outcome: InjectionOutcome,
        effects: Effects,
        samples: Samples,
        load_average: (f32, f32),
    ) -> RunReport {
        let data = RunData {
            schedule: self.schedule.to_vec(),
            records,
            timeline: samples.timeline,
            effects,
            counts: outcome.counts,
            killed: outcome.killed,
        };
        let evaluation = Evaluation::new(self.deployment, &self.trace, &self.scale, &data);
        RunReport {
            results: evaluation.results(),
            violations: evaluation.violations(),
            bad_endings: bad_endings(&data.records),
            never_loaded: evaluation
                .never_loaded()
                .into_iter()
                .map(|(model, requests)| (model.to_owned(), requests))
                .collect(),
            lateness: lateness(&data.schedule, &data.records, TOLERATED_DELAY),
            sent: data.records.len(),
            load_average,
            peak_resident_bytes: samples.peak_resident_bytes,
            peak_processes: samples.peak_processes,
        }
    }

    fn set_service_times(&self, cluster: &Cluster) -> Result<()> {
        let delay_ms = self.scale.time_ms(self.deployment.service.run_ms);
        let slow = json!({"mode": "slow", "count": null, "delay_ms": delay_ms});
        for (_, service) in cluster.services() {
            service.fault(&slow)?;
        }
        Ok(())
    }

    fn publish(&self, cluster: &Cluster) -> Result<()> {
        let vms = cluster.vm_names();
        let edits = edits(self.deployment, &self.trace, &self.scale);
        let outcome = cluster.publish(&vms[0], edits)?;
        let PublishOutcome::Accepted { version } = outcome else {
            return Err(Error::failed(format!(
                "the configuration was not accepted: {outcome:?}"
            )));
        };
        let condition = "the configuration is in force on all VMs";
        let in_force = poll_until(condition, MAX_POLLS, || {
            for vm in &vms {
                let config = cluster.admin(vm)?.config();
                if config.is_ok_and(|config| config.version == version) {
                    continue;
                }
                return Ok(None);
            }
            Ok(Some(()))
        });
        Ok(in_force?)
    }

    /// Sends the schedule and injects the faults at the same time.
    fn send_with_faults(
        &self,
        cluster: &mut Cluster,
        clock: RunClock,
        memory_exceeded: &AtomicBool,
    ) -> Result<(Vec<Record>, InjectionOutcome)> {
        let mut addresses = Vec::new();
        for vm in cluster.vm_names() {
            addresses.push(cluster.vm(&vm)?.addresses.callers);
        }
        let balancer = Arc::new(Balancer::new(addresses));
        let client = Client::new(Arc::clone(&balancer), clock, Arc::new(self.catalog()));
        let threads = self.options.client_threads;
        let caller_retries = CallerRetries::new(&self.scale);
        thread::scope(|scope| {
            let driver = scope.spawn(|| {
                drive(
                    &client,
                    clock,
                    &self.schedule,
                    caller_retries,
                    threads,
                    memory_exceeded,
                )
            });
            let outcome = self.run_steps(cluster, clock, &balancer);
            let records = driver.join();
            let records = records.map_err(|_| Error::failed("the driver thread panicked"))?;
            Ok((records?, outcome?))
        })
    }

    fn catalog(&self) -> Catalog {
        let models = self.trace.models.iter().map(|one| one.model.to_string());
        let classes = self.deployment.classes.iter();
        Catalog {
            models: models.collect(),
            classes: classes.map(|class| class.class.to_string()).collect(),
            service: self.deployment.service.group.to_string(),
        }
    }

    fn run_steps(
        &self,
        cluster: &mut Cluster,
        clock: RunClock,
        balancer: &Balancer,
    ) -> Result<InjectionOutcome> {
        let mut steps = vec![
            (self.scale.moment(0.0), Step::BeginMeasuring),
            (self.scale.moment(1.0), Step::EndMeasuring),
        ];
        let faults = self.case.faults(&self.scale).into_iter();
        steps.extend(faults.map(|(at, fault)| (at, Step::Fault(fault))));
        steps.sort_by_key(|(at, _)| *at);
        let mut outcome = InjectionOutcome::default();
        let mut before = DaemonCounts::default();
        for (at, step) in steps {
            clock.wait_until(at);
            match step {
                Step::BeginMeasuring => before = DaemonCounts::read_all(cluster)?,
                Step::EndMeasuring => outcome.counts += DaemonCounts::read_all(cluster)?,
                Step::Fault(fault) => self.inject(fault, cluster, clock, balancer, &mut outcome)?,
            }
        }
        outcome.counts.retries -= before.retries;
        outcome.counts.idle_engine_s -= before.idle_engine_s;
        Ok(outcome)
    }

    fn inject(
        &self,
        fault: Fault,
        cluster: &mut Cluster,
        clock: RunClock,
        balancer: &Balancer,
        outcome: &mut InjectionOutcome,
    ) -> Result<()> {
        let names = cluster.vm_names();
        let vm = &names[KILLED_VM % names.len()];
        match fault {
            Fault::KillVm => {
                // The counters of the process are lost when it is killed.
                outcome.counts += DaemonCounts::read(cluster, vm)?;
                let from = clock.now();
                cluster.kill(vm)?;
                outcome.killed = Some(KilledVm {
                    vm: KILLED_VM % names.len(),
                    from,
                    to: clock.now(),
                });
            }
            Fault::RestartVm => {
                cluster.restart(vm)?;
                let address = cluster.vm(vm)?.addresses.callers;
                balancer.replace(KILLED_VM % names.len(), address);
            }
            Fault::LogDown => cluster.standin(LOG)?.fault(&json!({"mode": "down"}))?,
            Fault::LogUp => cluster.standin(LOG)?.fault(&json!({"mode": "up"}))?,
        }
        Ok(())
    }
}

fn monitor_targets(
    cluster: &Cluster,
    clock: RunClock,
    memory_exceeded: &Arc<AtomicBool>,
) -> MonitorTargets {
    let engines = cluster.engines().into_iter();
    MonitorTargets {
        engines: engines
            .map(|(name, engine)| (name.to_owned(), engine.clone()))
            .collect(),
        processes: cluster.processes().clone(),
        clock,
        memory_exceeded: Arc::clone(memory_exceeded),
    }
}

/// Returns some of the endings that are neither complete answers nor refusals, with their counts.
fn bad_endings(records: &[Record]) -> Vec<String> {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for record in records {
        if !matches!(record.ending, Ending::Whole | Ending::Refused(_)) {
            *counts.entry(format!("{:?}", record.ending)).or_default() += 1;
        }
    }
    let shown = counts.into_iter().take(MAX_SHOWN_ENDINGS);
    shown
        .map(|(ending, count)| format!("{count} x {ending}"))
        .collect()
}
