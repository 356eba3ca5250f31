//! Orders to engines and engine reports over HTTP. Requests to engines are in module `serving`.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use ureq::http::Method;

use crate::answer;
use crate::exchange;
use crate::exchange::JSON;
use crate::exchange::Outgoing;
use crate::exchange::deadline_in;
use crate::options::EngineOptions;
use crate::options::HttpOptions;
use crate::reader::OK;
use crate::reader::Reader;
use crate::reader::parse;
use apricotdale_core::engine::CacheEvent;
use apricotdale_core::engine::EngineOrders;
use apricotdale_core::engine::EngineReports;
use apricotdale_core::engine::EngineStatus;
use apricotdale_core::engine::LoadOrder;
use apricotdale_core::engine::LoadReport;
use apricotdale_core::engine::UnloadOrder;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::numbers::FencingToken;

const CONFLICT: u16 = 409;
const UNPROCESSABLE: u16 = 422;
const STALE_FENCE: &str = "stale_fence";

/// Client of engines over HTTP: sends orders and requests, reads reports.
#[derive(Clone, Debug)]
pub struct HttpEngine {
    pub(crate) http: HttpOptions,
    pub(crate) options: EngineOptions,
    reader: Reader,
}

#[derive(Serialize)]
struct FenceOrder {
    fence: FencingToken,
}

#[derive(Deserialize)]
struct OrderRefusal {
    reason: String,
    #[serde(default)]
    highest: u64,
}

impl HttpEngine {
    /// Returns a client with the given options. Each call names its engine.
    pub fn new(http: &HttpOptions, options: &EngineOptions) -> Self {
        Self {
            http: http.clone(),
            options: options.clone(),
            reader: Reader::new(http, options.report_limit_bytes),
        }
    }

    fn send_order(
        &self,
        engine: SocketAddr,
        path: &str,
        order: &impl Serialize,
        timeout_ms: u64,
    ) -> Result<EngineStatus> {
        let body =
            serde_json::to_vec(order).expect("orders hold only strings, numbers and options");
        let outgoing = Outgoing {
            address: engine,
            method: Method::POST,
            path,
            content_type: JSON,
            headers: Vec::new(),
            body: Some(&body),
            deadline: deadline_in(timeout_ms),
        };
        let incoming = exchange::send(&self.http, outgoing)?;
        let status = incoming.response.status().as_u16();
        let body = answer::read_complete(incoming.response, self.options.report_limit_bytes)
            .map_err(unknown_outcome)?;
        order_outcome(status, &body)
    }
}

impl EngineOrders for HttpEngine {
    fn load(&self, engine: SocketAddr, order: &LoadOrder, timeout_ms: u64) -> Result<EngineStatus> {
        self.send_order(engine, "/orders/load", order, timeout_ms)
    }

    fn unload(
        &self,
        engine: SocketAddr,
        order: &UnloadOrder,
        timeout_ms: u64,
    ) -> Result<EngineStatus> {
        self.send_order(engine, "/orders/unload", order, timeout_ms)
    }

    fn raise_fence(&self, engine: SocketAddr, fence: FencingToken) -> Result<EngineStatus> {
        let order = FenceOrder { fence };
        let timeout_ms = self.options.fence_timeout_ms;
        self.send_order(engine, "/orders/fence", &order, timeout_ms)
    }
}

impl EngineReports for HttpEngine {
    fn status(&self, engine: SocketAddr) -> Result<EngineStatus> {
        let timeout_ms = self.options.report_timeout_ms;
        self.reader.get(engine, "/status", timeout_ms)?.json()
    }

    fn load_report(&self, engine: SocketAddr) -> Result<LoadReport> {
        let timeout_ms = self.options.report_timeout_ms;
        self.reader.get(engine, "/load", timeout_ms)?.json()
    }

    fn cache_events(&self, engine: SocketAddr, after: u64) -> Result<Vec<CacheEvent>> {
        let path = format!("/cache-events?after={after}");
        let timeout_ms = self.options.report_timeout_ms;
        self.reader.get(engine, &path, timeout_ms)?.json()
    }
}

/// Returns the outcome of an order. Only a refusal that can be parsed shows that the order had no
/// effect. After any answer that is neither a refusal nor a status, the outcome is unknown.
fn order_outcome(status: u16, body: &[u8]) -> Result<EngineStatus> {
    match status {
        OK => parse(body).map_err(unknown_outcome),
        CONFLICT | UNPROCESSABLE => {
            let refusal: OrderRefusal = parse(body).map_err(unknown_outcome)?;
            Err(refusal_error(status, refusal))
        }
        status => Err(Error::unknown(format!("the engine answered {status}"))),
    }
}

fn refusal_error(status: u16, refusal: OrderRefusal) -> Error {
    match refusal.reason {
        reason if status == CONFLICT && reason == STALE_FENCE => Error::StaleFence {
            highest: refusal.highest,
        },
        reason => Error::Rejected(reason),
    }
}

fn unknown_outcome(error: Error) -> Error {
    Error::unknown(format!("order's answer: {error}"))
}
