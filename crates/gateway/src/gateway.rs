//! The gateway: what the HTTP server and the node see.

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

/// When a caller that found no free connection should come back.
const RETRY_CONNECTION_MS: u64 = 1_000;

/// `Gateway` serves callers. It is the handler and the error renderer of the HTTP server.
pub struct Gateway {
    shared: Arc<Shared>,
}

/// `Arrived` is what is known of a request before it is classified.
struct Arrived {
    id: RequestId,
    correlation: Option<String>,
    arrived_ms: u64,
    trace: Arc<TraceLog>,
}

/// `Known` is what is known of a request by the time it is refused.
#[derive(Default)]
struct Known {
    class: Option<ClassTarget>,
}

impl Gateway {
    /// Returns a gateway, and starts its threads: admission's clock and the watch on callers'
    /// connections.
    ///
    /// # Errors
    ///
    /// If the system refuses a thread or a descriptor.
    pub fn new(options: Options, parts: Parts) -> Result<Self> {
        let shared = Arc::new(Shared::new(options, parts)?);
        let ticking = shared.clone();
        thread::Builder::new()
            .name("gateway-admission".to_owned())
            .spawn(move || ticking.desk.run_ticks())?;
        Ok(Self { shared })
    }

    /// Takes in how many requests this VM may have in progress at a target, and when the first
    /// place is expected if there is none. The target is a model, or a service by way of
    /// [`service_target`](crate::service_target).
    pub fn capacity(&self, target: ModelName, slots: u32, ready_at_ms: Option<u64>) {
        self.shared.desk.capacity(target, slots, ready_at_ms);
    }

    /// Refuses all requests that wait for a model, at once, and returns how many.
    pub fn hopeless(&self, model: &ModelName, refusal: &Refusal) -> usize {
        self.shared.desk.refuse_target(model, refusal)
    }

    /// Lets routing learn what the node reads of upstreams.
    pub fn learn_routing(&self, event: RoutingEvent) {
        self.shared.learn_routing(event);
    }

    /// Returns how many requests are in progress, those included whose outcome is still awaited
    /// though their caller has gone.
    pub fn in_progress(&self) -> usize {
        self.shared.in_progress.count()
    }

    /// Refuses all new requests from now on. Those in progress, and those that wait, go on.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::Release);
    }

    /// Waits until no request is in progress, and returns whether that came within the time.
    pub fn wait_idle(&self, timeout: Duration) -> bool {
        self.shared.in_progress.wait_idle(timeout)
    }

    /// Returns what became of a request, if it is one of the last.
    pub fn explain(&self, id: &RequestId) -> Option<Trace> {
        self.shared.traces.find(id)
    }

    fn serve(
        &self,
        arrived: &Arrived,
        known: &mut Known,
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
                let context = self.classify(arrived, known, &request)?;
                let parsed = CallBody::parse(request.body(), shared.options.prefix_bytes)?;
                let spec = shared.directory.model(&parsed.model);
                let call = ModelCall {
                    path,
                    spec: spec.ok_or_else(|| unknown_model(&parsed.model))?,
                    parsed,
                    body: request.take_body(),
                };
                let _watch = self.watch(&context, &request);
                model_flow::serve(shared, &context, &call, answer)
            }
            Endpoint::Service { service, path } => {
                let context = self.classify(arrived, known, &request)?;
                let spec = shared.directory.service(&service).ok_or_else(|| {
                    let detail = format!("no service {service} is configured");
                    Refusal::not_run(RefusalReason::UnknownService, detail)
                })?;
                let _watch = self.watch(&context, &request);
                service_flow::serve(shared, &context, spec, &path, &mut request, answer)
            }
        }
    }

    fn classify(
        &self,
        arrived: &Arrived,
        known: &mut Known,
        request: &Request,
    ) -> std::result::Result<Context, Refusal> {
        let shared = &self.shared;
        if let Some(refusal) = shared.closed() {
            return Err(refusal);
        }
        let class = identity::class(request, &*shared.directory, &shared.options)?;
        known.class = Some(class.clone());
        let timeout_ms = identity::timeout_ms(request, &class, &shared.options)?;
        let caller = identity::caller(request);
        let step = Step::Classified {
            class: class.class.to_string(),
            caller: caller.to_string(),
            timeout_ms,
        };
        arrived.trace.note(shared.now_ms(), step);
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

    fn watch(&self, context: &Context, request: &Request) -> Option<HangupGuard> {
        let control = context.inbox.sender.clone();
        let watched = self.shared.hangups.watch(request.socket(), move || {
            let _ = control.send(Control::CallerGone);
        });
        match watched {
            Ok(guard) => Some(guard),
            Err(error) => {
                log::warn!(request_id = context.id.as_str(); "the caller is not watched: {error}");
                None
            }
        }
    }

    fn arrive(&self, request: &Request) -> Arrived {
        let shared = &self.shared;
        let id = shared.ids.next();
        let arrived_ms = shared.now_ms();
        let correlation = identity::correlation(request);
        let trace = shared.traces.open(&id, arrived_ms, shared.clock.unix_ms());
        // Probes come every second and would crowd out the requests.
        if !request.path().starts_with(HEALTH_PREFIX) {
            shared.traces.remember(&id, &trace);
        }
        let step = Step::Arrived {
            method: request.method().to_owned(),
            path: request.path().to_owned(),
            correlation: correlation.clone(),
        };
        trace.note(arrived_ms, step);
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
        let arrived = self.arrive(&request);
        let allow = Endpoint::allowed(request.path());
        let mut known = Known::default();
        let mut answer = Answer::new(arrived.id.clone(), arrived.correlation.clone(), responder);
        // A panic is a broken invariant. It ends this request, counted and answered, and no other.
        let served = panic::catch_unwind(AssertUnwindSafe(|| {
            self.serve(&arrived, &mut known, request, &mut answer)
        }));
        let refusal = match served {
            Ok(Ok(())) => return,
            Ok(Err(refusal)) => refusal,
            Err(_) => Refusal::unknown(RefusalReason::Internal, "a fault inside the system"),
        };
        let request = RefusedRequest {
            id: &arrived.id,
            correlation: arrived.correlation.as_deref(),
            class: known.class.map(|target| target.class),
            trace: Some(&arrived.trace),
        };
        self.shared.note_refusal(&request, &refusal);
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
        self.shared.note_refusal(&request, &refusal);
        problem::response(&id, &refusal).header("X-Request-Id", id.as_str())
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.shared.desk.stop();
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
        ProtocolError::TooManyConnections => refusal.retry_after(RETRY_CONNECTION_MS),
        ProtocolError::HandlerFailed => Refusal::unknown(reason, error.to_string()),
        _ => refusal,
    }
}
