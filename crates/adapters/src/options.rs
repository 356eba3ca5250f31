//! Tunables of the adapters: addresses, timeouts and size limits.

use std::net::SocketAddr;

/// `HttpOptions` are the tunables that every HTTP adapter shares.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpOptions {
    /// The longest time to establish a connection.
    pub connect_timeout_ms: u64,
    /// The largest answer head that is read.
    pub head_limit_bytes: usize,
    /// The size of each of a connection's two buffers. It must hold the largest head.
    pub buffer_bytes: usize,
    /// How many idle connections are kept for reads. Calls that have an effect keep none.
    pub idle_connections: usize,
    /// How long an idle connection is kept for reads.
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

/// `LogOptions` are the tunables of [`HttpLog`](crate::HttpLog).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// Where the log service answers.
    pub address: SocketAddr,
    /// The longest time until an append is answered.
    pub append_timeout_ms: u64,
    /// The longest time until a read is answered, beyond the time for which the read itself waits.
    pub read_timeout_ms: u64,
    /// The largest answer to a read.
    pub answer_limit_bytes: usize,
}

impl LogOptions {
    /// Returns the default tunables for a log service at the given address.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            append_timeout_ms: 3_000,
            read_timeout_ms: 3_000,
            answer_limit_bytes: 32 * 1024 * 1024,
        }
    }
}

/// `EngineOptions` are the tunables of [`HttpEngine`](crate::HttpEngine).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineOptions {
    /// The longest time until an engine has raised its fence.
    pub fence_timeout_ms: u64,
    /// The longest time until a status, a load report or cache events are read.
    pub report_timeout_ms: u64,
    /// The longest time until a cancellation is answered.
    pub cancel_timeout_ms: u64,
    /// The largest status, load report or list of cache events.
    pub report_limit_bytes: usize,
    /// The largest piece of an answer: one event of a stream, or the whole of any other answer.
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

/// `ServiceOptions` are the tunables of [`HttpService`](crate::HttpService).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceOptions {
    /// The largest body of an answer.
    pub answer_limit_bytes: usize,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            answer_limit_bytes: 16 * 1024 * 1024,
        }
    }
}

/// `WeightsOptions` are the tunables of [`HttpWeights`](crate::HttpWeights).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsOptions {
    /// Where the weight store answers.
    pub address: SocketAddr,
    /// The longest time until a question is answered.
    pub timeout_ms: u64,
    /// The largest answer.
    pub answer_limit_bytes: usize,
}

impl WeightsOptions {
    /// Returns the default tunables for a weight store at the given address.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            timeout_ms: 2_000,
            answer_limit_bytes: 64 * 1024,
        }
    }
}

/// `VmListOptions` are the tunables of [`HttpVmList`](crate::HttpVmList).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VmListOptions {
    /// Where the platform serves the list.
    pub address: SocketAddr,
    /// The longest time until the list is read.
    pub timeout_ms: u64,
    /// The largest list.
    pub answer_limit_bytes: usize,
}

impl VmListOptions {
    /// Returns the default tunables for a list at the given address.
    pub fn at(address: SocketAddr) -> Self {
        Self {
            address,
            timeout_ms: 2_000,
            answer_limit_bytes: 4 * 1024 * 1024,
        }
    }
}

/// `Options` are the tunables of all HTTP adapters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// What all adapters share.
    pub http: HttpOptions,
    /// The log service.
    pub log: LogOptions,
    /// The engines.
    pub engine: EngineOptions,
    /// The plain services.
    pub service: ServiceOptions,
    /// The weight store.
    pub weights: WeightsOptions,
    /// The list of VMs.
    pub vm_list: VmListOptions,
}

impl Options {
    /// Returns the default tunables for a platform at the given addresses.
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
