//! Organisations and the lookup by their keys.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::errors::Error;
use crate::errors::Result;
use crate::key::KeyHash;
use crate::key::SecretKey;
use crate::limit::Limit;
use crate::limit::Unit;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 256;

/// Group of callers that share API keys and a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Name, which upstreams receive with each request.
    pub name: Arc<str>,
    /// Priority rank of its requests, 0 first, in place of the route's; `None` to use the route's.
    pub rank: Option<u32>,
    /// Limit on its usage; `None` if unlimited.
    pub limit: Option<Limit>,
    /// Unit in which the limit counts requests.
    pub unit: Unit,
}

/// Index of organisations by name and by API key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations {
    by_name: HashMap<Arc<str>, Arc<Organisation>>,
    by_key: HashMap<u64, Vec<(KeyHash, Arc<Organisation>)>>,
}

impl Organisations {
    /// Returns an index of organisations and their keys, which are kept as hashes only.
    ///
    /// # Errors
    ///
    /// [`Error`] if two organisations share a name or a key, or if a name, key or limit is invalid.
    pub fn new(list: Vec<(Organisation, Vec<String>)>) -> Result<Self> {
        let mut organisations = Self::default();
        for (organisation, keys) in list {
            organisations.add(organisation, &keys)?;
        }
        Ok(organisations)
    }

    fn add(&mut self, organisation: Organisation, keys: &[String]) -> Result<()> {
        let name = organisation.name.clone();
        let is_text = name.bytes().all(|byte| byte.is_ascii_graphic());
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !is_text {
            return Err(Error::BadName);
        }
        if organisation.limit.is_some_and(|limit| !limit.is_valid()) {
            return Err(Error::BadLimit(name));
        }
        let organisation = Arc::new(organisation);
        if self
            .by_name
            .insert(name.clone(), organisation.clone())
            .is_some()
        {
            return Err(Error::SameName(name));
        }
        for key in keys.iter().collect::<HashSet<_>>() {
            let key = SecretKey::parse(key).map_err(|fault| Error::BadKey(name.clone(), fault))?;
            if let Some(other) = self.holder(&key) {
                return Err(Error::SharedKey(other.name.clone(), name));
            }
            let hash = KeyHash::of(&key);
            let bucket = self.by_key.entry(hash.index()).or_default();
            bucket.push((hash, organisation.clone()));
        }
        Ok(())
    }

    /// Returns the organisation that holds a key, or `None` if the key is unknown.
    pub fn holder(&self, key: &SecretKey) -> Option<&Arc<Organisation>> {
        let hash = KeyHash::of(key);
        let bucket = self.by_key.get(&hash.index())?;
        let holder = bucket.iter().find(|(known, _)| *known == hash);
        holder.map(|(_, organisation)| organisation)
    }

    /// Returns the organisation of this name.
    pub fn get(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Returns all organisations in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }
}
