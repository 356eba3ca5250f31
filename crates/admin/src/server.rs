//! HTTP server of the operators' interface.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use apricotdale_core::names::RequestId;
use rouille::Request;
use rouille::Response;
use rouille::Server;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::errors::Error;
use crate::errors::Result;
use crate::problem::PROBLEM_CONTENT_TYPE;
use crate::problem::Problem;
use crate::publish::PublishRequest;
use crate::source::AdminSource;

/// Start of the paths that explain a request; the request ID follows.
const REQUEST_PATH_PREFIX: &str = "/admin/requests/";

/// Longest request ID that is accepted, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 200;

/// Content type of the metrics, as the OpenMetrics specification has it.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Interval at which the server thread checks whether it must stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Function that renders the metrics in the OpenMetrics text format.
pub type RenderMetrics = Arc<dyn Fn() -> String + Send + Sync>;

/// Limits of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerOptions {
    /// Number of worker threads, that is, of requests that are answered at the same time. Further
    /// requests wait.
    pub max_requests: usize,
    /// Maximum number of changes that wait for the log at the same time. Further changes are
    /// refused. Must be below `max_requests`, so that health checks are answered while the log is
    /// slow.
    pub max_changes: usize,
    /// Largest request body that is read, in bytes.
    pub max_body_bytes: u64,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            max_requests: 8,
            max_changes: 2,
            max_body_bytes: 1024 * 1024,
        }
    }
}

/// Running server of the operators' interface. Dropping the value stops the server.
pub struct AdminServer {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl AdminServer {
    /// Returns the address on which the server listens, with the actual port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server, and returns once all requests in progress have been answered.
    pub fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.stopping.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take() {
            // A panic of the server thread has already been reported by the panic hook.
            let _ = thread.join();
        }
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// Starts a server on an address. Port 0 means any free port.
///
/// # Errors
///
/// [`Error::Listen`] if the server can't listen on the address or its thread can't be started.
pub fn serve(
    address: SocketAddr,
    source: Arc<dyn AdminSource>,
    metrics: RenderMetrics,
    options: ServerOptions,
) -> Result<AdminServer> {
    let routes = Routes {
        source,
        metrics,
        options,
        changes: AtomicUsize::new(0),
    };
    let server = Server::new(address, move |request| routes.answer(request))
        .map_err(|error| Error::Listen(format!("{address}: {error}")))?
        .pool_size(options.max_requests.max(1));
    let address = server.server_addr();
    let stopping = Arc::new(AtomicBool::new(false));
    let stop_requested = Arc::clone(&stopping);
    let thread = thread::Builder::new()
        .name("admin".to_owned())
        .spawn(move || {
            while !stop_requested.load(Ordering::Acquire) {
                server.poll_timeout(STOP_CHECK_INTERVAL);
            }
            server.join();
        })
        .map_err(|error| Error::Listen(error.to_string()))?;
    Ok(AdminServer {
        address,
        stopping,
        thread: Some(thread),
    })
}

struct Routes {
    source: Arc<dyn AdminSource>,
    metrics: RenderMetrics,
    options: ServerOptions,
    changes: AtomicUsize,
}

impl Routes {
    fn answer(&self, request: &Request) -> Response {
        self.dispatch(request).unwrap_or_else(problem_response)
    }

    fn dispatch(&self, request: &Request) -> Result<Response> {
        let path = request.url();
        match (request.method(), path.as_str()) {
            ("GET", "/admin/status") => Ok(json_response(200, &self.source.status())),
            ("GET", "/admin/config") => Ok(json_response(200, &self.source.config()?)),
            ("GET", "/admin/models") => Ok(json_response(200, &self.source.models()?)),
            ("GET", "/admin/upstreams") => Ok(json_response(200, &self.source.upstreams()?)),
            ("GET", "/admin/members") => Ok(json_response(200, &self.source.members()?)),
            ("GET", path) if path.starts_with(REQUEST_PATH_PREFIX) => {
                self.explain(&path[REQUEST_PATH_PREFIX.len()..])
            }
            ("POST", "/admin/config") => self.publish(request),
            ("POST", "/admin/drain") => Ok(json_response(200, &self.source.drain())),
            ("GET", "/metrics") => Ok(self.metrics()),
            ("GET", "/health/live") => Ok(Response::text("live\n")),
            ("GET", "/health/ready") => self.ready(),
            (method, path) if is_served(path) => Err(Error::MethodNotAllowed(format!(
                "{path} is not served by {method}"
            ))),
            (_, path) => Err(Error::not_found(format!("{path} is not served"))),
        }
    }

    fn explain(&self, id: &str) -> Result<Response> {
        if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES {
            return Err(Error::bad_request(format!(
                "a request identity has 1 to {MAX_REQUEST_ID_BYTES} bytes"
            )));
        }
        Ok(json_response(
            200,
            &self.source.explain(&RequestId::new(id))?,
        ))
    }

    fn publish(&self, request: &Request) -> Result<Response> {
        let change: PublishRequest = read_json(request, self.options.max_body_bytes)?;
        let _permit = self.change_permit()?;
        let outcome = self.source.publish(&change);
        Ok(json_response(outcome.http_status(), &outcome))
    }

    /// Acquires a permit to wait for one change, or fails if all permits are taken.
    ///
    /// While the log is slow, each change blocks a thread. Without the limit, a few operators who
    /// retry their changes would block all threads, the health check would time out, and the
    /// platform would replace a VM that serves well.
    fn change_permit(&self) -> Result<ChangePermit<'_>> {
        let waiting_changes = self.changes.fetch_add(1, Ordering::AcqRel);
        let permit = ChangePermit(&self.changes);
        if waiting_changes >= self.options.max_changes {
            return Err(Error::Busy(format!(
                "{waiting_changes} changes wait for the log; this one was not appended"
            )));
        }
        Ok(permit)
    }

    fn metrics(&self) -> Response {
        Response::from_data(METRICS_CONTENT_TYPE, (self.metrics)())
    }

    fn ready(&self) -> Result<Response> {
        let status = self.source.status();
        if status.ready {
            return Ok(Response::text("ready\n"));
        }
        Err(Error::not_ready(
            status
                .not_ready_because
                .unwrap_or_else(|| "no reason known".to_owned()),
        ))
    }
}

struct ChangePermit<'a>(&'a AtomicUsize);

impl Drop for ChangePermit<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

fn is_served(path: &str) -> bool {
    const PATHS: &[&str] = &[
        "/admin/status",
        "/admin/config",
        "/admin/models",
        "/admin/upstreams",
        "/admin/members",
        "/admin/drain",
        "/metrics",
        "/health/live",
        "/health/ready",
    ];
    PATHS.contains(&path) || path.starts_with(REQUEST_PATH_PREFIX)
}

fn read_json<T: DeserializeOwned>(request: &Request, max_body_bytes: u64) -> Result<T> {
    let body = request
        .data()
        .ok_or_else(|| Error::bad_request("the body was read before"))?;
    let mut bytes = Vec::new();
    body.take(max_body_bytes + 1)
        .read_to_end(&mut bytes)
        .map_err(|error| Error::bad_request(format!("the body did not arrive: {error}")))?;
    if bytes.len() as u64 > max_body_bytes {
        return Err(Error::BodyTooLarge(format!(
            "at most {max_body_bytes} bytes are read"
        )));
    }
    serde_json::from_slice(&bytes).map_err(|error| Error::bad_request(error.to_string()))
}

fn json_response<T: Serialize>(status: u16, value: &T) -> Response {
    let body = serde_json::to_vec(value).expect("views hold only strings, numbers and lists");
    Response::from_data("application/json", body).with_status_code(status)
}

fn problem_response(error: Error) -> Response {
    let problem = Problem::from(error);
    let body = serde_json::to_vec(&problem).expect("a problem holds only strings and numbers");
    Response::from_data(PROBLEM_CONTENT_TYPE, body).with_status_code(problem.status)
}
