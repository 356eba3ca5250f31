//! Demonstration on the users' platform: entry VMs with stand-ins of the platform's store, engines
//! and services.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io::Write;
use std::thread;
use std::time::Duration;

use apricotdale_standins::platform::Answer;
use apricotdale_standins::platform::AnswerFault;
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteRequest;
use apricotdale_standins::platform::StoreFault;
use apricotdale_standins::platform::VmOptions;
use apricotdale_standins::platform::VmProcess;
use nix::sys::signal::Signal;

use crate::checks::Checks;
use crate::errors::Error;
use crate::errors::Result;
use crate::poll::MAX_POLLS;
use crate::poll::poll_until;
use crate::programs::Program;

/// Upper bound of the wait for an answer, so that a demonstration with a hanging request ends.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of VMs; each reaches the store at an address of its own.
const VM_COUNT: usize = 3;

/// Number of events of a complete stream.
const EVENTS_PER_STREAM: u64 = 40;

/// Time between two events, long enough that a stream is in progress while its VM stops.
const EVENT_INTERVAL_MS: u64 = 25;

/// Text in the log line of a VM that has acquired the order lease.
const LEASE_HOLDER_LINE: &str = "this VM gives orders";

/// Running demonstration: its site, its VMs and the checks made so far.
pub struct EntryDemo<'a> {
    site: Site,
    /// VMs by their number; none once the VM has been stopped or killed.
    vms: Vec<Option<VmProcess>>,
    checks: Checks<'a>,
    requests_sent: u64,
}

impl<'a> EntryDemo<'a> {
    /// Starts the stand-ins and the VMs.
    ///
    /// # Errors
    ///
    /// `Error::MissingProgram` if the VMs' program has not been built, `Error::Io` if a stand-in or
    /// a VM can't be started.
    pub fn start(out: &'a mut dyn Write) -> Result<Self> {
        let program = Program::Entry.path()?;
        let mut checks = Checks::new(out);
        checks.step("Starting a store, three engines, a service and three entry VMs")?;
        let engine = |index: usize, model: &str| EngineOptions {
            instance: format!("i-{index}"),
            models: vec![model.to_owned()],
            events: EVENTS_PER_STREAM,
            gap_ms: EVENT_INTERVAL_MS,
            ..EngineOptions::default()
        };
        let site = Site::start(SiteOptions {
            engines: vec![engine(0, "m0"), engine(1, "m0"), engine(2, "m1")],
            store_endpoints: VM_COUNT,
            timeout_ms: 10_000,
            ..SiteOptions::default()
        })?;
        let mut vms = Vec::new();
        for (index, endpoint) in site.store_addresses.iter().enumerate() {
            let options = VmOptions::new(&program, &format!("vm{index}"), *endpoint);
            vms.push(Some(VmProcess::start(&options)?));
        }
        Ok(Self {
            site,
            vms,
            checks,
            requests_sent: 0,
        })
    }

    /// Runs all steps, stops all processes and returns whether all checks passed.
    ///
    /// # Errors
    ///
    /// Any error of the launcher that keeps a step from being carried out.
    pub fn run(mut self) -> Result<bool> {
        self.start_up()?;
        self.streams()?;
        self.unloaded_model()?;
        self.lost_answers()?;
        self.replace_lease_holder()?;
        self.store_outage()?;
        self.planned_stop()?;
        self.check_orders()?;
        self.checks.step("Stopping all processes")?;
        self.vms.clear();
        self.site.stop();
        self.checks.finish()
    }

    fn start_up(&mut self) -> Result<()> {
        for index in 0..VM_COUNT {
            poll_until("every VM is ready", MAX_POLLS, || {
                Ok(self.vm(index)?.is_ready(ANSWER_TIMEOUT).then_some(()))
            })?;
        }
        self.checks
            .check(format!("{VM_COUNT} VMs have the configuration"), true)
    }

    fn streams(&mut self) -> Result<()> {
        self.checks.step("A streamed answer through each VM")?;
        for index in 0..VM_COUNT {
            let answer = self.ask(index, |id| SiteRequest::quick(id, "m0"))?;
            let text = format!("through vm{index}: {}", describe(&answer));
            self.checks.check(text, is_complete_stream(&answer))?;
        }
        Ok(())
    }

    fn unloaded_model(&mut self) -> Result<()> {
        self.checks
            .step("Concurrent requests at all VMs for a model that is not loaded")?;
        let mut waiting = Vec::new();
        for index in 0..VM_COUNT {
            let request = SiteRequest::patient(&self.next_id(), "m2");
            let mut caller = Caller::connect(self.vm(index)?.callers, ANSWER_TIMEOUT)?;
            waiting.push(thread::spawn(move || caller.ask(&request)));
        }
        let mut complete = 0;
        for answer in waiting {
            let answer = answer.join().map_err(|_| {
                Error::failed("sending a request", "the caller's thread panicked")
            })??;
            complete += usize::from(is_complete_stream(&answer));
        }
        let holding = self
            .site
            .engines
            .iter()
            .filter(|engine| engine.serves("m2"))
            .count();
        self.checks.check(
            format!("{complete} of {VM_COUNT} answers complete; {holding} engine has loaded it"),
            complete == VM_COUNT && holding == 1,
        )
    }

    fn lost_answers(&mut self) -> Result<()> {
        self.checks
            .step("An instance of the service runs calls and loses their answers")?;
        self.lose_next_answer_of_all();
        let booking = self.ask(0, SiteRequest::book)?;
        let runs = self.runs_of_last_request();
        self.checks.check(
            format!("a booking: {}, ran {runs} times", describe(&booking)),
            booking.status() == 502 && runs == 1,
        )?;
        self.discard_unused_faults();
        self.lose_next_answer_of_first();
        let lookup = self.ask(0, SiteRequest::look)?;
        let runs = self.runs_of_last_request();
        self.checks.check(
            format!("a lookup: {}, ran {runs} times", describe(&lookup)),
            lookup.is_success() && runs <= 2,
        )
    }

    fn replace_lease_holder(&mut self) -> Result<()> {
        self.checks
            .step("The lease holder is killed, and an adapter is requested")?;
        let lease_holder = self.lease_holder()?;
        self.vms[lease_holder] = None;
        let other = (lease_holder + 1) % VM_COUNT;
        let answer = self.ask(other, |id| SiteRequest::patient(id, "m1/a1"))?;
        self.checks.check(
            format!(
                "vm{lease_holder} killed; through vm{other}: {}",
                describe(&answer)
            ),
            is_complete_stream(&answer),
        )
    }

    fn store_outage(&mut self) -> Result<()> {
        self.checks
            .step("The store is unavailable; loaded models and services are served")?;
        self.set_store_fault(StoreFault::Reset);
        let index = self.first_running_vm()?;
        let stream = self.ask(index, |id| SiteRequest::quick(id, "m0"))?;
        let call = self.ask(index, SiteRequest::look)?;
        self.set_store_fault(StoreFault::None);
        self.checks.check(
            format!(
                "a stream: {}; a call: {}",
                describe(&stream),
                describe(&call)
            ),
            is_complete_stream(&stream) && call.is_success(),
        )
    }

    fn planned_stop(&mut self) -> Result<()> {
        self.checks
            .step("A VM stops as planned, with a stream in progress")?;
        let index = self.first_running_vm()?;
        let request = SiteRequest::quick(&self.next_id(), "m0");
        let mut caller = Caller::connect(self.vm(index)?.callers, ANSWER_TIMEOUT)?;
        caller.send(&request.bytes())?;
        let id = request.id.clone();
        poll_until("the stream has begun", MAX_POLLS, || {
            let ran = self
                .site
                .engines
                .iter()
                .any(|engine| engine.run_counts().contains_key(&id));
            Ok(ran.then_some(()))
        })?;
        self.vm(index)?.signal(Signal::SIGTERM)?;
        let answer = caller.answer()?;
        self.checks.check(
            format!("its stream: {}", describe(&answer)),
            is_complete_stream(&answer),
        )?;
        let Some(mut vm) = self.vms[index].take() else {
            return Err(Error::NotRunning(format!("vm{index}")));
        };
        let status = poll_until("the process has exited", MAX_POLLS, || Ok(vm.try_wait()?))?;
        self.checks
            .check(format!("vm{index} exited: {status}"), status.success())
    }

    fn check_orders(&mut self) -> Result<()> {
        self.checks.step("Orders that the engines received")?;
        let mut overcommitted = 0;
        let mut holders: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
        let mut is_in_order = true;
        for engine in &self.site.engines {
            let effects = engine.effects();
            overcommitted += effects.overcommitted;
            is_in_order &= effects.holders.is_sorted_by_key(|(fence, _)| *fence);
            for (fence, holder) in effects.holders {
                holders.entry(fence).or_default().insert(holder);
            }
        }
        let is_exclusive = holders.values().all(|names| names.len() == 1);
        self.checks.check(
            format!("{} lease holders, one after the other", holders.len()),
            is_exclusive && is_in_order && holders.len() == 2,
        )?;
        self.checks.check(
            format!("memory overcommitted {overcommitted} times"),
            overcommitted == 0,
        )
    }

    fn ask(&mut self, vm: usize, request: impl FnOnce(&str) -> SiteRequest) -> Result<Answer> {
        let request = request(&self.next_id());
        let mut caller = Caller::connect(self.vm(vm)?.callers, ANSWER_TIMEOUT)?;
        Ok(caller.ask(&request)?)
    }

    fn next_id(&mut self) -> String {
        self.requests_sent += 1;
        request_id(self.requests_sent)
    }

    fn vm(&self, index: usize) -> Result<&VmProcess> {
        self.vms
            .get(index)
            .and_then(Option::as_ref)
            .ok_or_else(|| Error::NotRunning(format!("vm{index}")))
    }

    fn first_running_vm(&self) -> Result<usize> {
        self.vms
            .iter()
            .position(Option::is_some)
            .ok_or_else(|| Error::NotRunning("every VM".to_owned()))
    }

    fn lease_holder(&self) -> Result<usize> {
        let is_lease_holder = |vm: &Option<VmProcess>| {
            vm.as_ref()
                .is_some_and(|vm| !vm.lines_with(LEASE_HOLDER_LINE).is_empty())
        };
        self.vms
            .iter()
            .position(is_lease_holder)
            .ok_or_else(|| Error::UnknownName("VM that holds the order lease".to_owned()))
    }

    fn runs_of_last_request(&self) -> usize {
        let id = request_id(self.requests_sent);
        let runs = |counts: std::collections::HashMap<String, usize>| {
            counts.get(&id).copied().unwrap_or_default()
        };
        self.site
            .services
            .iter()
            .map(|service| runs(service.run_counts()))
            .sum()
    }

    /// Has every instance of the service lose its next answer, whichever gets the call.
    fn lose_next_answer_of_all(&self) {
        for service in &self.site.services {
            service.push_fault(AnswerFault::LostAnswer);
        }
    }

    /// Removes the faults that no answer has used up.
    fn discard_unused_faults(&self) {
        for service in &self.site.services {
            service.clear_faults();
        }
    }

    fn lose_next_answer_of_first(&self) {
        if let Some(service) = self.site.services.first() {
            service.push_fault(AnswerFault::LostAnswer);
        }
    }

    fn set_store_fault(&self, fault: StoreFault) {
        for endpoint in &self.site.store_endpoints {
            endpoint.set_fault(fault);
        }
    }
}

fn request_id(requests_sent: u64) -> String {
    format!("demo-{requests_sent}")
}

fn is_complete_stream(answer: &Answer) -> bool {
    answer.is_success() && answer.event_ids() == (1..=EVENTS_PER_STREAM).collect::<Vec<u64>>()
}

fn describe(answer: &Answer) -> String {
    let events = answer.event_ids().len();
    match (answer.status(), answer.complete) {
        (0, _) => "no answer".to_owned(),
        (status, true) if events > 0 => format!("{status}, {events} events, complete"),
        (status, true) => format!("{status}, complete"),
        (status, false) => format!("{status}, cut off after {events} events"),
    }
}
