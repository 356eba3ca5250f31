//! Which models an engine holds, and where it keeps copies.

use std::collections::HashSet;

use apricotdale_core::names::ModelName;
use serde::Deserialize;
use serde::Serialize;

use crate::request::WantedModel;

/// `Tier` is where an engine finds the weights of a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Tier {
    /// In the host's memory.
    Memory,
    /// On the host's disk.
    Disk,
    /// Only in the weight store, which all engines share.
    Store,
}

/// `ResidentModel` is a model that an engine can run now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResidentModel {
    /// The model.
    pub model: ModelName,
    /// Its adapters that can run now.
    pub adapters: Vec<ModelName>,
}

/// `Residence` is what one engine holds. VMs tell each other only what can run: where copies lie
/// matters to the giver of orders alone, which reads it from the engine itself, and takes most of
/// an entry's bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Residence {
    /// Models that can run now.
    pub models: Vec<ResidentModel>,
    /// Models with a copy in the host's memory.
    #[serde(skip)]
    pub in_memory: HashSet<ModelName>,
    /// Models with a copy on the host's disk.
    #[serde(skip)]
    pub on_disk: HashSet<ModelName>,
}

impl Residence {
    /// Returns the resident model of this name.
    pub fn model(&self, model: &ModelName) -> Option<&ResidentModel> {
        self.models.iter().find(|resident| &resident.model == model)
    }

    /// Returns whether any copy of weights is known.
    pub fn has_cached_copies(&self) -> bool {
        !self.in_memory.is_empty() || !self.on_disk.is_empty()
    }

    /// Returns whether a request for this model and adapter can run here.
    pub fn serves(&self, wanted: &WantedModel) -> bool {
        match (self.model(&wanted.model), &wanted.adapter) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(resident), Some(adapter)) => resident.adapters.contains(adapter),
        }
    }

    /// Returns where a load of the model would find its weights.
    pub fn tier(&self, model: &ModelName) -> Tier {
        if self.in_memory.contains(model) {
            Tier::Memory
        } else if self.on_disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Store
        }
    }

    /// Notes that a model can run. Its load leaves copies in memory and on disk.
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

    /// Notes that no copy of a model's weights is at hand any more.
    pub fn record_uncached(&mut self, model: &ModelName) {
        self.in_memory.remove(model);
        self.on_disk.remove(model);
    }

    /// Notes that a model, with its adapters, is no longer there.
    pub fn record_unloaded(&mut self, model: &ModelName) {
        self.models.retain(|resident| &resident.model != model);
    }

    /// Notes that an adapter can run.
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

    /// Notes that an adapter is no longer there.
    pub fn record_adapter_unloaded(&mut self, model: &ModelName, adapter: &ModelName) {
        for resident in self
            .models
            .iter_mut()
            .filter(|resident| &resident.model == model)
        {
            resident.adapters.retain(|held| held != adapter);
        }
    }

    /// Returns how many adapters are held over all models.
    pub fn adapters(&self) -> usize {
        self.models
            .iter()
            .map(|resident| resident.adapters.len())
            .sum()
    }
}
