//! Client of plain services over HTTP.

use std::net::SocketAddr;

use ureq::http::Method;

use crate::answer;
use crate::exchange;
use crate::exchange::Outgoing;
use crate::exchange::deadline_in;
use crate::options::HttpOptions;
use crate::options::ServiceOptions;
use apricotdale_core::errors::Error;
use apricotdale_core::errors::Result;
use apricotdale_core::service::PlainService;
use apricotdale_core::service::ServiceAnswer;
use apricotdale_core::service::ServiceCall;

const REQUEST_ID: &str = "X-Request-Id";
const IDEMPOTENCY_KEY: &str = "Idempotency-Key";

/// Client of plain services over HTTP.
#[derive(Clone, Debug)]
pub struct HttpService {
    http: HttpOptions,
    options: ServiceOptions,
}

impl HttpService {
    /// Returns a client with the given options. Each call names its instance.
    pub fn new(http: &HttpOptions, options: &ServiceOptions) -> Self {
        Self {
            http: http.clone(),
            options: options.clone(),
        }
    }
}

impl PlainService for HttpService {
    fn call(&self, instance: SocketAddr, call: &ServiceCall) -> Result<ServiceAnswer> {
        let method = Method::from_bytes(call.method.as_bytes())
            .map_err(|_| Error::rejected("the method can't be sent"))?;
        let mut headers = vec![(REQUEST_ID, call.id.to_string())];
        if let Some(key) = &call.key {
            headers.push((IDEMPOTENCY_KEY, key.to_string()));
        }
        let body = Some(call.body.as_slice()).filter(|body| sends_body(&method, body));
        let bodyless = method == Method::HEAD;
        let outgoing = Outgoing {
            address: instance,
            method,
            path: &call.path,
            content_type: &call.content_type,
            headers,
            body,
            deadline: deadline_in(call.timeout_ms),
        };
        let incoming = exchange::send(&self.http, outgoing)?;
        let status = incoming.response.status().as_u16();
        let content_type = answer::content_type(&incoming.response);
        let body = match bodyless {
            true => Vec::new(),
            false => answer::read_complete(incoming.response, self.options.answer_limit_bytes)?,
        };
        Ok(ServiceAnswer {
            status,
            content_type,
            body,
        })
    }
}

/// Returns whether a call is sent with a body. `POST`, `PUT` and `PATCH` send even an empty one, so
/// that its length is announced.
fn sends_body(method: &Method, body: &[u8]) -> bool {
    let expects_body = matches!(*method, Method::POST | Method::PUT | Method::PATCH);
    expects_body || !body.is_empty()
}
