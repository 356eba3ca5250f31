//! Set of adapters that a daemon runs with.

use std::fmt;
use std::sync::Arc;

use crate::clock::SystemClock;
use crate::engine::HttpEngine;
use crate::log::HttpLog;
use crate::options::Options;
use crate::service::HttpService;
use crate::vm_list::HttpVmList;
use crate::weights::HttpWeights;
use apricotdale_core::engine::EngineOrders;
use apricotdale_core::engine::EngineReports;
use apricotdale_core::engine::EngineServing;
use apricotdale_core::log::LogClient;
use apricotdale_core::service::PlainService;
use apricotdale_core::serving::Clock;
use apricotdale_core::vm_list::VmList;
use apricotdale_core::weights::WeightStore;

/// One adapter for each external interface, as trait objects. To use another protocol, replace one
/// of them.
#[derive(Clone)]
pub struct Adapters {
    /// Client of the platform's log.
    pub log: Arc<dyn LogClient>,
    /// Sends orders to engines.
    pub orders: Arc<dyn EngineOrders>,
    /// Reads reports from engines.
    pub reports: Arc<dyn EngineReports>,
    /// Sends requests to engines.
    pub serving: Arc<dyn EngineServing>,
    /// Calls plain services.
    pub service: Arc<dyn PlainService>,
    /// Queries the weight store.
    pub weights: Arc<dyn WeightStore>,
    /// Reads the platform's VM list.
    pub vm_list: Arc<dyn VmList>,
    /// Clock of the machine.
    pub clock: Arc<dyn Clock>,
}

impl fmt::Debug for Adapters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Adapters")
    }
}

/// Returns HTTP adapters for all external interfaces, and the machine's clock.
pub fn http_adapters(options: &Options) -> Adapters {
    let engine = Arc::new(HttpEngine::new(&options.http, &options.engine));
    Adapters {
        log: Arc::new(HttpLog::new(&options.http, &options.log)),
        orders: engine.clone(),
        reports: engine.clone(),
        serving: engine,
        service: Arc::new(HttpService::new(&options.http, &options.service)),
        weights: Arc::new(HttpWeights::new(&options.http, &options.weights)),
        vm_list: Arc::new(HttpVmList::new(&options.http, &options.vm_list)),
        clock: Arc::new(SystemClock::new()),
    }
}
