//! Options of the adapters: addresses, timeouts and size limits.

use std::net::SocketAddr;

/// Options that all HTTP adapters share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpOptions {
    /// Timeout of establishing a connection.
    pub connect_timeout_ms: u64,
    /// Maximum size of an answer's head.
    pub head_limit_bytes: usize,
    /// Size of each of a connection's two buffers, at least `head_limit_bytes`.
    pub buffer_bytes: usize,
    /// Maximum number of idle connections kept for reads. Calls with an effect keep none.
    pub idle_connections: usize,
    /// Maximum time that an idle connection is kept for reads.
    pub idle_connection_ms: u64,
}

impl Default for HttpOptions {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 1_000,
            head_limit_bytes: 16 * 1024,
            buffer_bytes: 16 * 1024,
            idle_connections: 16,
            idle_connection_ms: 5_000,
        }
    }
}

/// Options of [`HttpLog`](crate::HttpLog).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// Address of the log service.
    pub address: SocketAddr,
    /// Timeout of an append.
    pub append_timeout_ms: u64,
    /// Timeout of a read, in addition to the time for which the read waits for records.
    pub read_timeout_ms: u64,
    /// Maximum size of the answer to a read.
    pub answer_limit_bytes: usize,
}

impl LogOptions {
    /// Returns the default options for a log service at an address.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            append_timeout_ms: 3_000,
            read_timeout_ms: 3_000,
            answer_limit_bytes: 32 * 1024 * 1024,
        }
    }
}

/// Options of [`HttpEngine`](crate::HttpEngine).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOptions {
    /// Timeout of raising an engine's fence.
    pub fence_timeout_ms: u64,
    /// Timeout of reading a status, a load report or cache events.
    pub report_timeout_ms: u64,
    /// Timeout of a cancellation.
    pub cancel_timeout_ms: u64,
    /// Maximum size of a status, a load report or a list of cache events.
    pub report_limit_bytes: usize,
    /// Maximum size of a piece of an answer: one event of a stream, or the complete body otherwise.
    pub piece_limit_bytes: usize,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            fence_timeout_ms: 3_000,
            report_timeout_ms: 2_000,
            cancel_timeout_ms: 2_000,
            report_limit_bytes: 4 * 1024 * 1024,
            piece_limit_bytes: 16 * 1024 * 1024,
        }
    }
}

/// Options of [`HttpService`](crate::HttpService).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceOptions {
    /// Maximum size of an answer's body.
    pub answer_limit_bytes: usize,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            answer_limit_bytes: 16 * 1024 * 1024,
        }
    }
}

/// Options of [`HttpWeights`](crate::HttpWeights).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOptions {
    /// Address of the weight store.
    pub address: SocketAddr,
    /// Timeout of a query.
    pub timeout_ms: u64,
    /// Maximum size of an answer.
    pub answer_limit_bytes: usize,
}

impl WeightsOptions {
    /// Returns the default options for a weight store at an address.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            timeout_ms: 2_000,
            answer_limit_bytes: 64 * 1024,
        }
    }
}

/// Options of [`HttpVmList`](crate::HttpVmList).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListOptions {
    /// Address at which the platform serves the VM list.
    pub address: SocketAddr,
    /// Timeout of reading the VM list.
    pub timeout_ms: u64,
    /// Maximum size of the answer with the VM list.
    pub answer_limit_bytes: usize,
}

impl VmListOptions {
    /// Returns the default options for a VM list at an address.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            timeout_ms: 2_000,
            answer_limit_bytes: 4 * 1024 * 1024,
        }
    }
}

/// Options of all HTTP adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Options that all adapters share.
    pub http: HttpOptions,
    /// Options of the client of the log service.
    pub log: LogOptions,
    /// Options of the client of engines.
    pub engine: EngineOptions,
    /// Options of the client of plain services.
    pub service: ServiceOptions,
    /// Options of the client of the weight store.
    pub weights: WeightsOptions,
    /// Options of the client of the VM list.
    pub vm_list: VmListOptions,
}

impl Options {
    /// Returns the default options for a platform at the given addresses.
    pub fn at(log: SocketAddr, weights: SocketAddr, vm_list: SocketAddr) -> Self {
        Self {
            http: HttpOptions::default(),
            log: LogOptions::at(log),
            engine: EngineOptions::default(),
            service: ServiceOptions::default(),
            weights: WeightsOptions::at(weights),
            vm_list: VmListOptions::at(vm_list),
        }
    }
}
