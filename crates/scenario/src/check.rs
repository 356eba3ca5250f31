//! Check of a scenario before it runs: the order of its statements and the names in them.
//!
//! Without the check, a misspelled name would fail only when its step is reached, after the
//! processes were started, or not at all if it makes a condition hold trivially.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ast::Alias;
use crate::ast::AliasRole;
use crate::ast::Condition;
use crate::ast::Measure;
use crate::ast::ProcessVerb;
use crate::ast::Publication;
use crate::ast::Scenario;
use crate::ast::SendRequests;
use crate::ast::Setup;
use crate::ast::StandinKind;
use crate::ast::Statement;
use crate::ast::Step;
use crate::ast::VmSelector;
use crate::errors::Error;
use crate::errors::Result;
use crate::fault::fault_body;
use crate::layout::Layout;
use crate::layout::ProcessKind;

/// Checks the order of a scenario's statements and the names in them.
///
/// # Errors
///
/// `Error::Meaning` for the first invalid statement.
pub fn check(scenario: &Scenario) -> Result<()> {
    let mut checker = Checker {
        layout: Layout::of(scenario),
        started: false,
        aliases: BTreeMap::new(),
        requests: BTreeSet::new(),
        raced: false,
    };
    for step in &scenario.steps {
        checker
            .step(step)
            .map_err(|detail| Error::meaning(step.position, detail))?;
    }
    Ok(())
}

/// Result of checking one statement; the error is a sentence about what is wrong.
type CheckResult = std::result::Result<(), String>;

struct Checker {
    layout: Layout,
    started: bool,
    aliases: BTreeMap<String, AliasRole>,
    requests: BTreeSet<String>,
    raced: bool,
}

impl Checker {
    fn step(&mut self, step: &Step) -> CheckResult {
        match &step.statement {
            Statement::Setup(_) | Statement::Start if self.started => {
                Err("the cluster is started already".to_owned())
            }
            Statement::Setup(setup) => check_setup(setup),
            Statement::Start if self.layout.vms.is_empty() => Err("there are no VMs".to_owned()),
            Statement::Start => {
                self.started = true;
                Ok(())
            }
            _ if !self.started => Err("the cluster is not started yet".to_owned()),
            statement => self.check_running_step(statement),
        }
    }

    fn check_running_step(&mut self, statement: &Statement) -> CheckResult {
        match statement {
            Statement::Setup(_) | Statement::Start => Ok(()),
            Statement::Publish(publication) => self.publication(publication),
            Statement::Race(left, right) => {
                self.raced = true;
                self.publication(left)?;
                self.publication(right)
            }
            Statement::Alias(alias) => self.alias(alias),
            Statement::SendRequests(send) | Statement::Insist(send) => self.send(send),
            Statement::AwaitBegun(name) | Statement::AwaitEnd(name, _) => self.request(name),
            Statement::AwaitExit(name, _) => self.vm(name),
            Statement::Fault(target, words) => self.fault(target, words),
            Statement::Trim(_) => Ok(()),
            Statement::Process(verb, name) => self.process(*verb, name),
            Statement::List(name, _) => self.listed(name),
            Statement::Expect(condition)
            | Statement::Eventually(condition, _)
            | Statement::Always(condition, _) => self.condition(condition),
        }
    }

    fn publication(&self, publication: &Publication) -> CheckResult {
        self.selector(&publication.selector)
    }

    fn alias(&mut self, alias: &Alias) -> CheckResult {
        if self.layout.find(&alias.name).is_some() {
            return Err(format!("{} is a name of the cluster", alias.name));
        }
        self.aliases.insert(alias.name.clone(), alias.role);
        Ok(())
    }

    fn send(&mut self, send: &SendRequests) -> CheckResult {
        self.selector(&send.selector)?;
        if send.count == 0 {
            return Err("a burst needs a request".to_owned());
        }
        if !self.requests.insert(send.name.clone()) {
            return Err(format!("there is a request {} already", send.name));
        }
        Ok(())
    }

    fn fault(&self, target: &str, words: &[String]) -> CheckResult {
        let kind = match (self.layout.find(target), self.aliases.get(target)) {
            (Some(ProcessKind::Standin(kind)), _) => kind,
            (None, Some(AliasRole::Engine)) => StandinKind::Engine,
            _ => return Err(format!("there is no stand-in {target}")),
        };
        fault_body(kind, words).map(|_| ())
    }

    fn process(&self, verb: ProcessVerb, name: &str) -> CheckResult {
        match verb {
            ProcessVerb::Kill | ProcessVerb::Freeze | ProcessVerb::Wake => self.any(name),
            ProcessVerb::Terminate | ProcessVerb::Restart => self.vm(name),
        }
    }

    fn condition(&self, condition: &Condition) -> CheckResult {
        match &condition.measure {
            Measure::Engine(_, on) | Measure::Model(_, _, on) => match on {
                Some(engine) => self.engine(engine),
                None => Ok(()),
            },
            Measure::Runs(name) | Measure::Endings(name, _) => self.request(name),
            Measure::RaceAccepted | Measure::RaceRejected if !self.raced => {
                Err("there was no race".to_owned())
            }
            Measure::Accepting(name) | Measure::Received(name) => self.upstream(name),
            Measure::Metric(_, vm) | Measure::Seen(vm, _) | Measure::InProgress(vm) => self.vm(vm),
            Measure::Calls(_)
            | Measure::KeyCalls(_)
            | Measure::RaceAccepted
            | Measure::RaceRejected
            | Measure::InForce(_)
            | Measure::ConfigVersions
            | Measure::Diverged
            | Measure::Verdicts(_)
            | Measure::Unsnapshotted(_)
            | Measure::Ready => Ok(()),
        }
    }

    fn selector(&self, selector: &VmSelector) -> CheckResult {
        match selector {
            VmSelector::All => Ok(()),
            VmSelector::Not(name) | VmSelector::Vm(name) => self.vm(name),
        }
    }

    fn request(&self, name: &str) -> CheckResult {
        match self.requests.contains(name) {
            true => Ok(()),
            false => Err(format!("there is no request {name} before this line")),
        }
    }

    fn vm(&self, name: &str) -> CheckResult {
        match (self.layout.find(name), self.aliases.get(name)) {
            (Some(ProcessKind::Vm), _) | (None, Some(AliasRole::Proposer)) => Ok(()),
            _ => Err(format!("there is no VM {name}")),
        }
    }

    fn engine(&self, name: &str) -> CheckResult {
        match (self.layout.find(name), self.aliases.get(name)) {
            (Some(ProcessKind::Standin(StandinKind::Engine)), _)
            | (None, Some(AliasRole::Engine)) => Ok(()),
            _ => Err(format!("there is no engine {name}")),
        }
    }

    fn upstream(&self, name: &str) -> CheckResult {
        match self.layout.find(name) {
            Some(ProcessKind::Standin(StandinKind::Service)) => Ok(()),
            _ => self
                .engine(name)
                .map_err(|_| format!("there is no upstream {name}")),
        }
    }

    fn listed(&self, name: &str) -> CheckResult {
        self.vm(name)
            .or_else(|_| self.upstream(name))
            .map_err(|_| format!("the list has no {name}"))
    }

    fn any(&self, name: &str) -> CheckResult {
        match self.layout.find(name).is_some() || self.aliases.contains_key(name) {
            true => Ok(()),
            false => Err(format!("there is no process {name}")),
        }
    }
}

fn check_setup(setup: &Setup) -> CheckResult {
    match setup {
        Setup::Vms(0) => Err("a cluster needs a VM".to_owned()),
        Setup::Zones(zones) if zones.is_empty() => Err("a cluster needs a zone".to_owned()),
        _ => Ok(()),
    }
}
