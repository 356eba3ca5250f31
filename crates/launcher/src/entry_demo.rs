//! The demonstration on the users' platform: entry VMs before stand-ins of its store, engines and
//! services.

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

/// How long an answer may take. It is a limit for failures only.
const PATIENCE: Duration = Duration::from_secs(20);

/// The VMs, each with a door of its own to the store.
const VMS: usize = 3;

/// Events of a whole stream.
const EVENTS: u64 = 40;

/// The time between two of them, so that a stream is under way while its VM stops.
const GAP_MS: u64 = 25;

/// The line of a VM that has taken the lease for orders.
const GIVES_ORDERS: &str = "this VM gives orders";

/// `EntryDemo` runs the demonstration.
pub struct EntryDemo<'a> {
    site: Site,
    /// None once a VM has been ended.
    vms: Vec<Option<VmProcess>>,
    checks: Checks<'a>,
    asked: u64,
}

impl<'a> EntryDemo<'a> {
    /// Starts the stand-ins and the VMs.
    ///
    /// # Errors
    ///
    /// `Error::MissingProgram` if the VMs' program has not been built; any of starting processes.
    pub fn start(out: &'a mut dyn Write) -> Result<Self> {
        let program = Program::Entry.path()?;
        let mut checks = Checks::new(out);
        checks.step("Starting a store, three engines, a service and three entry VMs")?;
        let engine = |index: usize, model: &str| EngineOptions {
            instance: format!("i-{index}"),
            models: vec![model.to_owned()],
            events: EVENTS,
            gap_ms: GAP_MS,
            ..EngineOptions::default()
        };
        let site = Site::start(SiteOptions {
            engines: vec![engine(0, "m0"), engine(1, "m0"), engine(2, "m1")],
            store_endpoints: VMS,
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
            asked: 0,
        })
    }

    /// Runs all steps, ends everything and returns whether all checks held.
    ///
    /// # Errors
    ///
    /// Any of the launcher, when a step can't be carried out at all.
    pub fn run(mut self) -> Result<bool> {
        self.start_up()?;
        self.streams()?;
        self.rare_model()?;
        self.lost_answers()?;
        self.new_giver()?;
        self.store_away()?;
        self.planned_stop()?;
        self.orders()?;
        self.checks.step("Stopping all processes")?;
        self.vms.clear();
        self.site.stop();
        self.checks.finish()
    }

    fn start_up(&mut self) -> Result<()> {
        for index in 0..VMS {
            poll_until("every VM takes callers", MAX_POLLS, || {
                Ok(self.vm(index)?.is_ready(PATIENCE).then_some(()))
            })?;
        }
        self.checks
            .check(format!("{VMS} VMs know the configuration"), true)
    }

    fn streams(&mut self) -> Result<()> {
        self.checks.step("A streamed answer through each VM")?;
        for index in 0..VMS {
            let answer = self.ask(index, |id| SiteRequest::quick(id, "m0"))?;
            let text = format!("through vm{index}: {}", shown(&answer));
            self.checks.check(text, is_whole_stream(&answer))?;
        }
        Ok(())
    }

    fn rare_model(&mut self) -> Result<()> {
        self.checks
            .step("All VMs are asked at once for a model that no engine holds")?;
        let mut waiting = Vec::new();
        for index in 0..VMS {
            let request = SiteRequest::patient(&self.next_id(), "m2");
            let mut caller = Caller::connect(self.vm(index)?.callers, PATIENCE)?;
            waiting.push(thread::spawn(move || caller.ask(&request)));
        }
        let mut whole = 0;
        for answer in waiting {
            let answer = answer
                .join()
                .map_err(|_| Error::failed("asking", "the caller's thread panicked"))??;
            whole += usize::from(is_whole_stream(&answer));
        }
        let holding = self
            .site
            .engines
            .iter()
            .filter(|it| it.serves("m2"))
            .count();
        self.checks.check(
            format!("{whole} of {VMS} answered whole; {holding} engine holds it now"),
            whole == VMS && holding == 1,
        )
    }

    fn lost_answers(&mut self) -> Result<()> {
        self.checks
            .step("An instance of the service runs calls and loses their answers")?;
        self.lose_next_answers();
        let booked = self.ask(0, SiteRequest::book)?;
        let runs = self.runs_of_last();
        self.checks.check(
            format!("a booking: {}, ran {runs} times", shown(&booked)),
            booked.status() == 502 && runs == 1,
        )?;
        self.take_lost_answers();
        self.lose_next_answer();
        let looked = self.ask(0, SiteRequest::look)?;
        let runs = self.runs_of_last();
        self.checks.check(
            format!("a lookup: {}, ran {runs} times", shown(&looked)),
            looked.is_success() && runs <= 2,
        )
    }

    fn new_giver(&mut self) -> Result<()> {
        self.checks
            .step("The VM that gives orders is killed, and an adapter is asked for")?;
        let giver = self.giver()?;
        self.vms[giver] = None;
        let other = (giver + 1) % VMS;
        let answer = self.ask(other, |id| SiteRequest::patient(id, "m1/a1"))?;
        self.checks.check(
            format!("vm{giver} killed; through vm{other}: {}", shown(&answer)),
            is_whole_stream(&answer),
        )
    }

    fn store_away(&mut self) -> Result<()> {
        self.checks
            .step("The store goes away; loaded models and services are served")?;
        self.fault_doors(StoreFault::Reset);
        let index = self.running()?;
        let stream = self.ask(index, |id| SiteRequest::quick(id, "m0"))?;
        let call = self.ask(index, SiteRequest::look)?;
        self.fault_doors(StoreFault::None);
        self.checks.check(
            format!("a stream: {}; a call: {}", shown(&stream), shown(&call)),
            is_whole_stream(&stream) && call.is_success(),
        )
    }

    fn planned_stop(&mut self) -> Result<()> {
        self.checks
            .step("A VM stops as planned, with a stream under way")?;
        let index = self.running()?;
        let request = SiteRequest::quick(&self.next_id(), "m0");
        let mut caller = Caller::connect(self.vm(index)?.callers, PATIENCE)?;
        caller.send(&request.bytes())?;
        let id = request.id.clone();
        poll_until("the stream has begun", MAX_POLLS, || {
            let ran = self
                .site
                .engines
                .iter()
                .any(|it| it.run_counts().contains_key(&id));
            Ok(ran.then_some(()))
        })?;
        self.vm(index)?.signal(Signal::SIGTERM)?;
        let answer = caller.answer()?;
        self.checks.check(
            format!("its stream: {}", shown(&answer)),
            is_whole_stream(&answer),
        )?;
        let Some(mut vm) = self.vms[index].take() else {
            return Err(Error::NotRunning(format!("vm{index}")));
        };
        let status = poll_until("the process ends", MAX_POLLS, || Ok(vm.try_wait()?))?;
        self.checks
            .check(format!("vm{index} ended: {status}"), status.success())
    }

    fn orders(&mut self) -> Result<()> {
        self.checks.step("What the engines were told")?;
        let mut overcommitted = 0;
        let mut holders: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
        let mut in_order = true;
        for engine in &self.site.engines {
            let effects = engine.effects();
            overcommitted += effects.overcommitted;
            in_order &= effects.holders.is_sorted_by_key(|(fence, _)| *fence);
            for (fence, holder) in effects.holders {
                holders.entry(fence).or_default().insert(holder);
            }
        }
        let alone = holders.values().all(|names| names.len() == 1);
        self.checks.check(
            format!("{} givers of orders, one after the other", holders.len()),
            alone && in_order && holders.len() == 2,
        )?;
        self.checks.check(
            format!("memory overcommitted {overcommitted} times"),
            overcommitted == 0,
        )
    }

    fn ask(&mut self, vm: usize, request: impl FnOnce(&str) -> SiteRequest) -> Result<Answer> {
        let request = request(&self.next_id());
        let mut caller = Caller::connect(self.vm(vm)?.callers, PATIENCE)?;
        Ok(caller.ask(&request)?)
    }

    fn next_id(&mut self) -> String {
        self.asked += 1;
        last_id(self.asked)
    }

    fn vm(&self, index: usize) -> Result<&VmProcess> {
        self.vms
            .get(index)
            .and_then(Option::as_ref)
            .ok_or_else(|| Error::NotRunning(format!("vm{index}")))
    }

    fn running(&self) -> Result<usize> {
        self.vms
            .iter()
            .position(Option::is_some)
            .ok_or_else(|| Error::NotRunning("every VM".to_owned()))
    }

    fn giver(&self) -> Result<usize> {
        let gives = |vm: &Option<VmProcess>| {
            vm.as_ref()
                .is_some_and(|vm| !vm.lines_with(GIVES_ORDERS).is_empty())
        };
        self.vms
            .iter()
            .position(gives)
            .ok_or_else(|| Error::UnknownName("VM that gives orders".to_owned()))
    }

    fn runs_of_last(&self) -> usize {
        let id = last_id(self.asked);
        let runs = |counts: std::collections::HashMap<String, usize>| {
            counts.get(&id).copied().unwrap_or_default()
        };
        self.site
            .services
            .iter()
            .map(|service| runs(service.run_counts()))
            .sum()
    }

    /// Has every instance lose its next answer, so that it does not matter which one is asked.
    fn lose_next_answers(&self) {
        for service in &self.site.services {
            service.push_fault(AnswerFault::LostAnswer);
        }
    }

    /// Takes back the faults that were not used.
    fn take_lost_answers(&self) {
        for service in &self.site.services {
            service.clear_faults();
        }
    }

    fn lose_next_answer(&self) {
        if let Some(service) = self.site.services.first() {
            service.push_fault(AnswerFault::LostAnswer);
        }
    }

    fn fault_doors(&self, fault: StoreFault) {
        for endpoint in &self.site.store_endpoints {
            endpoint.set_fault(fault);
        }
    }
}

fn last_id(asked: u64) -> String {
    format!("demo-{asked}")
}

fn is_whole_stream(answer: &Answer) -> bool {
    answer.is_success() && answer.event_ids() == (1..=EVENTS).collect::<Vec<u64>>()
}

fn shown(answer: &Answer) -> String {
    let events = answer.event_ids().len();
    match (answer.status(), answer.complete) {
        (0, _) => "no answer".to_owned(),
        (status, true) if events > 0 => format!("{status}, {events} events, whole"),
        (status, true) => format!("{status}, whole"),
        (status, false) => format!("{status}, cut after {events} events"),
    }
}
