//! Plain services.

use std::net::SocketAddr;

use crate::errors::Result;
use crate::names::IdempotencyKey;
use crate::names::RequestId;

/// `ServiceCall` is one call to an instance of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceCall {
    /// The request's identity.
    pub id: RequestId,
    /// The HTTP method.
    pub method: String,
    /// The path below the service.
    pub path: String,
    /// The content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
    /// The key that the caller gave, passed on to the service.
    pub key: Option<IdempotencyKey>,
    /// The longest time until the answer is whole.
    pub timeout_ms: u64,
}

/// `ServiceAnswer` is a service's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type of the body.
    pub content_type: String,
    /// The body.
    pub body: Vec<u8>,
}

/// `PlainService` calls plain services.
pub trait PlainService: Send + Sync {
    /// Makes a call at most once and returns the whole answer.
    ///
    /// # Errors
    ///
    /// `Error::Unavailable` if the call was certainly not received, `Error::Unknown` if it may
    /// have run.
    fn call(&self, instance: SocketAddr, call: &ServiceCall) -> Result<ServiceAnswer>;
}
