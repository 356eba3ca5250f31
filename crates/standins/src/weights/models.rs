//! Models that the weight store holds.

use std::collections::BTreeMap;
use std::path::Path;

use apricotdale_core::names::ModelName;

use crate::errors::Error;
use crate::errors::Result;

/// Models that the weight store holds, with their sizes in bytes.
#[derive(Clone, Debug, Default)]
pub struct ModelSizes {
    listed: Option<BTreeMap<ModelName, u64>>,
    learned: BTreeMap<ModelName, u64>,
}

impl ModelSizes {
    /// Returns a store that holds any model, in the size that its first load names.
    pub fn any() -> Self {
        Self::default()
    }

    /// Returns a store that holds only the given models.
    pub fn listed(sizes: impl IntoIterator<Item = (ModelName, u64)>) -> Self {
        Self {
            listed: Some(sizes.into_iter().collect()),
            learned: BTreeMap::new(),
        }
    }

    /// Returns a store that holds the models of a file, which has a line `name bytes` for each.
    ///
    /// # Errors
    ///
    /// `Error::File` if the file can't be read, `Error::ModelLine` for a malformed line.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path).map_err(|cause| Error::file(path, cause))?;
        let lines = text.lines().enumerate();
        let sizes = lines
            .filter(|(_, line)| !line.trim().is_empty())
            .map(|(index, line)| parse(line).ok_or_else(|| Error::model_line(path, index + 1)))
            .collect::<Result<Vec<_>>>()?;
        Ok(Self::listed(sizes))
    }

    /// Returns a model's size in bytes, or none if the model is not held or its size not known yet.
    pub fn bytes(&self, model: &ModelName) -> Option<u64> {
        let held = self.listed.as_ref().unwrap_or(&self.learned);
        held.get(model).copied()
    }

    /// Returns the size in bytes of a model that is about to be loaded, or none if it is not held.
    /// A store that holds any model takes the size from the load.
    pub fn bytes_to_load(&mut self, model: &ModelName, requested_bytes: u64) -> Option<u64> {
        if self.listed.is_some() {
            return self.bytes(model);
        }
        let bytes = self.learned.entry(model.clone()).or_insert(requested_bytes);
        Some(*bytes)
    }
}

fn parse(line: &str) -> Option<(ModelName, u64)> {
    let (name, bytes) = line.trim().rsplit_once(char::is_whitespace)?;
    Some((ModelName::new(name.trim()), bytes.parse().ok()?))
}
