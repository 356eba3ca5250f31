//! The gateway as the HTTP server and the node use it.

use std::panic;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use apricotdale_core::config::ClassTarget;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::RequestId;
use apricotdale_core::policy::RoutingEvent;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_http::ErrorRenderer;
use apricotdale_http::Handler;
use apricotdale_http::HangupGuard;
use apricotdale_http::ProtocolError;
use apricotdale_http::Request;
use apricotdale_http::Responder;
use apricotdale_http::Response;

use crate::answer::Answer;
use crate::answer::CallerLost;
use crate::call_body::CallBody;
use crate::context::Context;
use crate::context::Control;
use crate::context::Inbox;
use crate::endpoint::Endpoint;
use crate::errors::Result;
use crate::identity;
use crate::listing;
use crate::model_flow;
use crate::model_flow::ModelCall;
use crate::options::Options;
use crate::parts::Parts;
use crate::problem;
use crate::service_flow;
use crate::shared::RefusedRequest;
use crate::shared::Shared;
use crate::trace::Step;
use crate::trace::Trace;
use crate::trace::TraceLog;

const HEALTH_PREFIX: &str = "/health/";

/// `Retry-After` of a caller refused because all connections are in use.
const TOO_MANY_CONNECTIONS_RETRY_AFTER_MS: u64 = 1_000;

/// Serves callers, as handler and error renderer of the HTTP server.
pub struct Gateway {
    shared: Arc<Shared>,
}

/// Properties of a request that are known before it is classified.
struct Arrived {
    id: RequestId,
    correlation: Option<String>,
    arrived_ms: u64,
    trace: Arc<TraceLog>,
}

/// Properties of a request that were found before it was refused.
#[derive(Default)]
struct RefusalContext {
    class: Option<ClassTarget>,
}

impl Gateway {
    /// Creates a gateway and starts its threads: the admission policy's ticks and the watcher of
    /// callers' connections.
    ///
    /// # Errors
    ///
    /// If the system can't provide a thread or a file descriptor.
    pub fn new(options: Options, parts: Parts) -> Result<Self> {
        let shared = Arc::new(Shared::new(options, parts)?);
        let ticking = shared.clone();
        thread::Builder::new()
            .name("gateway-admission".to_owned())
            .spawn(move || ticking.admission_queue.run_ticks())?;
        Ok(Self { shared })
    }

    /// Sets how many requests this VM may have in progress at a target. If there is no slot yet,
    /// `ready_at_ms` is when the first is expected. The target is a model, or a service named by
    /// [`service_target`](crate::service_target).
    pub fn set_capacity(&self, target: ModelName, slots: u32, ready_at_ms: Option<u64>) {
        self.shared
            .admission_queue
            .set_capacity(target, slots, ready_at_ms);
    }

    /// Refuses all requests that wait for a model, and returns their number.
    pub fn refuse_waiting(&self, model: &ModelName, refusal: &Refusal) -> usize {
        self.shared.admission_queue.refuse_target(model, refusal)
    }

    /// Passes an event about an upstream, as observed by the node, to the routing policy.
    pub fn learn_routing(&self, event: RoutingEvent) {
        self.shared.learn_routing(event);
    }

    /// Returns the number of requests in progress. A request whose caller has gone still counts
    /// until its outcome is known.
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress.count()
    }

    /// Refuses all new requests from now on. Requests in progress or waiting are still served.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }

    /// Waits until no request is in progress. Returns false if the timeout passes first.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        self.shared.in_progress.wait_idle(timeout)
    }

    /// Returns the trace of a request, if it is among the last `max_traces`.
    pub fn explain(&self, id: &RequestId) -> Option<Trace> {
        self.shared.traces.find(id)
    }

    fn serve(
        &self,
        arrived: &Arrived,
        refusal_context: &mut RefusalContext,
        mut request: Request,
        answer: &mut Answer<'_>,
    ) -> std::result::Result<(), Refusal> {
        let shared = &self.shared;
        match Endpoint::parse(request.method(), request.path())? {
            Endpoint::Live => send(answer, listing::health(None)),
            Endpoint::Ready => {
                let closed = shared.closed();
                let reason = closed.as_ref().map(|refusal| refusal.reason.as_str());
                send(answer, listing::health(reason))
            }
            Endpoint::Models => send(answer, listing::models(&shared.directory.models())),
            Endpoint::Model(model) => match shared.directory.model(&model) {
                Some(spec) => send(answer, listing::model(&spec)),
                None => Err(unknown_model(&model)),
            },
            Endpoint::ModelCall(path) => {
                let context = self.classify(arrived, refusal_context, &request)?;
                let parsed = CallBody::parse(request.body(), shared.options.prefix_bytes)?;
                let spec = shared.directory.model(&parsed.model);
                let call = ModelCall {
                    path,
                    spec: spec.ok_or_else(|| unknown_model(&parsed.model))?,
                    parsed,
                    body: request.take_body(),
                };
                let _watch = self.watch_hangup(&context, &request);
                model_flow::serve(shared, &context, &call, answer)
            }
            Endpoint::Service { service, path } => {
                let context = self.classify(arrived, refusal_context, &request)?;
                let spec = shared.directory.service(&service).ok_or_else(|| {
                    let detail = format!("no service {service} is configured");
                    Refusal::not_run(RefusalReason::UnknownService, detail)
                })?;
                let _watch = self.watch_hangup(&context, &request);
                service_flow::serve(shared, &context, spec, &path, &mut request, answer)
            }
        }
    }

    fn classify(
        &self,
        arrived: &Arrived,
        refusal_context: &mut RefusalContext,
        request: &Request,
    ) -> std::result::Result<Context, Refusal> {
        let shared = &self.shared;
        if let Some(refusal) = shared.closed() {
            return Err(refusal);
        }
        let class = identity::class(request, &*shared.directory, &shared.options)?;
        refusal_context.class = Some(class.clone());
        let timeout_ms = identity::timeout_ms(request, &class, &shared.options)?;
        let caller = identity::caller(request);
        let step = Step::Classified {
            class: class.class.to_string(),
            caller: caller.to_string(),
            timeout_ms,
        };
        arrived.trace.record(shared.now_ms(), step);
        Ok(Context {
            id: arrived.id.clone(),
            class,
            caller,
            arrived_ms: arrived.arrived_ms,
            deadline_ms: arrived.arrived_ms.saturating_add(timeout_ms),
            trace: arrived.trace.clone(),
            inbox: Inbox::new(),
        })
    }

    fn watch_hangup(&self, context: &Context, request: &Request) -> Option<HangupGuard> {
        let control = context.inbox.sender.clone();
        let watched = self.shared.hangups.watch(request.socket(), move || {
            let _ = control.send(Control::CallerGone);
        });
        match watched {
            Ok(guard) => Some(guard),
            Err(error) => {
                log::warn!(request_id = context.id.as_str(); "hang-up is not watched: {error}");
                None
            }
        }
    }

    fn register_arrival(&self, request: &Request) -> Arrived {
        let shared = &self.shared;
        let id = shared.ids.next();
        let arrived_ms = shared.now_ms();
        let correlation = identity::correlation(request);
        let trace = shared.traces.open(&id, arrived_ms, shared.clock.unix_ms());
        // Probes come every second and would displace the traces of requests.
        if !request.path().starts_with(HEALTH_PREFIX) {
            shared.traces.keep(&id, &trace);
        }
        let step = Step::Arrived {
            method: request.method().to_owned(),
            path: request.path().to_owned(),
            correlation: correlation.clone(),
        };
        trace.record(arrived_ms, step);
        Arrived {
            id,
            correlation,
            arrived_ms,
            trace,
        }
    }
}

impl Handler for Gateway {
    fn handle(&self, request: Request, responder: Responder<'_>) {
        let _in_progress = self.shared.in_progress.enter();
        let arrived = self.register_arrival(&request);
        let allow = Endpoint::allowed(request.path());
        let mut refusal_context = RefusalContext::default();
        let mut answer = Answer::new(arrived.id.clone(), arrived.correlation.clone(), responder);
        // A panic is a broken invariant. Only this request ends, with a refusal that is counted.
        let served = panic::catch_unwind(AssertUnwindSafe(|| {
            self.serve(&arrived, &mut refusal_context, request, &mut answer)
        }));
        let refusal = match served {
            Ok(Ok(())) => return,
            Ok(Err(refusal)) => refusal,
            Err(_) => Refusal::unknown(RefusalReason::Internal, "a fault inside the system"),
        };
        let request = RefusedRequest {
            id: &arrived.id,
            correlation: arrived.correlation.as_deref(),
            class: refusal_context.class.map(|target| target.class),
            trace: Some(&arrived.trace),
        };
        self.shared.record_refusal(&request, &refusal);
        let allow = allow.filter(|_| refusal.reason == RefusalReason::MethodNotAllowed);
        answer.refuse(&refusal, allow);
    }
}

impl ErrorRenderer for Gateway {
    fn render(&self, error: &ProtocolError) -> Response {
        let id = self.shared.ids.next();
        let refusal = protocol_refusal(error);
        let request = RefusedRequest {
            id: &id,
            correlation: None,
            class: None,
            trace: None,
        };
        self.shared.record_refusal(&request, &refusal);
        problem::response(&id, &refusal).header("X-Request-Id", id.as_str())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.shared.admission_queue.stop();
    }
}

fn send(answer: &mut Answer<'_>, response: Response) -> std::result::Result<(), Refusal> {
    answer.send(response).map_err(|CallerLost| {
        Refusal::not_run(
            RefusalReason::CallerGone,
            "the caller closed its connection",
        )
    })
}

fn unknown_model(model: &ModelName) -> Refusal {
    let detail = format!("no model {model} is configured");
    Refusal::not_run(RefusalReason::UnknownModel, detail)
}

fn protocol_refusal(error: &ProtocolError) -> Refusal {
    let reason = match error {
        ProtocolError::BadRequest(_) | ProtocolError::ExpectationFailed(_) => {
            RefusalReason::BadRequest
        }
        ProtocolError::HeadTooLarge { .. } | ProtocolError::TooManyHeaders { .. } => {
            RefusalReason::HeadTooLarge
        }
        ProtocolError::BodyTooLarge { .. } => RefusalReason::BodyTooLarge,
        ProtocolError::HeadTimeout | ProtocolError::BodyTimeout => RefusalReason::RequestTimeout,
        ProtocolError::TooManyConnections => RefusalReason::TooManyConnections,
        ProtocolError::HandlerFailed => RefusalReason::Internal,
    };
    let refusal = Refusal::not_run(reason, error.to_string());
    match error {
        ProtocolError::TooManyConnections => {
            refusal.retry_after(TOO_MANY_CONNECTIONS_RETRY_AFTER_MS)
        }
        ProtocolError::HandlerFailed => Refusal::unknown(reason, error.to_string()),
        _ => refusal,
    }
}
