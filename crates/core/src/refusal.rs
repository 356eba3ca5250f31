//! Refusals: the reasons, what each says of whether the request ran, and its HTTP status.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// `Ran` says whether a request ran at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request did not run and will not run.
    NotRun,
    /// The request ran.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

impl Ran {
    /// Returns the word used in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $status:literal;)*) => {
        /// `RefusalReason` is the machine-readable reason of a refusal.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum RefusalReason {
            $($(#[$doc])* $name,)*
        }

        impl RefusalReason {
            /// Lists every reason.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the code used in answers, logs and metrics.
            pub fn as_str(self) -> &'static str {
                match self { $(Self::$name => $code,)* }
            }

            /// Returns the HTTP status of an answer with this reason.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }
        }
    };
}

reasons! {
    /// The request can't be understood.
    BadRequest = "bad_request", 400;
    /// The request's head is larger than the limit.
    HeadTooLarge = "head_too_large", 431;
    /// The request's body is larger than the limit.
    BodyTooLarge = "body_too_large", 413;
    /// The request did not arrive in whole within the limit.
    RequestTimeout = "request_timeout", 408;
    /// The VM holds as many connections as it may.
    TooManyConnections = "too_many_connections", 503;
    /// The caller presents no key that is known.
    UnknownKey = "unknown_key", 401;
    /// The path is not served.
    UnknownPath = "unknown_path", 404;
    /// The path is served, but not by this method.
    MethodNotAllowed = "method_not_allowed", 405;
    /// No such model is configured.
    UnknownModel = "unknown_model", 404;
    /// No such service is configured.
    UnknownService = "unknown_service", 404;
    /// No such class of work is configured.
    UnknownClass = "unknown_class", 400;
    /// The time left is too short for the wait or the load that is predicted.
    DeadlineTooShort = "deadline_too_short", 503;
    /// The time ran out before the request could be started.
    DeadlinePassed = "deadline_passed", 504;
    /// More work of this class waits than can be answered in time.
    Overloaded = "overloaded", 429;
    /// The caller uses more than its share while others wait.
    CallerOverShare = "caller_over_share", 429;
    /// The caller's organisation has used its limit.
    OverLimit = "over_limit", 429;
    /// No accelerator memory can be freed for the model in time.
    NoCapacity = "no_capacity", 503;
    /// The model's load failed.
    LoadFailed = "load_failed", 503;
    /// The platform's log is down, and the request needs a decision on it.
    LogUnavailable = "log_unavailable", 503;
    /// No upstream for the request is reachable.
    UpstreamUnavailable = "upstream_unavailable", 502;
    /// The upstream refused the request before running it.
    UpstreamRefused = "upstream_refused", 502;
    /// The connection to the upstream was lost after the request was sent.
    UpstreamLost = "upstream_lost", 502;
    /// Upstreams have crashed under the same request again and again.
    CrashesUpstreams = "crashes_upstreams", 503;
    /// The upstream's answer did not come in time.
    UpstreamTimeout = "upstream_timeout", 504;
    /// The upstream's answer was cut or belongs to another request.
    UpstreamBadAnswer = "upstream_bad_answer", 502;
    /// The same idempotency key is running now.
    KeyInProgress = "key_in_progress", 409;
    /// The same idempotency key has run, and its answer is not kept.
    KeyAlreadyRan = "key_already_ran", 409;
    /// The same idempotency key was used with another request.
    KeyReused = "key_reused", 422;
    /// The run under the idempotency key ended without a known outcome.
    KeyOutcomeUnknown = "key_outcome_unknown", 409;
    /// The VM is stopping and takes no new work.
    Draining = "draining", 503;
    /// The VM has not yet learned the state it needs.
    NotReady = "not_ready", 503;
    /// The caller closed its connection.
    CallerGone = "caller_gone", 499;
    /// The request was cancelled after a fault inside the system.
    Internal = "internal", 500;
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// `Refusal` is an honest negative answer to a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The machine-readable reason.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub ran: Ran,
    /// When the caller should come back, counted from the answer, or none if it should not.
    pub retry_after_ms: Option<u64>,
    /// A sentence for a person.
    pub detail: String,
}

impl Refusal {
    /// Returns a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Returns a refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Returns a refusal of a request that ran.
    pub fn ran(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            ran: Ran::Ran,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Returns this refusal with a time to come back after.
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
