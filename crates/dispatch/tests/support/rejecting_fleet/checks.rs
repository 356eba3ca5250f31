//! Health checks in the model: when VMs check upstreams, ask others to, and stop sending to them.

use std::collections::BTreeMap;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_dispatch::HEALTH_CHECK_TIMEOUT_MS;
use apricotdale_dispatch::HealthCheckStep;
use apricotdale_dispatch::HealthChecks;
use apricotdale_dispatch::LivenessMonitor;
use apricotdale_dispatch::ProbeOutcome;
use apricotdale_dispatch::RECHECK_WAIT_MS;
use apricotdale_dispatch::UNRESPONSIVE_MS;
use apricotdale_quota::AccountId;
use apricotdale_quota::Admission;
use rand::RngExt;

use super::Fleet;
use super::Message;
use super::PERMIT_TIMEOUT_MS;
use super::Planted;
use super::Step;
use super::service;

/// Time after which callers leave.
const CALLER_TIMEOUT_MS: u64 = 1_500;

/// Time after which an upstream that has sent something since has taken a request in.
const TAKEN_IN_MS: u64 = 500;

/// Time since its send after which an abandoned request counts as handled by its upstream, even if that
/// has sent nothing since.
const MAX_UNSETTLED_MS: u64 = 4_000;

const RESULT_PAUSE_MS: u64 = 1_500;
const MAX_CHECKERS: usize = 4;

/// Request or check in progress.
#[derive(Clone, Debug)]
struct Sent {
    name: UpstreamName,
    sent_ms: u64,
}

/// Abandoned request or check that its upstream may still reject.
#[derive(Clone, Debug)]
struct Unsettled {
    account: AccountId,
    sent: Sent,
    abandoned_ms: u64,
}

/// What a VM knows of the responsiveness of upstreams.
#[derive(Debug, Default)]
pub struct VmChecks {
    watch: LivenessMonitor,
    checks: HealthChecks,
    requests: BTreeMap<u64, Sent>,
    /// Checks that wait for a permit, by key, since when.
    pending: BTreeMap<u64, Sent>,
    running: BTreeMap<u64, Sent>,
    suspended_until_ms: BTreeMap<UpstreamName, u64>,
    unsettled: Vec<Unsettled>,
}

impl VmChecks {
    pub fn is_suspended(&self, now_ms: u64, name: &UpstreamName) -> bool {
        let until_ms = self.suspended_until_ms.get(name);
        until_ms.is_some_and(|until_ms| now_ms < *until_ms)
    }

    pub fn removed(&mut self, name: &UpstreamName) {
        self.watch.removed(name);
        self.checks.removed(name);
    }
}

fn vm_name(index: usize) -> VmName {
    VmName::from(format!("vm-{index}").as_str())
}

fn hash(vm: usize, name: &UpstreamName) -> u64 {
    let mut hasher = DefaultHasher::new();
    (vm, name.as_str()).hash(&mut hasher);
    hasher.finish()
}

impl Fleet {
    /// Returns the other VMs that a VM asks to check an upstream.
    fn checkers(&self, index: usize, name: &UpstreamName) -> Vec<VmName> {
        let others = (0..self.vms.len()).filter(|vm| *vm != index);
        let mut others: Vec<usize> = others.collect();
        others.sort_by_key(|vm| hash(*vm, name));
        let chosen = others.into_iter().take(MAX_CHECKERS);
        chosen.map(vm_name).collect()
    }

    pub fn record_request(&mut self, index: usize, key: u64, name: &UpstreamName) {
        let vm = &mut self.vms[index];
        let clock_ms = self.now_ms + vm.clock_offset_ms;
        vm.checks.watch.sent(clock_ms, name);
        let sent = Sent {
            name: name.clone(),
            sent_ms: self.now_ms,
        };
        vm.checks.requests.insert(key, sent);
    }

    /// Records an answer. Returns whether the request has not been abandoned.
    pub fn record_response(&mut self, index: usize, key: u64, name: &UpstreamName) -> bool {
        let vm = &mut self.vms[index];
        let clock_ms = self.now_ms + vm.clock_offset_ms;
        let is_awaited = vm.checks.requests.remove(&key).is_some();
        if is_awaited {
            vm.checks.watch.heard(clock_ms, name);
            vm.checks.watch.ended(name);
        }
        is_awaited
    }

    fn abandon_requests(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let is_refunded = self.options.planted == Planted::AbandonedRefunded;
        let vm = &mut self.vms[index];
        let clock_ms = now_ms + vm.clock_offset_ms;
        let requests = &mut vm.checks.requests;
        let late: Vec<u64> = requests
            .iter()
            .filter(|(_, it)| now_ms >= it.sent_ms + CALLER_TIMEOUT_MS)
            .map(|(key, _)| *key)
            .collect();
        for key in late {
            let Some(sent) = requests.remove(&key) else {
                continue;
            };
            if let Some(own) = vm.own.get_mut(&sent.name) {
                *own = own.saturating_sub(1);
            }
            vm.checks.watch.ended(&sent.name);
            let heard_ms = vm.checks.watch.last_heard_ms(&sent.name);
            let taken_in_ms = sent.sent_ms + vm.clock_offset_ms + TAKEN_IN_MS;
            let is_taken_in = is_refunded || heard_ms.is_some_and(|it| it >= taken_in_ms);
            match vm.at_risk.remove(&key) {
                Some(account) if is_taken_in => drop(vm.client.refund(clock_ms, account)),
                Some(account) => vm.checks.unsettled.push(Unsettled {
                    account,
                    sent,
                    abandoned_ms: now_ms,
                }),
                None => {}
            }
        }
        self.settle_abandoned(index);
    }

    /// Settles what was abandoned at upstreams that have sent something since, or are gone.
    fn settle_abandoned(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        for it in std::mem::take(&mut vm.checks.unsettled) {
            let abandoned_ms = it.abandoned_ms + vm.clock_offset_ms;
            let heard_ms = vm.checks.watch.last_heard_ms(&it.sent.name);
            let is_settled = heard_ms.is_some_and(|heard_ms| heard_ms > abandoned_ms)
                || now_ms >= it.sent.sent_ms + MAX_UNSETTLED_MS
                || !vm.listed.contains(&it.sent.name);
            match is_settled {
                true => vm.client.settle(it.account),
                false => vm.checks.unsettled.push(it),
            }
        }
    }

    /// Does what is due about checks at a VM.
    pub fn advance_checks(&mut self, index: usize) {
        self.abandon_requests(index);
        let now_ms = self.now_ms;
        let clock_ms = now_ms + self.vms[index].clock_offset_ms;
        for name in self.vms[index].checks.watch.due(clock_ms) {
            if self.options.planted == Planted::EachVmChecks {
                self.send_check(index, &name);
                continue;
            }
            let checkers = self.checkers(index, &name);
            let checks = &mut self.vms[index].checks.checks;
            let step = checks.ask(clock_ms, &name, &checkers);
            step.into_iter()
                .for_each(|it| self.run_check_step(index, it));
        }
        let mut checks = std::mem::take(&mut self.vms[index].checks.checks);
        let steps = checks.due(clock_ms, |name| self.checkers(index, name));
        self.vms[index].checks.checks = checks;
        steps
            .into_iter()
            .for_each(|it| self.run_check_step(index, it));
        for key in self.vms[index]
            .checks
            .pending
            .keys()
            .copied()
            .collect::<Vec<_>>()
        {
            self.request_check_permit(index, key);
        }
        let running = &self.vms[index].checks.running;
        let is_late = |it: &Sent| now_ms >= it.sent_ms + HEALTH_CHECK_TIMEOUT_MS;
        let late = running.iter().filter(|(_, it)| is_late(it));
        for key in late.map(|(key, _)| *key).collect::<Vec<_>>() {
            self.end_check(index, key, Some(false), false);
        }
    }

    fn run_check_step(&mut self, index: usize, step: HealthCheckStep) {
        let now_ms = self.now_ms;
        match step {
            HealthCheckStep::Check(name) if !self.vms[index].listed.contains(&name) => {
                self.record_check(index, &name, None);
            }
            HealthCheckStep::Check(name) => {
                self.next_key += 1;
                let sent = Sent {
                    name,
                    sent_ms: now_ms,
                };
                self.vms[index].checks.pending.insert(self.next_key, sent);
                self.request_check_permit(index, self.next_key);
            }
            HealthCheckStep::Ask(vm, name) => {
                let to = (0..self.vms.len()).find(|it| vm_name(*it) == vm);
                let to = to.expect("a VM of the fleet");
                self.send(index, to, Message::CheckRequested(index, name));
            }
            HealthCheckStep::Answer {
                vms,
                upstream,
                is_responsive,
            } => {
                for vm in vms {
                    let to = (0..self.vms.len()).find(|it| vm_name(*it) == vm);
                    let to = to.expect("a VM of the fleet");
                    let verdict = Message::Verdict(upstream.clone(), is_responsive);
                    self.send(index, to, verdict);
                }
            }
            HealthCheckStep::TellAll {
                upstream,
                is_responsive,
            } => {
                self.send_all(index, &Message::Verdict(upstream.clone(), is_responsive));
                self.apply_verdict(index, &upstream, is_responsive, None);
            }
        }
    }

    /// Sends a check once it has a permit. A VM that has not been told what upstreams state, or is
    /// denied a permit, checks nothing.
    fn request_check_permit(&mut self, index: usize, key: u64) {
        let now_ms = self.now_ms;
        let vm = &self.vms[index];
        let Some(pending) = vm.checks.pending.get(&key).cloned() else {
            return;
        };
        let name = &pending.name;
        let is_counted = self.options.planted != Planted::ChecksUncounted;
        let admission = match vm.is_told && vm.listed.contains(name) {
            true => self.admit(index, key, name, is_counted),
            false => Admission::Refused {
                retry_after_ms: None,
            },
        };
        match admission {
            Admission::Admitted => {
                self.vms[index].checks.pending.remove(&key);
                self.begin_check(index, key, name);
            }
            Admission::Pending if now_ms < pending.sent_ms + PERMIT_TIMEOUT_MS => {}
            _ => {
                self.withdraw(index, key, name);
                self.vms[index].checks.pending.remove(&key);
                self.record_check(index, name, None);
            }
        }
    }

    fn send_check(&mut self, index: usize, name: &UpstreamName) {
        self.next_key += 1;
        self.begin_check(index, self.next_key, name);
    }

    fn begin_check(&mut self, index: usize, key: u64, name: &UpstreamName) {
        let after_ms = self.random.random_range(1..5);
        let vm = &mut self.vms[index];
        let sent = Sent {
            name: name.clone(),
            sent_ms: self.now_ms,
        };
        vm.checks.running.insert(key, sent);
        let arrives = Step::Arrives {
            vm: index,
            run: vm.run,
            key,
            name: name.clone(),
            sent_ms: self.now_ms,
            is_check: true,
        };
        self.schedule(after_ms, arrives);
    }

    /// Ends a check. `is_rejected` is whether the upstream rejected it for want of room.
    pub fn end_check(
        &mut self,
        index: usize,
        key: u64,
        is_responsive: Option<bool>,
        is_rejected: bool,
    ) {
        let vm = &mut self.vms[index];
        let clock_ms = self.now_ms + vm.clock_offset_ms;
        let Some(check) = vm.checks.running.remove(&key) else {
            return;
        };
        match (vm.at_risk.remove(&key), is_responsive) {
            (Some(account), Some(true)) if !is_rejected => {
                vm.client.refund(clock_ms, account);
            }
            (Some(account), Some(true)) => vm.client.settle(account),
            (Some(account), _) => vm.checks.unsettled.push(Unsettled {
                account,
                sent: check.clone(),
                abandoned_ms: self.now_ms,
            }),
            (None, _) => {}
        }
        if is_responsive == Some(true) {
            vm.checks.watch.heard(clock_ms, &check.name);
        }
        if is_rejected && vm.limits.limit(&service(), &check.name).is_some() {
            vm.limits.record_rejection(clock_ms, &check.name);
            self.send_all(index, &Message::Rejected(check.name.clone()));
        }
        self.record_check(index, &check.name, is_responsive);
    }

    fn record_check(&mut self, index: usize, name: &UpstreamName, is_responsive: Option<bool>) {
        let vm = &mut self.vms[index];
        let clock_ms = self.now_ms + vm.clock_offset_ms;
        if self.options.planted == Planted::EachVmChecks {
            let step = HealthCheckStep::TellAll {
                upstream: name.clone(),
                is_responsive: is_responsive == Some(true),
            };
            return self.run_check_step(index, step);
        }
        let (step, asked_ms) = vm.checks.checks.record_check(clock_ms, name, is_responsive);
        match (asked_ms, is_responsive) {
            (Some(_), None) => vm
                .checks
                .watch
                .defer_probe(name, clock_ms + RESULT_PAUSE_MS),
            (Some(asked_ms), Some(is_responsive)) => {
                self.apply_verdict(index, name, is_responsive, Some(asked_ms));
            }
            (None, _) => {}
        }
        step.into_iter()
            .for_each(|it| self.run_check_step(index, it));
    }

    pub fn hear_verdict(&mut self, index: usize, name: &UpstreamName, is_responsive: bool) {
        let vm = &mut self.vms[index];
        let clock_ms = self.now_ms + vm.clock_offset_ms;
        if !vm.listed.contains(name) {
            return;
        }
        if self.options.planted == Planted::EachVmChecks {
            if !is_responsive && !vm.checks.running.values().any(|it| it.name == *name) {
                self.send_check(index, name);
            }
            return;
        }
        let asked_ms = vm.checks.checks.record_told(clock_ms, name, is_responsive);
        self.apply_verdict(index, name, is_responsive, asked_ms);
    }

    pub fn hear_question(&mut self, index: usize, from: usize, name: &UpstreamName) {
        let vm = &mut self.vms[index];
        let clock_ms = self.now_ms + vm.clock_offset_ms;
        if vm.listed.contains(name) {
            let checks = &mut vm.checks.checks;
            let step = checks.record_question(clock_ms, name, &vm_name(from));
            step.into_iter()
                .for_each(|it| self.run_check_step(index, it));
        }
    }

    fn apply_verdict(
        &mut self,
        index: usize,
        name: &UpstreamName,
        is_responsive: bool,
        asked_ms: Option<u64>,
    ) {
        let now_ms = self.now_ms;
        let vm = &mut self.vms[index];
        let clock_ms = now_ms + vm.clock_offset_ms;
        let watch = &mut vm.checks.watch;
        if is_responsive {
            watch.record_probe(clock_ms, name, true);
            watch.heard(clock_ms, name);
            vm.checks.suspended_until_ms.remove(name);
            return;
        }
        let is_confirmed = match asked_ms {
            Some(_) => watch.record_probe(clock_ms, name, false) == ProbeOutcome::Unresponsive,
            None => {
                let heard_ms = watch.last_heard_ms(name);
                heard_ms.is_none_or(|it| it + HEALTH_CHECK_TIMEOUT_MS < clock_ms)
            }
        };
        watch.defer_probe(name, clock_ms + RECHECK_WAIT_MS);
        if is_confirmed {
            let until_ms = now_ms + UNRESPONSIVE_MS;
            vm.checks.suspended_until_ms.insert(name.clone(), until_ms);
        }
    }
}
