//! Client that sends a request to a VM and reads, times and checks the answer.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use serde_json::Value;
use ureq::Agent;
use ureq::Body;
use ureq::http::Response;

use apricotdale_launcher::answer::AnswerHead;
use apricotdale_launcher::answer::Outcome;
use apricotdale_launcher::answer::StreamParser;

use crate::load::answer_check::TokenCheck;
use crate::load::answer_check::check_call;
use crate::load::balancer::Balancer;
use crate::load::clock::RunClock;
use crate::load::cluster_options::SHELF;
use crate::load::record::Ending;
use crate::load::record::Record;
use crate::load::schedule::PlannedRequest;
use crate::load::schedule::Work;

/// Timeout of a complete answer. It is far above every class target and only ends a request that
/// hangs.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(120);

/// Limit and pause for sending a cut order with an idempotency key again after a lost answer.
const MAX_RESENDS: u32 = 100;
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// Length of the common prefixes of prompts in characters, beyond the prefix that engines cache.
const PREFIX_LENGTH: usize = 300;

const EVENT_STREAM: &str = "text/event-stream";

/// Names that requests carry, by their index in the trace or deployment.
#[derive(Clone, Debug)]
pub struct Catalog {
    /// Names of the models.
    pub models: Vec<String>,
    /// Names of the request classes.
    pub classes: Vec<String>,
    /// Name of the plain service.
    pub service: String,
}

/// Client that opens a connection for each request, so that the death of a VM affects only the
/// requests in progress there.
#[derive(Clone, Debug)]
pub struct Client {
    agent: Agent,
    balancer: Arc<Balancer>,
    clock: RunClock,
    catalog: Arc<Catalog>,
}

type Sent = Result<Response<Body>, ureq::Error>;

impl Client {
    /// Returns a client that sends to the VMs of `balancer` and takes times from `clock`.
    pub fn new(balancer: Arc<Balancer>, clock: RunClock, catalog: Arc<Catalog>) -> Self {
        let agent = Agent::config_builder()
            .proxy(None)
            .max_idle_connections(0)
            .http_status_as_error(false)
            .no_delay(true)
            .timeout_global(Some(ANSWER_TIMEOUT))
            .build()
            .into();
        Self {
            agent,
            balancer,
            clock,
            catalog,
        }
    }

    /// Sends a request and returns its record. A cut order with an idempotency key is sent again
    /// under the same key if its answer is lost, as a real caller would do.
    pub fn send(&self, index: usize, planned: &PlannedRequest) -> Record {
        let mut record = self.send_once(index, planned, planned.vm);
        while must_resend(planned, &record) {
            thread::sleep(RESEND_PAUSE);
            let again = self.send_once(index, planned, record.vm + 1);
            record = Record {
                sent: record.sent,
                resends: record.resends + 1,
                ..again
            };
        }
        record
    }

    fn send_once(&self, index: usize, planned: &PlannedRequest, first_vm: usize) -> Record {
        let mut record = Record {
            planned: index,
            vm: first_vm,
            sent: self.clock.now(),
            first: None,
            ended: Duration::ZERO,
            gaps_us: Vec::new(),
            identity: String::new(),
            engine: None,
            resends: 0,
            retry_after: None,
            is_caller_retry: false,
            ending: Ending::NoAnswer("no VM accepts connections".to_owned()),
        };
        for (vm, address) in self.balancer.route(first_vm) {
            record.vm = vm;
            match self.start(address, planned) {
                Err(error) if never_connected(&error) => continue,
                Err(error) => record.ending = Ending::NoAnswer(error.to_string()),
                Ok(response) => self.read(response, planned, &mut record),
            }
            break;
        }
        record.ended = self.clock.now();
        record
    }

    fn start(&self, vm: SocketAddr, planned: &PlannedRequest) -> Sent {
        let class = &self.catalog.classes[planned.class];
        let service = &self.catalog.service;
        let url = |path: &str| format!("http://{vm}{path}");
        let caller = format!("caller-{}", planned.caller);
        match &planned.work {
            Work::Completion {
                model,
                prefix,
                tokens,
                stream,
            } => {
                let body = serde_json::json!({
                    "model": self.catalog.models[*model],
                    "prompt": format!("{prefix:0>PREFIX_LENGTH$} {caller}"),
                    "max_tokens": tokens,
                    "stream": stream,
                });
                let request = self.agent.post(url("/v1/completions"));
                let request = request.header("X-Request-Class", class);
                request.header("X-Caller", caller).send_json(body)
            }
            Work::ShelfLookup { .. } => {
                let path = format!("/services/{service}{}", call_path(&planned.work));
                let request = self.agent.get(url(&path));
                let request = request.header("X-Request-Class", class);
                request.header("X-Caller", caller).call()
            }
            Work::CutOrder { order, keyed } => {
                let path = format!("/services/{service}{}", call_path(&planned.work));
                let request = self.agent.post(url(&path));
                let request = request.header("X-Request-Class", class);
                let request = match keyed {
                    true => request.header("Idempotency-Key", idempotency_key(*order)),
                    false => request,
                };
                let body = serde_json::json!({"order": order});
                request.header("X-Caller", caller).send_json(body)
            }
        }
    }

    fn read(&self, response: Response<Body>, planned: &PlannedRequest, record: &mut Record) {
        let head = AnswerHead {
            status: response.status().as_u16(),
            content_type: header(&response, "content-type"),
            request: header(&response, "x-request-id"),
        };
        record.identity = head.request.clone();
        let body = BufReader::new(response.into_body().into_reader());
        record.ending = if head.content_type.starts_with(EVENT_STREAM) {
            self.read_stream(head, body, planned, record)
        } else {
            self.read_complete(head, body, planned, record)
        };
    }

    fn read_stream(
        &self,
        head: AnswerHead,
        mut body: impl BufRead,
        planned: &PlannedRequest,
        record: &mut Record,
    ) -> Ending {
        let mut check = TokenCheck::new(&head.request);
        let mut reading = StreamParser::new(head);
        let mut mismatch = None;
        let mut last = None;
        let mut line = String::new();
        let outcome = loop {
            line.clear();
            match body.read_line(&mut line) {
                Ok(0) => break reading.end(None),
                Err(error) => break reading.end(Some(error.to_string())),
                Ok(_) if !reading.parse_line(line.trim_end()) => continue,
                Ok(_) => {}
            }
            let now = self.clock.now();
            match last {
                None => record.first = Some(now),
                Some(last) => record.gaps_us.push(micros(now - last)),
            }
            last = Some(now);
            let data = line.trim_start_matches("data:").trim();
            mismatch = mismatch.or(check.verify(data).err());
        };
        record.engine = check.engine().map(str::to_owned);
        ending_of(outcome, mismatch, || {
            check.verify_end(tokens(&planned.work))
        })
    }

    fn read_complete(
        &self,
        head: AnswerHead,
        mut body: impl Read,
        planned: &PlannedRequest,
        record: &mut Record,
    ) -> Ending {
        let mut bytes = Vec::new();
        if let Err(error) = body.read_to_end(&mut bytes) {
            return Ending::Cut(error.to_string());
        }
        let text = String::from_utf8_lossy(&bytes);
        record.retry_after = retry_after(&text);
        let mut check = TokenCheck::new(&head.request);
        let outcome = Outcome::of_body(head, &text);
        if outcome.is_whole() {
            record.first = Some(self.clock.now());
        }
        let checked = || match &planned.work {
            Work::Completion { tokens, .. } => {
                check.verify(&text).and_then(|()| check.verify_end(*tokens))
            }
            work => check_call(&call_name(work), &text),
        };
        let ending = ending_of(outcome, None, checked);
        record.engine = check.engine().map(str::to_owned);
        ending
    }
}

/// Returns how a request ended, from the framing of its answer and from the check of its content.
fn ending_of(
    outcome: Outcome,
    mismatch: Option<String>,
    end_check: impl FnOnce() -> Result<(), String>,
) -> Ending {
    match outcome {
        Outcome::Crossed { found, .. } => Ending::Foreign(format!("identity {found}")),
        _ if mismatch.is_some() => Ending::Foreign(mismatch.unwrap_or_default()),
        Outcome::Refused { refusal, .. } => Ending::Refused(refusal),
        Outcome::Cut {
            refusal: Some(refusal),
            ..
        } => Ending::Cut(refusal.to_string()),
        Outcome::Cut { detail, .. } => Ending::Cut(detail),
        Outcome::NoAnswer(detail) => Ending::NoAnswer(detail),
        Outcome::Whole { head, .. } if !(200..300).contains(&head.status) => {
            Ending::Strange(head.status)
        }
        Outcome::Whole { .. } => match end_check() {
            Ok(()) => Ending::Whole,
            Err(detail) => Ending::Foreign(detail),
        },
    }
}

/// Returns the path of a call below the service, or an empty one for a completion.
fn call_path(work: &Work) -> String {
    match work {
        Work::Completion { .. } => String::new(),
        Work::ShelfLookup { bundle } => format!("{SHELF}/{bundle}"),
        Work::CutOrder { order, .. } => format!("/cut-orders/{order}"),
    }
}

/// Returns the name under which a stand-in service counts a call, or an empty one for a completion.
pub fn call_name(work: &Work) -> String {
    match work {
        Work::Completion { .. } => String::new(),
        Work::ShelfLookup { .. } => format!("GET {}", call_path(work)),
        Work::CutOrder { .. } => format!("POST {}", call_path(work)),
    }
}

/// Returns the idempotency key under which a cut order is sent.
pub fn idempotency_key(order: u64) -> String {
    format!("cut-order-{order}")
}

fn tokens(work: &Work) -> u32 {
    match work {
        Work::Completion { tokens, .. } => *tokens,
        Work::ShelfLookup { .. } | Work::CutOrder { .. } => 0,
    }
}

fn must_resend(planned: &PlannedRequest, record: &Record) -> bool {
    if !matches!(planned.work, Work::CutOrder { keyed: true, .. }) {
        return false;
    }
    let refusal = record.ending.refusal();
    let still_runs = refusal.is_some_and(|refusal| refusal.reason == "key_in_progress");
    record.resends < MAX_RESENDS && (record.ending.is_lost() || (record.resends > 0 && still_runs))
}

/// Returns whether a request certainly reached no VM, so that it may go to another one.
fn never_connected(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(error) => error.kind() == ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}

/// Returns the delay after which a refusal allows a retry, or none if the body names none.
fn retry_after(body: &str) -> Option<Duration> {
    let problem: Value = serde_json::from_str(body).ok()?;
    let after_ms = problem["retry_after_ms"].as_u64()?;
    Some(Duration::from_millis(after_ms))
}

fn micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}

fn header(response: &Response<Body>, name: &str) -> String {
    let value = response.headers().get(name);
    let text = value.and_then(|value| value.to_str().ok());
    text.unwrap_or_default().to_owned()
}
