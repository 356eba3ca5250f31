//! Identity, caller, class and timeout of a request, from its headers.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::names::CallerName;
use apricotdale_core::names::ClassName;
use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::serving::Directory;
use apricotdale_http::Request;
use sha2::Digest;
use sha2::Sha256;

use crate::options::Options;

const MAX_CORRELATION_CHARS: usize = 128;
const MAX_CALLER_CHARS: usize = 64;
const ANONYMOUS: &str = "anonymous";
const TOKEN_HASH_BYTES: usize = 8;

/// Generator of request identities. All have the same length, so that none is a suffix of another:
/// answers are matched to requests by that suffix.
pub(crate) struct RequestIds {
    process_id: u64,
    next: AtomicU64,
}

impl RequestIds {
    pub(crate) fn new(process_id: u64) -> Self {
        Self {
            process_id,
            next: AtomicU64::new(1),
        }
    }

    /// Returns an identity that was not returned before.
    pub(crate) fn next(&self) -> RequestId {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        RequestId::new(format!("req-{:016x}-{number:012x}", self.process_id))
    }
}

/// Returns the caller's `X-Request-Id`, if it is safe to log and to echo.
pub(crate) fn correlation(request: &Request) -> Option<String> {
    let text = request.header("x-request-id")?;
    is_loggable(text, MAX_CORRELATION_CHARS).then(|| text.to_owned())
}

/// Returns the name under which the caller's share is counted. A bearer token takes precedence over
/// the caller's own `X-Caller`, and only a hash of the token is kept.
pub(crate) fn caller(request: &Request) -> CallerName {
    let bearer = request
        .header("authorization")
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim());
    let named = request
        .header("x-caller")
        .filter(|name| is_loggable(name, MAX_CALLER_CHARS));
    match (bearer, named) {
        (Some(token), _) if !token.is_empty() => CallerName::from(hash_token(token)),
        (_, Some(name)) => CallerName::new(name),
        _ => CallerName::new(ANONYMOUS),
    }
}

fn hash_token(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    let hex: String = digest[..TOKEN_HASH_BYTES]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    format!("bearer-{hex}")
}

fn is_loggable(text: &str, max_chars: usize) -> bool {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"._:-@/".contains(&byte);
    !text.is_empty() && text.len() <= max_chars && text.bytes().all(plain)
}

/// Returns the class that the request names, or else the configured default, or else the class
/// with the shortest answer time.
///
/// # Errors
///
/// An `UnknownClass` refusal, if that class is not configured.
pub(crate) fn class(
    request: &Request,
    directory: &dyn Directory,
    options: &Options,
) -> Result<ClassTarget, Refusal> {
    let named = request.header("x-request-class").map(ClassName::new);
    let class = match named.or_else(|| options.default_class.clone()) {
        Some(class) => class,
        None => return strictest_class(directory),
    };
    directory.class(&class).ok_or_else(|| {
        let detail = format!("no class {class} is configured");
        Refusal::not_run(RefusalReason::UnknownClass, detail)
    })
}

fn strictest_class(directory: &dyn Directory) -> Result<ClassTarget, Refusal> {
    let classes = directory.classes().into_iter();
    classes
        .min_by_key(|target| (target.answer_within_ms, target.class.clone()))
        .ok_or_else(|| Refusal::not_run(RefusalReason::UnknownClass, "no class is configured"))
}

/// Returns the time from arrival until the answer must have begun: `X-Request-Timeout-Ms`, capped
/// at `max_timeout_ms`, or else the answer time of the class.
///
/// # Errors
///
/// A `BadRequest` refusal, if the header is not a positive number.
pub(crate) fn timeout_ms(
    request: &Request,
    class: &ClassTarget,
    options: &Options,
) -> Result<u64, Refusal> {
    let requested_ms = match request.header("x-request-timeout-ms") {
        None => return Ok(class.answer_within_ms),
        Some(text) => text
            .parse::<u64>()
            .ok()
            .filter(|requested_ms| *requested_ms > 0),
    };
    match requested_ms {
        Some(requested_ms) => Ok(requested_ms.min(options.max_timeout_ms)),
        None => {
            let detail = "X-Request-Timeout-Ms is not a positive number of milliseconds";
            Err(Refusal::not_run(RefusalReason::BadRequest, detail))
        }
    }
}
