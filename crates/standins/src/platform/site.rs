//! A small deployment: a store, engines and plain services on loopback.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use serde_json::Value;
use serde_json::json;

use crate::http::Server;
use crate::platform::engine::EngineOptions;
use crate::platform::engine::PlatformEngine;
use crate::platform::service::PlatformService;
use crate::platform::store::PlatformStore;

/// `SiteOptions` is what a site is made of.
#[derive(Clone, Debug)]
pub struct SiteOptions {
    /// The engines.
    pub engines: Vec<EngineOptions>,
    /// Instances of the plain service.
    pub instances: usize,
    /// The engines' models.
    pub models: Vec<String>,
    /// Doors to the store.
    pub doors: usize,
    /// How long the longest request may take.
    pub timeout_ms: u64,
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
            models: (0..4).map(|index| format!("m{index}")).collect(),
            doors: 1,
            timeout_ms: 3_000,
        }
    }
}

/// `Site` runs in the process that starts it and ends with [`Site::stop`].
pub struct Site {
    /// The store's doors.
    pub doors: Vec<PlatformStore>,
    /// Their addresses.
    pub door_addresses: Vec<SocketAddr>,
    /// The engines.
    pub engines: Vec<Arc<PlatformEngine>>,
    /// The plain service's instances.
    pub services: Vec<Arc<PlatformService>>,
    options: SiteOptions,
    servers: Vec<Server>,
}

impl Site {
    /// Starts a site and writes its first configuration.
    ///
    /// # Errors
    ///
    /// Any of listening on loopback.
    pub fn start(options: SiteOptions) -> io::Result<Self> {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStore::default();
        let mut site = Self {
            doors: Vec::new(),
            door_addresses: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            options: options.clone(),
            servers: Vec::new(),
        };
        for _ in 0..options.doors.max(1) {
            let door = store.door();
            let server = Server::start(loopback, Arc::new(door.clone()))?;
            site.door_addresses.push(server.address());
            site.doors.push(door);
            site.servers.push(server);
        }
        for engine in &options.engines {
            let engine = Arc::new(PlatformEngine::new(engine.clone(), store.clone()));
            let server = Server::start(loopback, engine.clone())?;
            engine.announce(Some(server.address()));
            site.engines.push(engine);
            site.servers.push(server);
        }
        for index in 0..options.instances {
            let name = format!("p-{index}");
            let service = Arc::new(PlatformService::new(&name, "plain", store.clone()));
            let server = Server::start(loopback, service.clone())?;
            service.announce(server.address());
            site.services.push(service);
            site.servers.push(server);
        }
        site.configure(1, &site.routes());
        Ok(site)
    }

    /// Returns the routes of the first configuration: quick and patient streams, of which the
    /// first may be resumed, and calls that may and may not be repeated.
    pub fn routes(&self) -> Vec<Value> {
        let route = |name: &str, prefix: &str, kind: &str, service: &str, attempts: u32| {
            json!({
                "name": name, "host": "site.example", "path_prefix": prefix, "kind": kind,
                "timeout_ms": self.options.timeout_ms, "target_latency_ms": 300, "priority": 0,
                "service": service, "attempts": attempts, "sticky_sessions": true,
                "resumable": prefix == "/quick/", "gap_target_ms": 400,
            })
        };
        vec![
            route("quick", "/quick/", "streaming", "llm", 2),
            route("patient", "/patient/", "streaming", "llm", 1),
            route("book", "/book/", "unsafe", "plain", 1),
            route("look", "/look/", "safe", "plain", 2),
        ]
    }

    /// Writes a configuration.
    pub fn configure(&self, version: u64, routes: &[Value]) {
        let models: Vec<Value> = self
            .options
            .models
            .iter()
            .map(|name| {
                json!({
                    "name": name, "weights_mb": 60_000.0, "load_s": 0.4, "warm_s": 0.06,
                    "disk_s": 0.06, "adapters": 4, "adapter_mb": 60.0,
                })
            })
            .collect();
        let configuration = json!({
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
        self.doors[0].put("keyed.op", "config", configuration.to_string().as_bytes());
    }

    /// Ends all servers of the site.
    pub fn stop(self) {
        for server in self.servers {
            server.stop();
        }
    }
}
