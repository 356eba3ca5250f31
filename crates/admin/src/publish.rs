//! Request to change the configuration, and its outcome.

use apricotdale_core::config::ConfigEdit;
use apricotdale_core::numbers::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;

/// Set of edits that is accepted or rejected as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PublishRequest {
    /// Name of the operator who publishes the change.
    pub operator: String,
    /// ID with which a request is retried after a lost answer, so that the change is applied only
    /// once. If absent, the daemon chooses one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub change_id: Option<u64>,
    /// Version that the edits are based on. The change is rejected if another change has been
    /// accepted since that version.
    pub base_version: ConfigVersion,
    /// Edits, in the order in which they are applied.
    pub edits: Vec<ConfigEdit>,
}

/// Outcome of a [`PublishRequest`], as far as the answering VM knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum PublishOutcome {
    /// The change is in force on the answering VM and will be in force on all others.
    Accepted {
        /// Version of the configuration that has this change.
        version: ConfigVersion,
    },
    /// The change is not in force and never will be.
    Rejected {
        /// Machine-readable reason, such as `version_conflict`.
        reason: String,
        /// Explanation for the operator.
        detail: String,
    },
    /// The change may be in force now or later: either the answer to the append was lost, or the
    /// record was not replayed in time.
    Unknown {
        /// ID of the change, with which the request can be retried safely.
        change_id: u64,
        /// Explanation for the operator.
        detail: String,
    },
}

impl PublishOutcome {
    /// Returns the HTTP status of the answer that carries this outcome.
    pub fn http_status(&self) -> u16 {
        match self {
            Self::Accepted { .. } => 200,
            Self::Rejected { .. } => 409,
            Self::Unknown { .. } => 504,
        }
    }
}
