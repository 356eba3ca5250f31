//! Reading of the measures that conditions compare.

use std::collections::BTreeSet;

use crate::ast::Ending;
use crate::ast::EngineMeasure;
use crate::ast::Measure;
use crate::ast::ModelMeasure;
use crate::errors::Error;
use crate::errors::Result;
use crate::run::endings;
use crate::run::execution::Execution;
use apricotdale_admin::ConfigView;
use apricotdale_admin::MemberState;
use apricotdale_admin::PublishOutcome;
use apricotdale_admin::ReplicaState;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::engine::EngineStatus;
use apricotdale_core::engine::Residency;
use apricotdale_launcher::cluster::LOG;
use apricotdale_launcher::cluster::records;
use apricotdale_launcher::health::is_ready;
use apricotdale_launcher::metrics::metric_value;
use apricotdale_launcher::standin::EngineEffects;
use apricotdale_launcher::standin::ServiceEffects;
use apricotdale_launcher::standin::StandinClient;

impl Execution {
    /// Returns the current value of a measure.
    pub(super) fn measure(&self, measure: &Measure) -> Result<u64> {
        match measure {
            Measure::Engine(measure, on) => self.engine_measure(*measure, on.as_deref()),
            Measure::Model(measure, model, on) => {
                self.model_measure(*measure, model, on.as_deref())
            }
            Measure::Calls(call) => self.sum_services(|effects| count(effects.calls.get(call))),
            Measure::KeyCalls(key) => self.sum_services(|effects| count(effects.keys.get(key))),
            Measure::Runs(name) => self.runs(name),
            Measure::Endings(name, ending) => Ok(self.endings(name, ending)),
            Measure::RaceAccepted => Ok(self.race_outcomes(true)),
            Measure::RaceRejected => Ok(self.race_outcomes(false)),
            Measure::InForce(edit) => self.count_vms_with(|config| is_in_force(config, edit)),
            Measure::ConfigVersions => self.config_versions(),
            Measure::Diverged => self.diverged(),
            Measure::Accepting(upstream) => self.accepting(&self.resolve(upstream)),
            Measure::Received(upstream) => self.received(&self.resolve(upstream)),
            Measure::Ready => Ok(self.ready()),
            Measure::Seen(vm, state) => self.seen(&self.resolve(vm), *state),
            Measure::Verdicts(code) => self.verdicts(code),
            Measure::InProgress(vm) => {
                let admin = self.cluster().admin(&self.resolve(vm))?;
                Ok(admin.status()?.in_progress)
            }
            Measure::Unsnapshotted(stream) => {
                let log = self.cluster().standin(LOG)?;
                Ok(records::unsnapshotted(log, stream)?)
            }
            Measure::Metric(name, vm) => self.metric(name, &self.resolve(vm)),
        }
    }

    fn engine_measure(&self, measure: EngineMeasure, on: Option<&str>) -> Result<u64> {
        match measure {
            EngineMeasure::LoadOrders => self.sum_engines(on, |effects| effects.load_orders),
            EngineMeasure::UnloadOrders => self.sum_engines(on, |effects| effects.unload_orders),
            EngineMeasure::RefusedOrders => self.sum_engines(on, |effects| effects.refused_orders),
            EngineMeasure::Overcommitted => self.sum_engines(on, |effects| effects.overcommitted),
            EngineMeasure::HeldBytes => self.sum_statuses(on, |status| {
                status.residents.iter().map(|resident| resident.bytes).sum()
            }),
        }
    }

    fn model_measure(&self, measure: ModelMeasure, model: &str, on: Option<&str>) -> Result<u64> {
        match measure {
            ModelMeasure::Loads => self.sum_engines(on, |effects| count(effects.loads.get(model))),
            ModelMeasure::Loaded => self.sum_statuses(on, |status| {
                residents(status, model, |residency| residency == Residency::Loaded)
            }),
            ModelMeasure::Resident => {
                self.sum_statuses(on, |status| residents(status, model, |_| true))
            }
            ModelMeasure::Proposed => Ok(self.proposed(model, on)?.len() as u64),
            ModelMeasure::Decided => self.decided(model, on),
            ModelMeasure::Routable => self.routable(model, on),
        }
    }

    fn sum_engines(&self, on: Option<&str>, number: impl Fn(&EngineEffects) -> u64) -> Result<u64> {
        let mut sum = 0;
        for engine in self.engines(on)? {
            sum += number(&engine.effects()?);
        }
        Ok(sum)
    }

    fn sum_statuses(&self, on: Option<&str>, number: impl Fn(&EngineStatus) -> u64) -> Result<u64> {
        let mut sum = 0;
        for engine in self.engines(on)? {
            sum += number(&engine.engine_status()?);
        }
        Ok(sum)
    }

    fn sum_services(&self, number: impl Fn(&ServiceEffects) -> u64) -> Result<u64> {
        let mut sum = 0;
        for (_, service) in self.cluster().services() {
            sum += number(&service.effects()?);
        }
        Ok(sum)
    }

    fn engines(&self, on: Option<&str>) -> Result<Vec<&StandinClient>> {
        let cluster = self.cluster();
        match on {
            Some(name) => Ok(vec![cluster.standin(&self.resolve(name))?]),
            None => Ok(cluster
                .engines()
                .into_iter()
                .map(|(_, engine)| engine)
                .collect()),
        }
    }

    /// Returns the offsets of the load intents for a model, on one engine or on any.
    fn proposed(&self, model: &str, on: Option<&str>) -> Result<Vec<u64>> {
        let on = on.map(|name| self.resolve(name));
        let intents = records::load_intents(self.cluster().standin(LOG)?)?;
        let offsets = intents.into_iter().filter(|(_, intent)| {
            let is_on_engine = on
                .as_deref()
                .is_none_or(|name| intent.engine.as_str() == name);
            intent.model.as_str() == model && is_on_engine
        });
        Ok(offsets.map(|(offset, _)| offset).collect())
    }

    /// Counts the load intents for a model that replay accepted.
    fn decided(&self, model: &str, on: Option<&str>) -> Result<u64> {
        let decided = records::decided_loads(self.cluster().standin(LOG)?)?;
        let proposed = self.proposed(model, on)?.into_iter();
        Ok(proposed.filter(|offset| decided.contains(offset)).count() as u64)
    }

    /// Counts the running VMs that see a loaded replica of a model.
    fn routable(&self, model: &str, on: Option<&str>) -> Result<u64> {
        let on = on.map(|name| self.resolve(name));
        let mut vms = 0;
        for vm in self.cluster().running_vms() {
            let view = self.cluster().admin(&vm.name)?.models()?;
            let mut lines = view
                .models
                .iter()
                .filter(|line| line.model.as_str() == model);
            let sees_replica = lines.any(|line| {
                line.replicas.iter().any(|replica| {
                    let is_on_engine = on.as_deref().is_none_or(|on| replica.engine.as_str() == on);
                    replica.state == ReplicaState::Loaded && is_on_engine
                })
            });
            vms += u64::from(sees_replica);
        }
        Ok(vms)
    }

    /// Counts how often upstreams ran the requests that were sent under a name.
    fn runs(&self, name: &str) -> Result<u64> {
        let mut request_ids = BTreeSet::new();
        for sent in self.sent(name) {
            let outcome = sent.answer.outcome();
            let head = outcome.as_ref().and_then(|outcome| outcome.head());
            match head {
                Some(head) if !head.request.is_empty() => request_ids.insert(head.request.clone()),
                _ => {
                    return Err(Error::failed(format!(
                        "the request ID of {name} is not known yet"
                    )));
                }
            };
        }
        let is_ours = |request_id: &String| request_ids.contains(request_id);
        let engines = self.sum_engines(None, |effects| {
            let requests = effects.requests.iter();
            requests
                .filter(|(request_id, _)| is_ours(request_id))
                .map(|(_, request)| request.runs)
                .sum()
        })?;
        let services = self.sum_services(|effects| {
            let calls = effects.requests.iter();
            calls
                .filter(|(request_id, _)| is_ours(request_id))
                .map(|(_, calls)| calls)
                .sum()
        })?;
        Ok(engines + services)
    }

    fn endings(&self, name: &str, ending: &Ending) -> u64 {
        let ended = self
            .sent(name)
            .iter()
            .filter_map(|sent| sent.answer.outcome());
        ended
            .filter(|outcome| endings::matches_ending(outcome, ending))
            .count() as u64
    }

    fn count_vms_with(&self, holds: impl Fn(&ConfigView) -> bool) -> Result<u64> {
        let mut vms = 0;
        for vm in self.cluster().running_vms() {
            let config = self.cluster().admin(&vm.name)?.config()?;
            vms += u64::from(holds(&config));
        }
        Ok(vms)
    }

    fn config_versions(&self) -> Result<u64> {
        let mut versions = BTreeSet::new();
        for vm in self.cluster().running_vms() {
            versions.insert(self.cluster().admin(&vm.name)?.config()?.version);
        }
        Ok(versions.len() as u64)
    }

    fn diverged(&self) -> Result<u64> {
        let mut diverged = 0;
        for vm in self.cluster().running_vms() {
            let view = self.cluster().admin(&vm.name)?.members()?;
            diverged += view.members.iter().filter(|member| member.diverged).count() as u64;
        }
        Ok(diverged)
    }

    /// Counts the other running VMs that see a VM in a state.
    fn seen(&self, vm: &str, state: MemberState) -> Result<u64> {
        let mut vms = 0;
        for other in self.cluster().running_vms() {
            if other.name == vm {
                continue;
            }
            let view = self.cluster().admin(&other.name)?.members()?;
            let mut members = view.members.iter();
            let is_seen = members.any(|line| line.vm.as_str() == vm && line.state == state);
            vms += u64::from(is_seen);
        }
        Ok(vms)
    }

    fn verdicts(&self, code: &str) -> Result<u64> {
        let verdicts = records::verdicts(self.cluster().standin(LOG)?)?;
        Ok(verdicts
            .iter()
            .filter(|(_, verdict)| verdict.as_str() == code)
            .count() as u64)
    }

    fn accepting(&self, upstream: &str) -> Result<u64> {
        let mut vms = 0;
        for vm in self.cluster().running_vms() {
            let view = self.cluster().admin(&vm.name)?.upstreams()?;
            let accepts = view
                .upstreams
                .iter()
                .any(|line| line.upstream.as_str() == upstream && line.accepts);
            vms += u64::from(accepts);
        }
        Ok(vms)
    }

    fn received(&self, upstream: &str) -> Result<u64> {
        let standin = self.cluster().standin(upstream)?;
        if upstream.starts_with("engine") {
            let effects: EngineEffects = standin.effects()?;
            return Ok(effects.requests.len() as u64);
        }
        let effects: ServiceEffects = standin.effects()?;
        Ok(effects.calls.values().sum())
    }

    fn ready(&self) -> u64 {
        let vms = self.cluster().running_vms().into_iter();
        vms.filter(|vm| is_ready(vm.addresses.callers)).count() as u64
    }

    fn metric(&self, name: &str, vm: &str) -> Result<u64> {
        let address = self.cluster().vm(vm)?.addresses.admin;
        Ok(metric_value(address, name)?)
    }

    fn race_outcomes(&self, accepted: bool) -> u64 {
        let outcomes = self.race.iter();
        let matching = outcomes.filter(|outcome| match outcome {
            PublishOutcome::Accepted { .. } => accepted,
            PublishOutcome::Rejected { .. } => !accepted,
            PublishOutcome::Unknown { .. } => false,
        });
        matching.count() as u64
    }
}

fn is_in_force(config: &ConfigView, edit: &ConfigEdit) -> bool {
    match edit {
        ConfigEdit::PutClass(class) => config.classes.contains(class),
        ConfigEdit::PutModel(model) => config.models.contains(model),
        ConfigEdit::PutService(service) => config.services.contains(service),
        ConfigEdit::RemoveClass(class) => !config.classes.iter().any(|line| line.class == *class),
        ConfigEdit::RemoveModel(model) => !config.models.iter().any(|line| line.model == *model),
        ConfigEdit::RemoveService(service) => {
            !config.services.iter().any(|line| line.service == *service)
        }
    }
}

fn residents(status: &EngineStatus, model: &str, counts: impl Fn(Residency) -> bool) -> u64 {
    let residents = status.residents.iter();
    residents
        .filter(|resident| resident.model.as_str() == model && counts(resident.residency))
        .count() as u64
}

fn count(number: Option<&u64>) -> u64 {
    number.copied().unwrap_or_default()
}
