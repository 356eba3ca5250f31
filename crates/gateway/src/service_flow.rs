//! A call to a plain service, as handled on the caller's thread.

use std::sync::Arc;

use apricotdale_core::config::ServiceSpec;
use apricotdale_core::names::GroupName;
use apricotdale_core::names::IdempotencyKey;
use apricotdale_core::names::ModelName;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_core::service::ServiceCall;
use apricotdale_http::Request;
use apricotdale_http::Response;
use crossbeam_channel::select;
use xxhash_rust::xxh3::Xxh3;

use crate::admission;
use crate::admission::AdmissionRequest;
use crate::answer::Answer;
use crate::context::Context;
use crate::crashes::CrashKey;
use crate::send_gate::SendGate;
use crate::service_job::Idempotency;
use crate::service_job::JobEnd;
use crate::service_job::ServiceJob;
use crate::shared::Shared;

const TARGET_PREFIX: &str = "service:";
const MAX_KEY_CHARS: usize = 255;
const NO_INSTANCE_RETRY_AFTER_MS: u64 = 1_000;

/// Returns the name under which a service's capacity is counted. The prefix keeps it distinct from
/// the names of models.
pub fn service_target(service: &GroupName) -> ModelName {
    ModelName::from(format!("{TARGET_PREFIX}{service}"))
}

/// Serves a call to a plain service.
///
/// # Errors
///
/// The refusal of the call.
pub(crate) fn serve(
    shared: &Arc<Shared>,
    context: &Context,
    spec: ServiceSpec,
    path: &str,
    request: &mut Request,
    answer: &mut Answer<'_>,
) -> Result<(), Refusal> {
    let idempotency = idempotency(context, &spec, path, request)?;
    let admission_request = AdmissionRequest {
        target: service_target(&spec.service),
        is_model: false,
        upstreams: shared.directory.instances(&spec.service).len(),
    };
    if admission_request.upstreams == 0 {
        let detail = format!("no instance of {} is there", spec.service);
        let refusal = Refusal::not_run(RefusalReason::UpstreamUnavailable, detail);
        return Err(refusal.retry_after(NO_INSTANCE_RETRY_AFTER_MS));
    }
    let call = service_call(context, path, request);
    let target = [spec.service.as_str(), path];
    let crash_key = CrashKey::of(&context.caller, &call.method, &target, &call.body);
    if let Some(refusal) = shared.crashes.refusal(shared.now_ms(), &crash_key) {
        return Err(refusal);
    }
    let admitted = admission::admit(shared, context, &admission_request)?;
    let send_gate = Arc::new(SendGate::new());
    let (sender, receiver) = crossbeam_channel::bounded(1);
    let job = ServiceJob {
        shared: shared.clone(),
        call,
        crash_key,
        spec,
        idempotency,
        deadline_ms: context.deadline_ms,
        send_gate: send_gate.clone(),
        trace: context.trace.clone(),
        admitted,
        in_progress: shared.in_progress.enter(),
        end: sender,
    };
    if let Err(error) = shared.workers.run(move || job.run()) {
        let detail = format!("no thread for the request: {error}");
        return Err(Refusal::not_run(RefusalReason::Internal, detail));
    }
    let mut stopped = select! {
        recv(receiver) -> end => match end {
            Ok(end) => return deliver(shared, context, end, answer),
            Err(_) => Refusal::not_run(RefusalReason::Internal, "the call's thread ended"),
        },
        recv(context.inbox.receiver) -> _ => admission::caller_gone(),
        default(shared.time_left(context.deadline_ms)) => {
            admission::deadline_passed("the answer did not come in time")
        }
    };
    stopped.ran = send_gate.give_up();
    Err(stopped)
}

fn deliver(
    shared: &Shared,
    context: &Context,
    end: JobEnd,
    answer: &mut Answer<'_>,
) -> Result<(), Refusal> {
    let (service_answer, replayed) = match end {
        JobEnd::Refused(refusal) => return Err(refusal),
        JobEnd::Answered(service_answer) => (service_answer, false),
        JobEnd::Replayed(service_answer) => (service_answer, true),
    };
    let status = service_answer.status;
    let mut response = Response::new(status).body(service_answer.body);
    if !service_answer.content_type.is_empty() {
        response = response.header("Content-Type", service_answer.content_type);
    }
    if replayed {
        response = response.header("Idempotency-Replayed", "true");
    }
    match answer.send(response) {
        Ok(()) => {
            shared.record_answer(context, shared.now_ms(), status);
            Ok(())
        }
        Err(_) => Err(Refusal::ran(
            RefusalReason::CallerGone,
            "the caller closed its connection",
        )),
    }
}

fn service_call(context: &Context, path: &str, request: &mut Request) -> ServiceCall {
    let content_type = request
        .header("content-type")
        .unwrap_or_default()
        .to_owned();
    ServiceCall {
        id: context.id.clone(),
        method: request.method().to_owned(),
        path: match request.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        },
        content_type,
        key: request.header("idempotency-key").map(IdempotencyKey::new),
        body: request.take_body(),
        timeout_ms: 0,
    }
}

/// Returns whether a call may run repeatedly, from its method, path and idempotency key.
///
/// # Errors
///
/// A `BadRequest` refusal, if the key is empty or too long.
fn idempotency(
    context: &Context,
    spec: &ServiceSpec,
    path: &str,
    request: &Request,
) -> Result<Idempotency, Refusal> {
    let is_idempotent_path = spec
        .idempotent_paths
        .iter()
        .any(|known| known.trim_start_matches('/') == path.trim_start_matches('/'));
    let key = request.header("idempotency-key");
    match (request.method(), key) {
        ("GET" | "HEAD", _) => Ok(Idempotency::Idempotent),
        _ if is_idempotent_path => Ok(Idempotency::Idempotent),
        (_, None) => Ok(Idempotency::NotIdempotent),
        (_, Some(key)) if key.is_empty() || key.len() > MAX_KEY_CHARS => {
            let detail = format!("Idempotency-Key has no characters or above {MAX_KEY_CHARS}");
            Err(Refusal::not_run(RefusalReason::BadRequest, detail))
        }
        (_, Some(key)) => Ok(Idempotency::Keyed {
            key: scoped_key(context, spec, key),
            call_hash: call_hash(path, request),
        }),
    }
}

/// Returns the key qualified by its service and caller, so that two callers that choose the same
/// key don't get each other's kept answers.
fn scoped_key(context: &Context, spec: &ServiceSpec, key: &str) -> IdempotencyKey {
    IdempotencyKey::from(format!("{}/{}/{key}", spec.service, context.caller))
}

fn call_hash(path: &str, request: &Request) -> u64 {
    let mut hasher = Xxh3::new();
    let parts = [
        request.method().as_bytes(),
        path.as_bytes(),
        request.query().unwrap_or_default().as_bytes(),
        request.body(),
    ];
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
