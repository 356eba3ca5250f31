//! Organisations and who holds which key.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use crate::errors::Error;
use crate::errors::Result;
use crate::key::KeyHash;
use crate::key::SecretKey;
use crate::limit::Limit;
use crate::limit::Unit;

/// The longest name in bytes.
const MAX_NAME_BYTES: usize = 256;

/// `Organisation` is a group of callers that share keys and a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Its name, which upstreams are told.
    pub name: Arc<str>,
    /// The rank of its requests, which goes before that of their class; 0 goes first.
    pub rank: Option<u32>,
    /// What it may use; none if anything.
    pub limit: Option<Limit>,
    /// What its limit counts.
    pub unit: Unit,
}

/// `Organisations` finds the organisation that holds a key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisations {
    by_name: HashMap<Arc<str>, Arc<Organisation>>,
    by_key: HashMap<u64, Vec<(KeyHash, Arc<Organisation>)>>,
}

impl Organisations {
    /// Returns a table of organisations with their keys, which are not kept in clear.
    ///
    /// # Errors
    ///
    /// [`Error`] if two can't be told apart, or one has a name, key or limit that can't be used.
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

    /// Returns the organisation that holds a key.
    pub fn holder(&self, key: &SecretKey) -> Option<&Arc<Organisation>> {
        let hash = KeyHash::of(key);
        let bucket = self.by_key.get(&hash.index())?;
        let holder = bucket.iter().find(|(known, _)| *known == hash);
        holder.map(|(_, organisation)| organisation)
    }

    /// Returns an organisation by its name.
    pub fn get(&self, name: &str) -> Option<&Arc<Organisation>> {
        self.by_name.get(name)
    }

    /// Returns every organisation.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.by_name.values()
    }
}
