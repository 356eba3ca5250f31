//! Label sets of the metrics, and the enums whose values become label values.

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
            /// All values, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$value,)*];

            /// Returns the label value.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$value => $label,)* }
            }
        }
    };
}

label_values! {
    /// Purpose of a stream of the log service.
    StreamKind {
        /// Stream of decisions and configuration changes.
        Control = "control",
        /// Stream of claims, one of several.
        Claims = "claims",
        /// Stream of snapshots.
        Snapshot = "snapshot",
    }
}

label_values! {
    /// Outcome of an append to the log service, as far as the daemon knows it.
    AppendOutcome {
        /// The stream has the record.
        Appended = "appended",
        /// The stream certainly does not have the record.
        NotAppended = "not_appended",
        /// The stream may have the record: the answer was lost.
        Unknown = "unknown",
    }
}

label_values! {
    /// Type of an order that the daemon sends to an engine.
    OrderKind {
        /// Load a model.
        Load = "load",
        /// Unload a model.
        Unload = "unload",
        /// Raise the highest fencing token that the engine has seen.
        Fence = "fence",
    }
}

label_values! {
    /// Outcome of an order to an engine, as far as the daemon knows it.
    OrderOutcome {
        /// The order took effect.
        Done = "done",
        /// The engine refused the order, which had no effect.
        Refused = "refused",
        /// The engine refused the order because it has seen a higher fencing token.
        StaleFence = "stale_fence",
        /// The engine did not receive the order.
        NotReceived = "not_received",
        /// The order may have taken effect: the answer was lost.
        Unknown = "unknown",
    }
}

label_values! {
    /// State of a replica, by which the replica gauge counts.
    ReplicaGauge {
        /// A load is decided, and its outcome is not recorded yet.
        Loading = "loading",
        /// The replica can serve requests.
        Loaded = "loaded",
        /// An unload is decided, and its outcome is not recorded yet.
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

/// Label values of all retry decisions.
pub(crate) const RETRY_DECISION_LABELS: &[&str] = &[
    "retry",
    "may_have_run",
    "answer_begun",
    "budget_spent",
    "too_many_tries",
    "no_time_left",
];

/// Returns the label value of a retry decision.
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

/// Returns the label value of the cache tier that held a checkpoint.
pub(crate) fn tier_label(tier: CacheTier) -> &'static str {
    match tier {
        CacheTier::Memory => "memory",
        CacheTier::Disk => "disk",
        CacheTier::Remote => "remote",
    }
}
