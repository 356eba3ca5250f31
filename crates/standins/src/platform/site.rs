//! Small deployment of the platform on loopback: a store, engines and plain services.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use parking_lot::Mutex;
use serde_json::Value;
use serde_json::json;

use crate::http::Server;
use crate::platform::adjustments::SPARE_SERVICE;
use crate::platform::adjustments::SiteAdjustments;
use crate::platform::answer_faults::AnswerFault;
use crate::platform::engine::EngineOptions;
use crate::platform::engine::PlatformEngine;
use crate::platform::organisations::SiteOrganisation;
use crate::platform::service::PlatformService;
use crate::platform::shared_faults::SharedFaults;
use crate::platform::store::PlatformStore;

/// Prefix of the streams that may be resumed.
pub(crate) const RESUMABLE_PREFIX: &str = "/quick/";

/// Prefix of the streams that run once.
const ONCE_PREFIX: &str = "/patient/";

/// Prefix of the streams of rarely used models, which a site with ranks has.
pub(crate) const RARE_PREFIX: &str = "/rare/";

const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Options with which a site is started.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// Engines of the site, each started with these options.
    pub engines: Vec<EngineOptions>,
    /// Number of instances of the plain service.
    pub instances: usize,
    /// Number of instances of a second plain service, to which no route leads at the start.
    pub spare_instances: usize,
    /// Time that the plain service works on a request, in milliseconds.
    pub work_ms: u64,
    /// Names of the models that the engines may load.
    pub models: Vec<String>,
    /// Duration of a load from an engine's disk that the configuration states, in milliseconds.
    pub disk_load_ms: u64,
    /// Duration of a load from the memory of an engine's host that the configuration states, in
    /// milliseconds.
    pub memory_load_ms: u64,
    /// Whether streams that run once have rank 1, and a further route for streams of rarely used
    /// models has rank 2. Otherwise all routes have rank 0.
    pub has_ranks: bool,
    /// Number of endpoints of the store, at least one; each has its own address and fault.
    pub store_endpoints: usize,
    /// Marker in the bodies of requests that make an instance of the plain service crash; absent if
    /// none does.
    pub service_crash: Option<Vec<u8>>,
    /// Marker in the bodies of requests from which on an instance of the plain service states a rate
    /// limit, and the limit; absent if none does.
    pub service_limit: Option<(Vec<u8>, String)>,
    /// Timeout of every route, in milliseconds.
    pub timeout_ms: u64,
    /// Organisations in the form of the configuration; absent if requests carry no API keys.
    pub tenants: Option<Value>,
    /// Whether upstreams write entries with the addresses that they listen on. Otherwise whoever
    /// starts the site announces other addresses, such as those of proxies in front of them.
    pub announces: bool,
}

impl Default for SiteOptions {
    fn default() -> Self {
        let engine = |index: usize, models: &[&str]| EngineOptions {
            instance: format!("i-{index}"),
            models: models.iter().map(ToString::to_string).collect(),
            ..EngineOptions::default()
        };
        Self {
            engines: vec![engine(0, &["m0"]), engine(1, &["m0", "m1"])],
            instances: 2,
            spare_instances: 0,
            work_ms: 0,
            models: (0..4).map(|index| format!("m{index}")).collect(),
            disk_load_ms: 60,
            memory_load_ms: 60,
            has_ranks: false,
            store_endpoints: 1,
            service_crash: None,
            service_limit: None,
            timeout_ms: 3_000,
            tenants: None,
            announces: true,
        }
    }
}

/// Deployment that runs in the process that starts it, until [`Site::stop`].
pub struct Site {
    /// Endpoints of the store.
    pub store_endpoints: Vec<PlatformStore>,
    /// Addresses of the store's endpoints, in the same order.
    pub store_addresses: Vec<SocketAddr>,
    /// Engines, including those that were stopped.
    pub engines: Vec<Arc<PlatformEngine>>,
    /// Addresses that the engines listen on, in the same order.
    pub engine_addresses: Vec<SocketAddr>,
    /// Instances of the plain service.
    pub services: Vec<Arc<PlatformService>>,
    /// Addresses that the instances listen on, in the same order.
    pub service_addresses: Vec<SocketAddr>,
    store: PlatformStore,
    shared_faults: Arc<Mutex<SharedFaults>>,
    /// Configuration that was written last.
    configuration: Mutex<Vec<u8>>,
    adjustments: Mutex<SiteAdjustments>,
    options: SiteOptions,
    /// Statuses of the answers that upstreams send once more, late.
    repeated_statuses: Vec<u16>,
    servers: Vec<Server>,
    /// Servers of the engines; none for an engine that was stopped.
    engine_servers: Vec<Option<Server>>,
}

impl Site {
    /// Starts a site and writes its first configuration.
    ///
    /// # Errors
    ///
    /// Errors of listening on loopback.
    pub fn start(options: SiteOptions) -> io::Result<Self> {
        let mut site = Self {
            store_endpoints: Vec::new(),
            store_addresses: Vec::new(),
            engines: Vec::new(),
            engine_addresses: Vec::new(),
            services: Vec::new(),
            service_addresses: Vec::new(),
            store: PlatformStore::default(),
            shared_faults: Arc::default(),
            configuration: Mutex::default(),
            adjustments: Mutex::default(),
            options: options.clone(),
            repeated_statuses: Vec::new(),
            servers: Vec::new(),
            engine_servers: Vec::new(),
        };
        for _ in 0..options.store_endpoints.max(1) {
            let endpoint = site.store.endpoint();
            let server = Server::start(LOOPBACK, Arc::new(endpoint.clone()))?;
            site.store_addresses.push(server.address());
            site.store_endpoints.push(endpoint);
            site.servers.push(server);
        }
        for engine in &options.engines {
            let index = site.start_engine(engine.clone())?;
            if options.announces {
                site.engines[index].announce(Some(site.engine_addresses[index]));
            }
        }
        for index in 0..options.instances + options.spare_instances {
            let name = format!("p-{index}");
            let service = match index < options.instances {
                true => "plain",
                false => SPARE_SERVICE,
            };
            let store = site.store.clone();
            let service = PlatformService::new(&name, service, options.work_ms, store);
            let service = Arc::new(service);
            let server = Server::start(LOOPBACK, service.clone())?;
            if options.announces {
                service.announce(server.address());
            }
            if let Some(marker) = &options.service_crash {
                service.crash_on(marker, server.stopper());
            }
            if let Some((marker, rate_limit)) = &options.service_limit {
                service.state_limit_on(marker, rate_limit);
            }
            site.service_addresses.push(server.address());
            site.services.push(service);
            site.servers.push(server);
        }
        site.configure(1, &site.routes());
        Ok(site)
    }

    /// Starts another engine, which has no entry yet, and returns its index.
    ///
    /// # Errors
    ///
    /// Errors of listening on loopback.
    pub fn start_engine(&mut self, options: EngineOptions) -> io::Result<usize> {
        let (store, faults) = (self.store.clone(), self.shared_faults.clone());
        let engine = Arc::new(PlatformEngine::new(options, store, faults));
        let server = Server::start(LOOPBACK, engine.clone())?;
        engine.set_stopper(server.stopper());
        engine.repeat_answers(&self.repeated_statuses);
        self.engine_addresses.push(server.address());
        self.engine_servers.push(Some(server));
        self.engines.push(engine);
        Ok(self.engines.len() - 1)
    }

    /// Makes all upstreams, also those that start later, send their answers with these statuses once
    /// more, late: before the next answer on their connection.
    pub fn repeat_answers(&mut self, statuses: &[u16]) {
        self.repeated_statuses = statuses.to_vec();
        self.engines
            .iter()
            .for_each(|it| it.repeat_answers(statuses));
        self.services
            .iter()
            .for_each(|it| it.repeat_answers(statuses));
    }

    /// Returns the number of open connections at an instance of the plain service.
    pub fn service_connections(&self, index: usize) -> usize {
        // The servers of the store's endpoints come first.
        self.servers[self.store_endpoints.len() + index].open_connections()
    }

    /// Adds a fault that spoils the next continuation of a stream, at whichever engine has no
    /// faults of its own left. Until then, it breaks off each stream that may be resumed.
    pub fn push_shared_fault(&self, fault: AnswerFault) {
        self.shared_faults.lock().push(fault);
    }

    /// Removes the shared faults that have not spoiled a continuation yet.
    pub fn clear_shared_faults(&self) {
        self.shared_faults.lock().clear();
    }

    /// Ends an engine's process: every connection breaks, and its entry stays as it is.
    pub fn stop_engine(&mut self, index: usize) {
        if let Some(server) = self.engine_servers.get_mut(index).and_then(Option::take) {
            server.stop();
        }
    }

    /// Returns the routes of the first configuration: streams that may be resumed and that may not,
    /// and calls that may not be retried and that may.
    pub fn routes(&self) -> Vec<Value> {
        let mut routes = vec![
            self.route("quick", RESUMABLE_PREFIX, "streaming", "llm", 2),
            self.route("patient", ONCE_PREFIX, "streaming", "llm", 1),
            self.route("book", "/book/", "unsafe", "plain", 1),
            self.route("look", "/look/", "safe", "plain", 2),
        ];
        if self.options.has_ranks {
            routes.push(self.route("rare", RARE_PREFIX, "streaming", "llm", 1));
        }
        routes
    }

    /// Returns the rank that requests with a target have at a site with ranks; 0 is the most urgent.
    pub fn rank(target: &str) -> u32 {
        match target {
            target if target.starts_with(RARE_PREFIX) => 2,
            target if target.starts_with(ONCE_PREFIX) => 1,
            _ => 0,
        }
    }

    fn route(&self, name: &str, prefix: &str, kind: &str, service: &str, attempts: u32) -> Value {
        let rank = match self.options.has_ranks {
            true => Self::rank(prefix),
            false => 0,
        };
        json!({
            "name": name, "host": "site.example", "path_prefix": prefix, "kind": kind,
            "timeout_ms": self.options.timeout_ms, "target_latency_ms": 300, "priority": rank,
            "service": service, "attempts": attempts, "sticky_sessions": true,
            "resumable": prefix == RESUMABLE_PREFIX, "gap_target_ms": 400,
        })
    }

    /// Writes a configuration with one route more than the first, named after the version.
    pub fn configure_with_extra(&self, version: u64) {
        self.configure(version, &self.routes_with_extra(version));
    }

    /// Writes a configuration with organisations, the first routes and one numbered route.
    pub fn configure_organisations(
        &self,
        version: u64,
        route: u64,
        organisations: &[SiteOrganisation],
    ) {
        let routes = self.routes_with_extra(route);
        self.configure_with(
            version,
            &routes,
            Some(&SiteOrganisation::list(organisations)),
        );
    }

    /// Writes a configuration of at least `bytes` bytes, with a numbered route among many others.
    pub fn configure_large(&self, version: u64, bytes: usize) {
        let mut routes = self.routes_with_extra(version);
        let route_bytes = routes.last().map_or(1, |route| route.to_string().len());
        for index in 0..bytes / route_bytes {
            routes.push(self.route("filler", &format!("/filler-{index}/"), "safe", "plain", 2));
        }
        self.configure(version, &routes);
    }

    fn routes_with_extra(&self, number: u64) -> Vec<Value> {
        let mut routes = self.routes();
        routes.push(self.route("extra", &Self::extra_prefix(number), "safe", "plain", 2));
        routes
    }

    /// Returns the path prefix of a numbered route.
    pub fn extra_prefix(number: u64) -> String {
        format!("/extra-{number}/")
    }

    /// Deletes the history of the topics that operators, upstreams and VMs write. The newest record
    /// of each key stays.
    pub fn trim_history(&self) {
        for topic in [
            "keyed.op",
            "keyed.servers",
            "keyed.entry-vms",
            "order-lease",
        ] {
            self.store.trim_topic(topic);
        }
    }

    /// Writes a configuration with the options' organisations.
    pub fn configure(&self, version: u64, routes: &[Value]) {
        self.configure_with(version, routes, self.options.tenants.as_ref());
    }

    /// Writes a configuration with the given organisations.
    pub fn configure_with(&self, version: u64, routes: &[Value], tenants: Option<&Value>) {
        let seconds = |load_ms: u64| load_ms as f64 / 1_000.0;
        let warm_s = seconds(self.options.memory_load_ms);
        let disk_s = seconds(self.options.disk_load_ms);
        let models: Vec<Value> = self
            .options
            .models
            .iter()
            .map(|name| {
                json!({
                    "name": name, "weights_mb": 60_000.0, "load_s": 0.4, "warm_s": warm_s,
                    "disk_s": disk_s, "adapters": 4, "adapter_mb": 60.0,
                })
            })
            .collect();
        let mut configuration = json!({
            "version": version,
            "routes": routes,
            "services": [
                {"name": "llm", "health_path": "/health", "max_connections": 200, "engine": {
                    "slots": 8, "kv_tokens": 100_000, "models": models, "weights_mb": 200_000.0,
                    "adapter_slots": 4, "loads_per_s": 15.0,
                }},
                {"name": "plain", "health_path": "/health", "max_connections": 100},
            ],
            "limits": {
                "max_header_bytes": 16_384, "max_body_bytes": 100_000,
                "header_timeout_ms": 3_000, "idle_timeout_ms": 15_000,
            },
        });
        if self.options.spare_instances > 0
            && let Some(services) = configuration["services"].as_array_mut()
        {
            services.push(json!({
                "name": SPARE_SERVICE, "health_path": "/health", "max_connections": 100,
            }));
        }
        self.adjustments.lock().apply(&mut configuration);
        if let Some(tenants) = tenants {
            configuration["tenants"] = tenants.clone();
        }
        let bytes = configuration.to_string().into_bytes();
        self.store.put("keyed.op", "config", &bytes);
        *self.configuration.lock() = bytes;
    }

    /// Writes the last configuration again, without a service and the routes to it.
    pub fn configure_without(&self, version: u64, service: &str) {
        self.reconfigure(version, |configuration| {
            for (list, key) in [("routes", "service"), ("services", "name")] {
                if let Some(list) = configuration[list].as_array_mut() {
                    list.retain(|it| it[key] != service);
                }
            }
        });
    }

    /// Sets in what the configurations that are written from now on differ from those of the
    /// options.
    pub fn adjust(&self, adjustments: SiteAdjustments) {
        *self.adjustments.lock() = adjustments;
    }

    /// Writes the last configuration again, with a change.
    pub fn reconfigure(&self, version: u64, change: impl FnOnce(&mut Value)) {
        let bytes = self.configuration.lock().clone();
        let mut configuration: Value =
            serde_json::from_slice(&bytes).expect("the site's own configuration is JSON");
        configuration["version"] = json!(version);
        change(&mut configuration);
        let bytes = configuration.to_string().into_bytes();
        self.store.put("keyed.op", "config", &bytes);
        *self.configuration.lock() = bytes;
    }

    /// Writes the configuration and the entries of all upstreams again, after a rollback of the
    /// store.
    pub fn rewrite_entries(&self) {
        self.store
            .put("keyed.op", "config", &self.configuration.lock());
        self.engines
            .iter()
            .for_each(|engine| engine.rewrite_entry());
        self.services
            .iter()
            .for_each(|service| service.rewrite_entry());
    }

    /// Stops all servers of the site.
    pub fn stop(self) {
        for server in self.servers {
            server.stop();
        }
        for server in self.engine_servers.into_iter().flatten() {
            server.stop();
        }
    }
}
