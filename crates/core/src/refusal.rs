//! Refusals of requests: their reasons, HTTP statuses, and whether the request ran.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Whether a request ran at an upstream.
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
    /// Returns the name used in answers, logs and metrics.
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
        /// Machine-readable reason of a refusal.
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
    /// The request can't be parsed, or a value in it is invalid.
    BadRequest = "bad_request", 400;
    /// The request's head is larger than the limit.
    HeadTooLarge = "head_too_large", 431;
    /// The request's body is larger than the limit.
    BodyTooLarge = "body_too_large", 413;
    /// The request was not received completely within the time limit.
    RequestTimeout = "request_timeout", 408;
    /// The VM has reached its limit of open connections.
    TooManyConnections = "too_many_connections", 503;
    /// The caller presents no API key, or one that is not configured.
    UnknownKey = "unknown_key", 401;
    /// The path is not served.
    UnknownPath = "unknown_path", 404;
    /// The path is served, but not with this method.
    MethodNotAllowed = "method_not_allowed", 405;
    /// No such model is configured.
    UnknownModel = "unknown_model", 404;
    /// No such service is configured.
    UnknownService = "unknown_service", 404;
    /// No such class of work is configured.
    UnknownClass = "unknown_class", 400;
    /// The remaining time is too short for the predicted wait or load.
    DeadlineTooShort = "deadline_too_short", 503;
    /// The deadline passed before the request could be started.
    DeadlinePassed = "deadline_passed", 504;
    /// More work of this class is waiting than can be answered in time.
    Overloaded = "overloaded", 429;
    /// The caller uses more than its share while other callers wait.
    CallerOverShare = "caller_over_share", 429;
    /// The caller's organisation has reached its limit.
    OverLimit = "over_limit", 429;
    /// Accelerator memory for the model can't be freed in time.
    NoCapacity = "no_capacity", 503;
    /// The model's load failed.
    LoadFailed = "load_failed", 503;
    /// The platform's log is unavailable, and the request needs a decision recorded there.
    LogUnavailable = "log_unavailable", 503;
    /// No upstream for the request is reachable.
    UpstreamUnavailable = "upstream_unavailable", 502;
    /// All upstreams for the request state a rate limit that is used up.
    UpstreamLimited = "upstream_limited", 503;
    /// All upstreams of the service have stated that they leave.
    UpstreamLeaving = "upstream_leaving", 503;
    /// All upstreams for the request have asked for rest that ends too late.
    UpstreamResting = "upstream_resting", 503;
    /// The upstream refused the request before running it.
    UpstreamRefused = "upstream_refused", 502;
    /// The connection to the upstream was lost after the request was sent.
    UpstreamLost = "upstream_lost", 502;
    /// Upstreams have crashed repeatedly while running the same request, or requests with the same
    /// part of a prompt.
    CrashesUpstreams = "crashes_upstreams", 503;
    /// Upstreams have crashed under the request or a part of it, and such requests are tried one at
    /// a time.
    OnProbation = "on_probation", 503;
    /// It is not known which software version began the stream that the request resumes.
    OriginUnknown = "origin_unknown", 503;
    /// No upstream that may serve the request runs the software version that began the stream.
    VersionGone = "version_gone", 503;
    /// The upstream's answer did not come in time.
    UpstreamTimeout = "upstream_timeout", 504;
    /// The upstream's answer ended early, is malformed or belongs to another request.
    UpstreamBadAnswer = "upstream_bad_answer", 502;
    /// A call with the same idempotency key is running now.
    KeyInProgress = "key_in_progress", 409;
    /// The call with the same idempotency key has run, and its answer was not kept.
    KeyAlreadyRan = "key_already_ran", 409;
    /// The same idempotency key was used with another request.
    KeyReused = "key_reused", 422;
    /// The outcome of the call with the same idempotency key is unknown.
    KeyOutcomeUnknown = "key_outcome_unknown", 409;
    /// The VM is draining and accepts no new work.
    Draining = "draining", 503;
    /// The VM has not yet obtained the state that it needs.
    NotReady = "not_ready", 503;
    /// The caller closed its connection.
    CallerGone = "caller_gone", 499;
    /// The request was cancelled because of an internal fault.
    Internal = "internal", 500;
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Negative answer to a request, which states its reason and whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Machine-readable reason.
    pub reason: RefusalReason,
    /// Whether the request ran.
    pub ran: Ran,
    /// Delay from the answer after which the caller may retry; `None` if it should not retry.
    pub retry_after_ms: Option<u64>,
    /// Human-readable explanation, a sentence.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            ran: Ran::NotRun,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            ran: Ran::Unknown,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Creates a refusal of a request that ran.
    pub fn ran(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self {
            reason,
            ran: Ran::Ran,
            retry_after_ms: None,
            detail: detail.into(),
        }
    }

    /// Returns this refusal with a delay after which the caller may retry.
    pub fn retry_after(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
