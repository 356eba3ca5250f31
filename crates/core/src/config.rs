//! Configuration that operators publish: classes with their latency targets, models and services.

use serde::Deserialize;
use serde::Serialize;

use crate::names::ClassName;
use crate::names::GroupName;
use crate::names::ModelName;
use crate::numbers::ConfigVersion;

/// Class of work with its latency target, the only setting by which operators prioritise work.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClassTarget {
    /// Name of the class.
    pub class: ClassName,
    /// Time in milliseconds after its arrival within which a request of the class must be
    /// answered: the first token of a stream, the complete answer otherwise.
    pub answer_within_ms: u64,
}

/// Model or adapter that callers may name in a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSpec {
    /// Name that callers use.
    pub model: ModelName,
    /// Model that the adapter belongs to; `None` for a model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<ModelName>,
    /// Group of engines that can run it.
    pub group: GroupName,
    /// Accelerator memory that it takes, in bytes.
    pub bytes: u64,
}

/// Plain service that callers may call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Name of the service and of the group of upstreams that are its instances.
    pub service: GroupName,
    /// Paths, relative to the service, whose calls may be repeated. GET and HEAD calls may always
    /// be repeated; any other call runs at most once.
    #[serde(default)]
    pub idempotent_paths: Vec<String>,
}

/// One edit of the configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigEdit {
    /// Adds a class, or replaces the target of an existing one.
    PutClass(ClassTarget),
    /// Removes a class.
    RemoveClass(ClassName),
    /// Adds a model, or replaces the one of the same name.
    PutModel(ModelSpec),
    /// Removes a model.
    RemoveModel(ModelName),
    /// Adds a service, or replaces the one of the same name.
    PutService(ServiceSpec),
    /// Removes a service.
    RemoveService(GroupName),
}

/// Set of edits that is accepted or rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigChange {
    /// Random identity chosen by the publisher. With it the publisher finds its change on the
    /// stream when the answer to the append was lost, and a repeated append is accepted once.
    pub change_id: u64,
    /// Name of the operator who published the change.
    pub operator: String,
    /// Configuration version that the publisher had read. The change is accepted only if no other
    /// change has been accepted since.
    pub base_version: ConfigVersion,
    /// Edits, applied in order.
    pub edits: Vec<ConfigEdit>,
}
