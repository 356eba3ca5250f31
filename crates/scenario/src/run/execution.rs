//! State of a run: the cluster, the requests that were sent, and aliases.

use std::collections::BTreeMap;
use std::io::Write;

use crate::ast::Statement;
use crate::ast::VmSelector;
use crate::errors::Error;
use crate::errors::Result;
use crate::run::Options;
use crate::run::setup::add_setup;
use apricotdale_admin::PublishOutcome;
use apricotdale_launcher::caller::PendingAnswer;
use apricotdale_launcher::cluster::Cluster;
use apricotdale_launcher::cluster::Vm;
use apricotdale_launcher::cluster::options::ClusterOptions;
use apricotdale_launcher::processes::Processes;
use apricotdale_launcher::standin::EngineEffects;

/// Request that was sent.
#[derive(Clone, Debug)]
pub(super) struct SentRequest {
    /// Name of the VM that it was sent to.
    pub(super) vm: String,
    /// Answer, which may still be arriving.
    pub(super) answer: PendingAnswer,
}

/// State of a run, on which its steps are executed.
pub(super) struct Execution {
    options: ClusterOptions,
    cluster: Option<Cluster>,
    pub(super) requests: BTreeMap<String, Vec<SentRequest>>,
    pub(super) aliases: BTreeMap<String, String>,
    pub(super) race: Vec<PublishOutcome>,
}

impl Execution {
    pub(super) fn new(options: Options) -> Self {
        let cluster_options = ClusterOptions {
            log_dir: options.log_dir,
            ..ClusterOptions::default()
        };
        Self {
            options: cluster_options,
            cluster: None,
            requests: BTreeMap::new(),
            aliases: BTreeMap::new(),
            race: Vec::new(),
        }
    }

    /// Executes a statement and returns a note for the transcript, if any.
    pub(super) fn step(
        &mut self,
        statement: &Statement,
        prepare: &impl Fn(&Processes),
    ) -> Result<Option<String>> {
        match statement {
            Statement::Setup(setup) => {
                add_setup(&mut self.options, setup);
                Ok(None)
            }
            Statement::Start => {
                self.cluster = Some(Cluster::start(self.options.clone(), prepare)?);
                Ok(None)
            }
            Statement::Publish(publication) => self.publish(publication),
            Statement::Race(left, right) => self.race(left, right),
            Statement::Alias(alias) => self.alias(alias),
            Statement::SendRequests(send) => self.send(send),
            Statement::Insist(send) => self.insist(send),
            Statement::AwaitBegun(name) => self.await_begun(name),
            Statement::AwaitExit(name, code) => self.await_exit(name, *code),
            Statement::AwaitEnd(name, ending) => self.await_end(name, ending),
            Statement::Fault(target, words) => self.fault(target, words),
            Statement::Trim(stream) => self.trim(stream),
            Statement::Process(verb, name) => self.process(*verb, name),
            Statement::List(name, state) => self.list(name, *state),
            Statement::Expect(condition) => self.expect(condition),
            Statement::Eventually(condition, limit) => self.eventually(condition, *limit),
            Statement::Always(condition, polls) => self.always(condition, *polls),
        }
    }

    /// Writes the state of requests and engines and the ends of the VMs' logs, to help find the
    /// cause of a failed step.
    pub(super) fn describe(&self, transcript: &mut dyn Write) -> Result<()> {
        let Some(cluster) = &self.cluster else {
            return Ok(());
        };
        for (name, requests) in &self.requests {
            for sent in requests {
                let outcome = sent.answer.outcome();
                let outcome =
                    outcome.map_or("in progress".to_owned(), |outcome| outcome.to_string());
                writeln!(transcript, "      request {name} at {}: {outcome}", sent.vm)?;
            }
        }
        for (name, engine) in cluster.engines() {
            match engine.effects::<EngineEffects>() {
                Ok(effects) => writeln!(transcript, "      {name}: {effects:?}")?,
                Err(error) => writeln!(transcript, "      {name}: {error}")?,
            }
        }
        for name in cluster.vm_names() {
            let log = cluster.processes().log_tail(&name)?;
            writeln!(transcript, "      log of {name}:")?;
            for line in log.lines() {
                writeln!(transcript, "        {line}")?;
            }
        }
        Ok(())
    }

    pub(super) fn cluster(&self) -> &Cluster {
        self.cluster
            .as_ref()
            .expect("the check admits only setup statements before the start")
    }

    pub(super) fn cluster_mut(&mut self) -> &mut Cluster {
        self.cluster
            .as_mut()
            .expect("the check admits only setup statements before the start")
    }

    /// Returns the name of the process that a name or an alias stands for.
    pub(super) fn resolve(&self, name: &str) -> String {
        let real = self.aliases.get(name);
        real.map_or_else(|| name.to_owned(), Clone::clone)
    }

    /// Returns the VMs that a selector selects.
    pub(super) fn selected_vms(&self, selector: &VmSelector) -> Result<Vec<Vm>> {
        let running = self.cluster().running_vms();
        match selector {
            VmSelector::All if running.is_empty() => Err(Error::failed("no VM runs")),
            VmSelector::All => Ok(running.into_iter().cloned().collect()),
            VmSelector::Vm(name) => Ok(vec![self.cluster().vm(&self.resolve(name))?.clone()]),
            VmSelector::Not(name) => {
                let excluded = self.resolve(name);
                let other = running.into_iter().find(|vm| vm.name != excluded);
                let other = other.ok_or_else(|| Error::failed("no other VM runs"))?;
                Ok(vec![other.clone()])
            }
        }
    }

    /// Returns the requests that were sent under a name.
    pub(super) fn sent(&self, name: &str) -> &[SentRequest] {
        self.requests
            .get(name)
            .expect("the check admits only names of earlier requests")
    }
}
