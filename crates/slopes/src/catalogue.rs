//! The parts that can be measured.

use crate::adapters;
use crate::claims;
use crate::errors::Error;
use crate::errors::Result;
use crate::memory;
use crate::peers;
use crate::policies;
use crate::records;
use crate::settings;
use crate::slope::Slope;

/// `Part` is a part that can be measured.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Its name.
    pub name: &'static str,
    /// Measures it.
    pub measure: fn() -> Result<Vec<Slope>>,
}

/// Lists the parts in the order in which they are measured. Memory comes first, since memory that
/// other parts have freed would hide its growth.
pub const PARTS: &[Part] = &[
    Part {
        name: "memory",
        measure: memory::memory,
    },
    Part {
        name: "records",
        measure: records::codec,
    },
    Part {
        name: "replay",
        measure: records::replay,
    },
    Part {
        name: "claims",
        measure: claims::claims,
    },
    Part {
        name: "messages",
        measure: peers::codec,
    },
    Part {
        name: "exchange",
        measure: peers::exchange,
    },
    Part {
        name: "policies",
        measure: policies::policies,
    },
    Part {
        name: "settings",
        measure: settings::settings,
    },
    Part {
        name: "adapters",
        measure: adapters::adapters,
    },
];

/// Returns the parts of the given names, in the order of the list, or all for no name.
///
/// # Errors
///
/// [`Error::UnknownPart`] for a name that no part has.
pub fn parts(names: &[String]) -> Result<Vec<Part>> {
    let known = |name: &str| PARTS.iter().any(|part| part.name == name);
    if let Some(name) = names.iter().find(|name| !known(name)) {
        let known: Vec<&str> = PARTS.iter().map(|part| part.name).collect();
        return Err(Error::UnknownPart {
            name: name.clone(),
            known: known.join(", "),
        });
    }
    let asked = |part: &&Part| names.is_empty() || names.iter().any(|name| name == part.name);
    Ok(PARTS.iter().filter(asked).copied().collect())
}
