//! Catalogue of the parts of the system whose costs can be measured.

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

/// Part of the system whose costs can be measured.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Name on the command line.
    pub name: &'static str,
    /// Measures the slopes of the part.
    pub measure: fn() -> Result<Vec<Slope>>,
}

/// All parts, in the order in which they are measured. Memory comes first, since memory freed by
/// other parts would be reused and hide the growth.
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

/// Returns the parts with the given names in the order of [`PARTS`], or all parts for no names.
///
/// # Errors
///
/// [`Error::UnknownPart`] for a name that is not in the catalogue.
pub fn parts(names: &[String]) -> Result<Vec<Part>> {
    let known = |name: &str| PARTS.iter().any(|part| part.name == name);
    if let Some(name) = names.iter().find(|name| !known(name)) {
        let known: Vec<&str> = PARTS.iter().map(|part| part.name).collect();
        return Err(Error::UnknownPart {
            name: name.clone(),
            known: known.join(", "),
        });
    }
    let is_requested =
        |part: &&Part| names.is_empty() || names.iter().any(|name| name == part.name);
    Ok(PARTS.iter().filter(is_requested).copied().collect())
}
