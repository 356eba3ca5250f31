//! Publishing a change of the configuration.

use apricotdale_core::config::ConfigEdit;
use apricotdale_core::numbers::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;

/// `PublishRequest` is a set of edits that is accepted or rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Who publishes.
    pub operator: String,
    /// Identifies the change, so that repeating the request after a lost answer does not apply it
    /// twice. The daemon chooses one where it is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<u64>,
    /// The version that the operator had read. The change is accepted only if no other change was
    /// accepted since.
    pub base_version: ConfigVersion,
    /// The edits, applied in order.
    pub edits: Vec<ConfigEdit>,
}

/// `PublishOutcome` is what became of a [`PublishRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PublishOutcome {
    /// The change is in force on the answering VM and will be on every other one.
    Accepted {
        /// The version of the configuration with this change.
        version: ConfigVersion,
    },
    /// The change is not in force and will not be.
    Rejected {
        /// The machine-readable reason, such as `version_conflict`.
        reason: String,
        /// A sentence for a person.
        detail: String,
    },
    /// The change may be in force, now or later: the append's answer was lost, or the record was
    /// not replayed in time.
    Unknown {
        /// The change's identity, with which the request can be repeated safely.
        change_id: u64,
        /// A sentence for a person.
        detail: String,
    },
}

impl PublishOutcome {
    /// Returns the HTTP status of an answer with this outcome.
    pub fn http_status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Rejected { .. } => 409,
            Self::Unknown { .. } => 504,
        }
    }
}
