//! Small fleet for tests of the dispatcher.

#![allow(dead_code)]

pub mod rejecting_fleet;
pub mod silence_world;

use std::collections::HashMap;
use std::sync::Arc;

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;
use apricotdale_dispatch::Dispatcher;
use apricotdale_dispatch::DispatcherOptions;
use apricotdale_dispatch::Job;
use apricotdale_fleet::Configuration;
use apricotdale_fleet::Directory;
use apricotdale_fleet::DirectoryOptions;
use apricotdale_fleet::EngineSpec;
use apricotdale_fleet::ModelSpec;
use apricotdale_fleet::Residence;
use apricotdale_fleet::RouteKind;
use apricotdale_fleet::Service;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::UpstreamPhase;
use apricotdale_fleet::WantedModel;

pub const SLOTS: u32 = 4;

/// Returns a directory of engines `(name, zone, models)` and of two instances of a plain service.
pub fn directory(engines: &[(&str, &str, &[&str])]) -> Directory {
    let mut directory = Directory::new(DirectoryOptions::default());
    let model = ModelSpec {
        size_mb: 1.0,
        store_load_ms: 6_000,
        disk_load_ms: 800,
        memory_load_ms: 600,
        adapters: 2,
        adapter_mb: 1.0,
    };
    let spec = EngineSpec {
        slots: SLOTS,
        kv_tokens: 1_000,
        memory_mb: 3.0,
        adapter_slots: 2,
        store_loads_per_s: 1.0,
        models: ["m0", "m1", "m2"]
            .map(|name| (ModelName::from(name), model.clone()))
            .into(),
    };
    let service = |name: &str, engine| {
        let name = GroupName::from(name);
        (
            name.clone(),
            Arc::new(Service {
                name,
                max_connections: 100,
                health_path: None,
                engine,
            }),
        )
    };
    directory
        .configure(Configuration {
            version: 1,
            services: HashMap::from([service("llm", Some(spec)), service("plain", None)]),
            ..Configuration::default()
        })
        .expect("a first configuration");
    for (name, zone, models) in engines {
        directory.record_entry(entry(name, "llm", zone, models));
    }
    for name in ["p0", "p1"] {
        directory.record_entry(entry(name, "plain", "a", &[]));
    }
    directory
}

pub fn entry(name: &str, service: &str, zone: &str, models: &[&str]) -> Upstream {
    let mut residence = Residence::default();
    for model in models {
        residence.record_loaded(&ModelName::from(*model));
    }
    Upstream {
        name: UpstreamName::from(name),
        instance: InstanceName::from(name),
        born_ms: 0,
        service: GroupName::from(service),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZoneName::from(zone),
        version: None,
        slots: SLOTS,
        phase: UpstreamPhase::Serving,
        warm_up_ms: 0,
        leaves_in_ms: None,
        revision: 1,
        residence,
    }
}

pub fn dispatcher() -> Dispatcher {
    Dispatcher::new(DispatcherOptions::new(7, ZoneName::from("a")))
}

pub fn stream(model: &str, resumable: bool) -> Job {
    Job {
        service: GroupName::from("llm"),
        origin: None,
        wanted: Some(WantedModel {
            model: ModelName::from(model),
            adapter: None,
        }),
        kind: RouteKind::Stream { resumable },
        rank: 0,
        arrived_ms: 1_000,
        target_ms: 1_400,
        deadline_ms: 6_000,
        attempts: 2,
        prefix_hash: None,
        expected_run_ms: 500,
        tried: Vec::new(),
        unusable: Vec::new(),
        runs: 0,
        awaits_retry_budget: false,
    }
}

pub fn call(kind: RouteKind) -> Job {
    Job {
        service: GroupName::from("plain"),
        origin: None,
        wanted: None,
        kind,
        ..stream("m0", false)
    }
}
