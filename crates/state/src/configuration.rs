//! Configuration in force and the application of changes to it.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::config::ConfigChange;
use apricotdale_core::config::ConfigEdit;
use apricotdale_core::config::ModelSpec;
use apricotdale_core::config::ServiceSpec;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::ModelName;
use apricotdale_core::numbers::ConfigVersion;

use crate::config_rules::ConfigFault;
use crate::config_rules::ConfigRule;
use crate::config_rules::MAX_CLASSES;
use crate::config_rules::MAX_EDITS;
use crate::config_rules::MAX_MODEL_BYTES;
use crate::config_rules::MAX_MODELS;
use crate::config_rules::MAX_NAME_BYTES;
use crate::config_rules::MAX_PATHS;
use crate::config_rules::MAX_SERVICES;
use crate::config_rules::MAX_TARGET_MS;
use crate::config_rules::is_name;
use crate::config_rules::is_path;

/// Latency target of a class, and the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfiguredClass {
    /// Time in milliseconds after its arrival within which a request must be answered.
    pub answer_within_ms: u64,
    /// Version of the last change of this class.
    pub version: ConfigVersion,
}

/// Properties of a model or adapter, and the version of its last change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfiguredModel {
    /// Model that the adapter belongs to; `None` for a model.
    pub base: Option<ModelName>,
    /// Group of engines that can run it.
    pub group: GroupName,
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
    /// Version of the last change of this model.
    pub version: ConfigVersion,
}

/// Classes, models and services that are in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    version: ConfigVersion,
    classes: BTreeMap<ClassName, ConfiguredClass>,
    models: BTreeMap<ModelName, ConfiguredModel>,
    services: BTreeMap<GroupName, Vec<String>>,
}

impl Configuration {
    /// Returns the offset of the last accepted change; zero if there has been none.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns all classes in order of name.
    pub fn classes(&self) -> impl Iterator<Item = (&ClassName, &ConfiguredClass)> {
        self.classes.iter()
    }

    /// Returns a class; `None` if it is not configured.
    pub fn class(&self, class: &ClassName) -> Option<ClassTarget> {
        let configured = self.classes.get(class)?;
        Some(ClassTarget {
            class: class.clone(),
            answer_within_ms: configured.answer_within_ms,
        })
    }

    /// Returns all models and adapters in order of name.
    pub fn models(&self) -> impl Iterator<Item = (&ModelName, &ConfiguredModel)> {
        self.models.iter()
    }

    /// Returns a model or adapter with its version; `None` if it is not configured.
    pub fn model(&self, model: &ModelName) -> Option<&ConfiguredModel> {
        self.models.get(model)
    }

    /// Returns a model or adapter as it was published; `None` if it is not configured.
    pub fn model_spec(&self, model: &ModelName) -> Option<ModelSpec> {
        let configured = self.models.get(model)?;
        Some(ModelSpec {
            model: model.clone(),
            base: configured.base.clone(),
            group: configured.group.clone(),
            bytes: configured.bytes,
        })
    }

    /// Returns all services in order of name.
    pub fn services(&self) -> impl Iterator<Item = ServiceSpec> + '_ {
        self.services.iter().map(|(service, paths)| ServiceSpec {
            service: service.clone(),
            idempotent_paths: paths.clone(),
        })
    }

    /// Returns a service; `None` if it is not configured.
    pub fn service(&self, service: &GroupName) -> Option<ServiceSpec> {
        let paths = self.services.get(service)?;
        Some(ServiceSpec {
            service: service.clone(),
            idempotent_paths: paths.clone(),
        })
    }

    /// Returns the first fault of a change; `None` if its edits can be applied now. A publisher
    /// checks a change before it appends it; replay checks the change again.
    pub fn validate(&self, change: &ConfigChange) -> Option<ConfigFault> {
        self.with_edits(change, self.version).err()
    }

    /// Applies all edits of a change under a new version, or none of them.
    ///
    /// # Errors
    ///
    /// The first fault of the change; the configuration is then unchanged.
    pub fn edit(
        &mut self,
        change: &ConfigChange,
        version: ConfigVersion,
    ) -> Result<(), ConfigFault> {
        if version == ConfigVersion::default() {
            return Err(ConfigFault::of_change(ConfigRule::FirstOffset));
        }
        *self = self.with_edits(change, version)?;
        Ok(())
    }

    fn with_edits(
        &self,
        change: &ConfigChange,
        version: ConfigVersion,
    ) -> Result<Self, ConfigFault> {
        check_change(change)?;
        let mut edited = self.clone();
        edited.version = version;
        for edit in &change.edits {
            edited.apply_edit(edit)?;
        }
        edited.check_counts()?;
        edited.check_adapters()?;
        Ok(edited)
    }

    fn apply_edit(&mut self, edit: &ConfigEdit) -> Result<(), ConfigFault> {
        match edit {
            ConfigEdit::PutClass(target) => self.put_class(target),
            ConfigEdit::RemoveClass(class) => {
                check_removed(self.classes.remove(class), class.as_str())
            }
            ConfigEdit::PutModel(spec) => self.put_model(spec),
            ConfigEdit::RemoveModel(model) => {
                check_removed(self.models.remove(model), model.as_str())
            }
            ConfigEdit::PutService(spec) => self.put_service(spec),
            ConfigEdit::RemoveService(service) => {
                check_removed(self.services.remove(service), service.as_str())
            }
        }
    }

    fn put_class(&mut self, target: &ClassTarget) -> Result<(), ConfigFault> {
        check_name(target.class.as_str())?;
        if target.answer_within_ms == 0 || target.answer_within_ms > MAX_TARGET_MS {
            return Err(ConfigFault::of(
                ConfigRule::BadTarget,
                target.class.as_str(),
            ));
        }
        let class = ConfiguredClass {
            answer_within_ms: target.answer_within_ms,
            version: self.version,
        };
        match self.classes.get(&target.class) {
            Some(old) if old.answer_within_ms == class.answer_within_ms => {}
            _ => drop(self.classes.insert(target.class.clone(), class)),
        }
        Ok(())
    }

    fn put_model(&mut self, spec: &ModelSpec) -> Result<(), ConfigFault> {
        check_name(spec.model.as_str())?;
        check_name(spec.group.as_str())?;
        if spec.bytes == 0 || spec.bytes > MAX_MODEL_BYTES {
            return Err(ConfigFault::of(ConfigRule::BadSize, spec.model.as_str()));
        }
        if self.model_spec(&spec.model).as_ref() == Some(spec) {
            return Ok(());
        }
        let model = ConfiguredModel {
            base: spec.base.clone(),
            group: spec.group.clone(),
            bytes: spec.bytes,
            version: self.version,
        };
        self.models.insert(spec.model.clone(), model);
        Ok(())
    }

    fn put_service(&mut self, spec: &ServiceSpec) -> Result<(), ConfigFault> {
        check_name(spec.service.as_str())?;
        if spec.idempotent_paths.len() > MAX_PATHS {
            return Err(ConfigFault::of(
                ConfigRule::TooManyPaths,
                spec.service.as_str(),
            ));
        }
        if !spec.idempotent_paths.iter().all(|path| is_path(path)) {
            return Err(ConfigFault::of(ConfigRule::BadPath, spec.service.as_str()));
        }
        self.services
            .insert(spec.service.clone(), spec.idempotent_paths.clone());
        Ok(())
    }

    fn check_counts(&self) -> Result<(), ConfigFault> {
        let counts = [
            (self.classes.len(), MAX_CLASSES, ConfigRule::TooManyClasses),
            (self.models.len(), MAX_MODELS, ConfigRule::TooManyModels),
            (
                self.services.len(),
                MAX_SERVICES,
                ConfigRule::TooManyServices,
            ),
        ];
        match counts.into_iter().find(|(count, most, _)| count > most) {
            Some((_, _, rule)) => Err(ConfigFault::of_change(rule)),
            None => Ok(()),
        }
    }

    fn check_adapters(&self) -> Result<(), ConfigFault> {
        for (name, adapter) in &self.models {
            let Some(base) = &adapter.base else { continue };
            let rule = match self.models.get(base) {
                None => ConfigRule::UnknownBase,
                Some(base) if base.base.is_some() => ConfigRule::BaseIsAdapter,
                Some(base) if base.group != adapter.group => ConfigRule::BaseInOtherGroup,
                Some(_) => continue,
            };
            return Err(ConfigFault::of(rule, name.as_str()));
        }
        Ok(())
    }
}

fn check_change(change: &ConfigChange) -> Result<(), ConfigFault> {
    if change.edits.is_empty() {
        return Err(ConfigFault::of_change(ConfigRule::NoEdits));
    }
    if change.edits.len() > MAX_EDITS {
        return Err(ConfigFault::of_change(ConfigRule::TooManyEdits));
    }
    let operator = &change.operator;
    if operator.len() > MAX_NAME_BYTES || operator.chars().any(char::is_control) {
        return Err(ConfigFault::of(ConfigRule::BadOperator, operator));
    }
    Ok(())
}

fn check_name(name: &str) -> Result<(), ConfigFault> {
    match is_name(name) {
        true => Ok(()),
        false => Err(ConfigFault::of(ConfigRule::BadName, name)),
    }
}

fn check_removed<T>(old: Option<T>, name: &str) -> Result<(), ConfigFault> {
    match old {
        Some(_) => Ok(()),
        None => Err(ConfigFault::of(ConfigRule::NotConfigured, name)),
    }
}
