//! Labels of an entry VM's metrics.

use prometheus_client::encoding::EncodeLabelSet;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct Reason {
    pub reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallLabels {
    pub call: String,
    pub outcome: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OrganisationLabel {
    pub organisation: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RankLabels {
    pub rank: u32,
    /// Whether units are kept for the request's return.
    pub has_turn: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RankLabel {
    pub rank: String,
}
