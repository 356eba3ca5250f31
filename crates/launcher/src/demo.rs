//! Demonstration of the main guarantees on real requests, step by step.

use std::collections::BTreeMap;
use std::io::Write;
use std::time::Duration;

use nix::libc::SIGKILL;

use crate::answer::Outcome;
use crate::caller;
use crate::caller::CallerRequest;
use crate::caller::PendingAnswer;
use crate::checks::Checks;
use crate::cluster::Cluster;
use crate::cluster::LOG;
use crate::cluster::Vm;
use crate::cluster::records;
use crate::errors::Error;
use crate::errors::Result;
use crate::poll::MAX_POLLS;
use crate::poll::poll_until;
use crate::process::Exit;
use crate::sample;
use crate::standin::EngineEffects;
use crate::standin::ServiceEffects;
use apricotdale_admin::PublishOutcome;

/// Upper bound of the wait for an answer, so that a demonstration with a hanging request ends.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

/// Number of requests to each VM for a model that is not loaded.
const REQUESTS_PER_VM: usize = 5;
/// Length of a short answer in tokens.
const SHORT_TOKENS: u32 = 8;
/// Length in tokens of an answer that is still in progress while VMs stop.
const LONG_TOKENS: u32 = 200;

/// Running demonstration: its cluster and the checks made so far.
pub struct Demo<'a> {
    cluster: Cluster,
    checks: Checks<'a>,
}

impl<'a> Demo<'a> {
    /// Returns a demonstration on a cluster, which must have at least three VMs.
    pub fn new(cluster: Cluster, out: &'a mut dyn Write) -> Self {
        Self {
            cluster,
            checks: Checks::new(out),
        }
    }

    /// Runs all steps, stops the cluster and returns whether all checks passed.
    ///
    /// # Errors
    ///
    /// Any error of the launcher that keeps a step from being carried out.
    pub fn run(mut self) -> Result<bool> {
        self.configure()?;
        self.cold_burst(sample::SLOT_PLANNER)?;
        self.cold_burst(sample::WEAR_REVIEW)?;
        self.streams()?;
        self.retried_call()?;
        self.drain_and_kill()?;
        self.check_memory()?;
        self.checks.step("Stopping all processes")?;
        self.cluster.stop();
        self.checks.finish()
    }

    fn configure(&mut self) -> Result<()> {
        self.checks
            .step("Publishing classes, models and a service at one VM")?;
        let vms = self.cluster.vm_names();
        let outcome = self.cluster.publish(&vms[0], sample::edits())?;
        let PublishOutcome::Accepted { version } = outcome else {
            return Err(Error::failed("publishing", format!("{outcome:?}")));
        };
        let in_force = self.cluster.wait_in_force(version);
        self.checks.check(
            format!("version {version} is in force on all VMs"),
            in_force.is_ok(),
        )
    }

    fn cold_burst(&mut self, model: &str) -> Result<()> {
        self.checks.step(&format!(
            "A burst of requests at all VMs for {model}, which is not loaded"
        ))?;
        let vms = self.running_vms();
        let request = CallerRequest::completion(model, SHORT_TOKENS, false);
        let request = request.header("X-Request-Class", sample::REPLAN);
        let answers: Vec<PendingAnswer> = vms
            .iter()
            .flat_map(|vm| std::iter::repeat_n(vm.addresses.callers, REQUESTS_PER_VM))
            .map(|address| caller::send(address, request.clone()))
            .collect();
        let complete = self.count_complete(&answers)?;
        let sent = answers.len();
        self.checks.check(
            format!("{complete} of {sent} answers complete"),
            complete == sent,
        )?;
        let (accepted, loads) = self.settled_loads(model)?;
        self.checks.check(
            format!("{accepted} loads accepted, {loads} carried out by the engines"),
            loads == accepted && accepted > 0,
        )
    }

    fn streams(&mut self) -> Result<()> {
        self.checks.step("A streamed answer through each VM")?;
        for vm in self.running_vms() {
            let request = CallerRequest::completion(sample::SLOT_PLANNER, SHORT_TOKENS, true);
            let outcome = caller::send(vm.addresses.callers, request).wait_end(ANSWER_TIMEOUT)?;
            self.checks.check(
                format!("through {}: {outcome}", vm.name),
                is_complete_stream(&outcome),
            )?;
        }
        Ok(())
    }

    fn retried_call(&mut self) -> Result<()> {
        self.checks
            .step("A booking sent twice, at two VMs, under one idempotency key")?;
        let vms = self.running_vms();
        let body = Some("{\"lathe\":\"hall-b\"}".to_owned());
        let request = CallerRequest::service_call(sample::BOOKING, "POST", "/book", body);
        let request = request.header("Idempotency-Key", "booking-1");
        let first = caller::send(vms[0].addresses.callers, request.clone());
        let second = caller::send(vms[1].addresses.callers, request);
        let outcomes = [
            first.wait_end(ANSWER_TIMEOUT)?,
            second.wait_end(ANSWER_TIMEOUT)?,
        ];
        for (vm, outcome) in vms.iter().zip(&outcomes) {
            self.checks.note(&format!("at {}: {outcome}", vm.name))?;
        }
        let answered = outcomes.iter().any(Outcome::is_whole);
        let calls = self.calls("POST /book")?;
        self.checks
            .check(format!("{calls} booking made"), calls == 1 && answered)
    }

    fn drain_and_kill(&mut self) -> Result<()> {
        self.checks
            .step("One VM stops as planned and one is killed, with streams in progress on both")?;
        let vms = self.running_vms();
        let [drained, killed, other] = [&vms[1], &vms[2], &vms[0]];
        let request = CallerRequest::completion(sample::SLOT_PLANNER, LONG_TOKENS, true);
        let on_drained = caller::send(drained.addresses.callers, request.clone());
        let on_killed = caller::send(killed.addresses.callers, request);
        let begun = on_drained.wait_events(1, ANSWER_TIMEOUT)? > 0
            && on_killed.wait_events(1, ANSWER_TIMEOUT)? > 0;
        self.checks
            .check("both streams have begun".to_owned(), begun)?;
        self.cluster.terminate(&drained.name)?;
        self.cluster.kill(&killed.name)?;
        let cut = on_killed.wait_end(ANSWER_TIMEOUT)?;
        self.checks.check(
            format!("the killed VM's stream: {cut}"),
            matches!(cut, Outcome::Cut { .. }),
        )?;
        let request = CallerRequest::completion(sample::SLOT_PLANNER, SHORT_TOKENS, false);
        let elsewhere = caller::call(other.addresses.callers, &request);
        self.checks.check(
            format!("a request at {}: {elsewhere}", other.name),
            elsewhere.is_whole(),
        )?;
        let finished = on_drained.wait_end(ANSWER_TIMEOUT)?;
        self.checks.check(
            format!("the stopping VM's stream: {finished}"),
            is_complete_stream(&finished),
        )?;
        let exit = self.cluster.wait_exit(&drained.name, MAX_POLLS)?;
        self.checks.check(
            format!("{} exited with {exit:?}", drained.name),
            exit == Exit::Code(0),
        )?;
        let exit = self.cluster.poll_exit(&killed.name)?;
        self.checks.check(
            format!("{} was killed", killed.name),
            exit == Some(Exit::Killed(SIGKILL)),
        )
    }

    fn check_memory(&mut self) -> Result<()> {
        self.checks.step("Effects counted by the engines")?;
        let mut overcommitted = 0;
        for (_, engine) in self.cluster.engines() {
            overcommitted += engine.effects::<EngineEffects>()?.overcommitted;
        }
        self.checks.check(
            format!("memory overcommitted {overcommitted} times"),
            overcommitted == 0,
        )
    }

    fn running_vms(&self) -> Vec<Vm> {
        self.cluster.running_vms().into_iter().cloned().collect()
    }

    /// Waits for all answers, prints how many there are of each kind and returns how many are
    /// complete.
    fn count_complete(&mut self, answers: &[PendingAnswer]) -> Result<usize> {
        let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
        let mut complete = 0;
        for answer in answers {
            let outcome = answer.wait_end(ANSWER_TIMEOUT)?;
            complete += usize::from(outcome.is_whole());
            *kinds.entry(outcome.to_string()).or_default() += 1;
        }
        for (kind, count) in kinds {
            self.checks.note(&format!("{count} x {kind}"))?;
        }
        Ok(complete)
    }

    /// Waits until every accepted load intent has been carried out, and returns the number of
    /// accepted intents and of loads. A burst may lead to a second replica, which is still being
    /// loaded when the first one has answered all requests. More loads than accepted intents are
    /// returned at once.
    fn settled_loads(&self, model: &str) -> Result<(usize, usize)> {
        poll_until("every accepted load is carried out", MAX_POLLS, || {
            // The engines are queried first, so that a load accepted in between does not count as
            // carried out.
            let loads = self.loads(model)?;
            let accepted = self.accepted_loads(model)?;
            Ok((loads >= accepted && accepted > 0).then_some((accepted, loads)))
        })
    }

    fn loads(&self, model: &str) -> Result<usize> {
        let mut loads = 0;
        for (_, engine) in self.cluster.engines() {
            let effects: EngineEffects = engine.effects()?;
            loads += effects.loads.get(model).copied().unwrap_or_default();
        }
        Ok(usize::try_from(loads).unwrap_or(usize::MAX))
    }

    fn accepted_loads(&self, model: &str) -> Result<usize> {
        let log = self.cluster.standin(LOG)?;
        let decided = records::decided_loads(log)?;
        let intents = records::load_intents(log)?.into_iter();
        let accepted = intents
            .filter(|(offset, intent)| intent.model.as_str() == model && decided.contains(offset));
        Ok(accepted.count())
    }

    fn calls(&self, call: &str) -> Result<u64> {
        let mut calls = 0;
        for (_, service) in self.cluster.services() {
            let effects: ServiceEffects = service.effects()?;
            calls += effects.calls.get(call).copied().unwrap_or_default();
        }
        Ok(calls)
    }
}

fn is_complete_stream(outcome: &Outcome) -> bool {
    outcome.is_whole() && matches!(outcome, Outcome::Whole { events, .. } if *events > 0)
}
