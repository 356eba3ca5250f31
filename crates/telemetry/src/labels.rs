//! Labels of the metrics. Every set of label values is finite.

use std::sync::Arc;

use apricotdale_core::engine::CacheTier;
use apricotdale_core::policy::RetryDecision;
use prometheus_client::encoding::EncodeLabelSet;

macro_rules! label_values {
    ($(#[$doc:meta])* $name:ident { $($(#[$value_doc:meta])* $value:ident = $label:literal,)* }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$value_doc])* $value,)*
        }

        impl $name {
            /// Lists every value.
            pub const ALL: &'static [Self] = &[$(Self::$value,)*];

            /// Returns the word used in metrics.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$value => $label,)* }
            }
        }
    };
}

label_values! {
    /// `StreamKind` is what a stream of the log is for.
    StreamKind {
        /// The control stream.
        Control = "control",
        /// A claim stream.
        Claims = "claims",
        /// The snapshot stream.
        Snapshot = "snapshot",
    }
}

label_values! {
    /// `AppendOutcome` is what became of an append to the log.
    AppendOutcome {
        /// The record is on the stream.
        Appended = "appended",
        /// The record is certainly not on the stream.
        NotAppended = "not_appended",
        /// The record may be on the stream.
        Unknown = "unknown",
    }
}

label_values! {
    /// `OrderKind` is an order to an engine.
    OrderKind {
        /// To load a model.
        Load = "load",
        /// To unload a model.
        Unload = "unload",
        /// To raise the highest fencing number.
        Fence = "fence",
    }
}

label_values! {
    /// `OrderOutcome` is what became of an order to an engine.
    OrderOutcome {
        /// It took effect.
        Done = "done",
        /// The engine refused it; it had no effect.
        Refused = "refused",
        /// The engine refused it because of its old fencing number.
        StaleFence = "stale_fence",
        /// It was not received.
        NotReceived = "not_received",
        /// It may have taken effect.
        Unknown = "unknown",
    }
}

label_values! {
    /// `ReplicaGauge` is a state in which replicas are counted.
    ReplicaGauge {
        /// A load was decided and is not settled.
        Loading = "loading",
        /// The replica can serve.
        Loaded = "loaded",
        /// An unload was decided and is not settled.
        Unloading = "unloading",
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RefusalLabels {
    pub(crate) reason: &'static str,
    pub(crate) ran: &'static str,
    pub(crate) class: Arc<str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RetryLabels {
    pub(crate) decision: &'static str,
    pub(crate) ran: &'static str,
    pub(crate) group: Arc<str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AnsweredLabels {
    pub(crate) class: Arc<str>,
    pub(crate) target: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ClassLabels {
    pub(crate) class: Arc<str>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AppendLabels {
    pub(crate) stream: &'static str,
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OrderLabels {
    pub(crate) order: &'static str,
    pub(crate) outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct VerdictLabels {
    pub(crate) verdict: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    pub(crate) reason: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StateLabels {
    pub(crate) state: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TierLabels {
    pub(crate) tier: &'static str,
}

/// Lists the words of the retry decisions.
pub(crate) const RETRY_DECISION_LABELS: &[&str] = &[
    "retry",
    "may_have_run",
    "answer_begun",
    "budget_spent",
    "too_many_tries",
    "no_time_left",
];

/// Returns the word of a retry decision.
pub(crate) fn retry_decision_label(decision: RetryDecision) -> &'static str {
    match decision {
        RetryDecision::RetryAfterMs(_) => "retry",
        RetryDecision::MayHaveRun => "may_have_run",
        RetryDecision::AnswerBegun => "answer_begun",
        RetryDecision::BudgetSpent => "budget_spent",
        RetryDecision::TooManyTries => "too_many_tries",
        RetryDecision::NoTimeLeft => "no_time_left",
    }
}

/// Returns the word of a cache tier.
pub(crate) fn tier_label(tier: CacheTier) -> &'static str {
    match tier {
        CacheTier::Memory => "memory",
        CacheTier::Disk => "disk",
        CacheTier::Remote => "remote",
    }
}
