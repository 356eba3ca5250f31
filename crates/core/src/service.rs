//! Client interface of the plain services.

use std::net::SocketAddr;

use crate::errors::Result;
use crate::names::IdempotencyKey;
use crate::names::RequestId;

/// One call to an instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// Identity of the request that the call belongs to.
    pub id: RequestId,
    /// HTTP method.
    pub method: String,
    /// Path relative to the service.
    pub path: String,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Body of the call.
    pub body: Vec<u8>,
    /// Idempotency key that the caller gave, which is passed on to the service.
    pub key: Option<IdempotencyKey>,
    /// Time within which the complete answer must have arrived.
    pub timeout_ms: u64,
}

/// Complete answer of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Body of the answer.
    pub body: Vec<u8>,
}

/// Sends calls to instances of plain services.
pub trait PlainService: Send + Sync {
    /// Sends a call at most once and returns the complete answer.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the instance certainly did not receive the call, `Error::Unknown` if
    /// the call may have run.
    fn call(&self, instance: SocketAddr, call: &ServiceCall) -> Result<ServiceAnswer>;
}
