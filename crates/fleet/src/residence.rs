//! Models that an engine holds, and the places where it caches weights.

use std::collections::HashSet;

use apricotdale_core::names::ModelName;
use serde::Deserialize;
use serde::Serialize;

use crate::request::WantedModel;

/// Source from which an engine loads the weights of a model, fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tier {
    /// Cached in the memory of the engine's host.
    Memory,
    /// Cached on the disk of the engine's host.
    Disk,
    /// Available only in the weight store, which all engines share.
    Store,
}

impl Tier {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Store => "store",
        }
    }
}

/// Model that an engine can run without loading it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentModel {
    /// Name of the base model.
    pub model: ModelName,
    /// Adapters of the model that can run without loading them.
    pub adapters: Vec<ModelName>,
}

/// Models that one engine holds. VMs send each other only the models that can run. Where weights
/// are cached takes most of an entry's bytes and matters to the lease holder alone, which reads it
/// from the engine's own entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residence {
    /// Models that can run now.
    pub models: Vec<ResidentModel>,
    /// Models whose weights are cached in the host's memory.
    #[serde(skip)]
    pub in_memory: HashSet<ModelName>,
    /// Models whose weights are cached on the host's disk.
    #[serde(skip)]
    pub on_disk: HashSet<ModelName>,
}

impl Residence {
    /// Returns the resident model of this name, or `None` if it is not loaded.
    pub fn model(&self, model: &ModelName) -> Option<&ResidentModel> {
        self.models.iter().find(|resident| &resident.model == model)
    }

    /// Returns whether any cached weights are known.
    pub fn has_cached_copies(&self) -> bool {
        !self.in_memory.is_empty() || !self.on_disk.is_empty()
    }

    /// Returns whether a request for this model and adapter can run without a load.
    pub fn serves(&self, wanted: &WantedModel) -> bool {
        match (self.model(&wanted.model), &wanted.adapter) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(resident), Some(adapter)) => resident.adapters.contains(adapter),
        }
    }

    /// Returns the source of the weights for a load of the model.
    pub fn tier(&self, model: &ModelName) -> Tier {
        if self.in_memory.contains(model) {
            Tier::Memory
        } else if self.on_disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Store
        }
    }

    /// Records a loaded model. Its load leaves cached weights in memory and on disk.
    pub fn record_loaded(&mut self, model: &ModelName) {
        if self.model(model).is_none() {
            self.models.push(ResidentModel {
                model: model.clone(),
                adapters: Vec::new(),
            });
        }
        self.in_memory.insert(model.clone());
        self.on_disk.insert(model.clone());
    }

    /// Records that a model's weights are no longer cached.
    pub fn record_uncached(&mut self, model: &ModelName) {
        self.in_memory.remove(model);
        self.on_disk.remove(model);
    }

    /// Records that a model was unloaded together with its adapters.
    pub fn record_unloaded(&mut self, model: &ModelName) {
        self.models.retain(|resident| &resident.model != model);
    }

    /// Records a loaded adapter; ignored unless its model is loaded.
    pub fn record_adapter_loaded(&mut self, model: &ModelName, adapter: &ModelName) {
        let resident = self
            .models
            .iter_mut()
            .find(|resident| &resident.model == model);
        match resident {
            Some(resident) if !resident.adapters.contains(adapter) => {
                resident.adapters.push(adapter.clone());
            }
            _ => {}
        }
    }

    /// Records that an adapter was unloaded.
    pub fn record_adapter_unloaded(&mut self, model: &ModelName, adapter: &ModelName) {
        for resident in self
            .models
            .iter_mut()
            .filter(|resident| &resident.model == model)
        {
            resident.adapters.retain(|held| held != adapter);
        }
    }

    /// Returns the number of adapters held over all models.
    pub fn adapters(&self) -> usize {
        self.models
            .iter()
            .map(|resident| resident.adapters.len())
            .sum()
    }
}
