//! What operators publish: classes with their targets, models, and services.

use serde::Deserialize;
use serde::Serialize;

use crate::names::ClassName;
use crate::names::GroupName;
use crate::names::ModelName;
use crate::numbers::ConfigVersion;

/// `ClassTarget` is a class of work and its target, the only thing by which operators steer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassTarget {
    /// The class.
    pub class: ClassName,
    /// How soon after its arrival a request of the class must be answered: the first token of a
    /// stream, the whole of any other answer.
    pub answer_within_ms: u64,
}

/// `ModelSpec` is a model or an adapter that callers may name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// The name that callers write.
    pub model: ModelName,
    /// The model an adapter belongs to, or none for a model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ModelName>,
    /// The group of engines that can run it.
    pub group: GroupName,
    /// The accelerator memory it takes.
    pub bytes: u64,
}

/// `ServiceSpec` is a plain service that callers may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// The service, and the group of upstreams that are its instances.
    pub service: GroupName,
    /// Paths, each below the service, whose calls may be repeated. Calls by GET and HEAD always
    /// may; every other call runs at most once.
    #[serde(default)]
    pub idempotent_paths: Vec<String>,
}

/// `ConfigEdit` is one edit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEdit {
    /// Adds a class or replaces its target.
    PutClass(ClassTarget),
    /// Removes a class.
    RemoveClass(ClassName),
    /// Adds a model or replaces it.
    PutModel(ModelSpec),
    /// Removes a model.
    RemoveModel(ModelName),
    /// Adds a service or replaces it.
    PutService(ServiceSpec),
    /// Removes a service.
    RemoveService(GroupName),
}

/// `ConfigChange` is a set of edits that is accepted or rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Chosen at random by the publisher, so that it can find its change on the stream when the
    /// append's answer was lost, and so that a repeated append is accepted once.
    pub change_id: u64,
    /// Who published it.
    pub operator: String,
    /// The version that the publisher had read. The change is accepted only if no other change
    /// was accepted since.
    pub base_version: ConfigVersion,
    /// The edits, applied in order.
    pub edits: Vec<ConfigEdit>,
}
