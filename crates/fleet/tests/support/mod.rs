//! A directory and entries of upstreams for tests.

#![allow(dead_code)]

use apricotdale_core::names::GroupName;
use apricotdale_core::names::InstanceName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::ZoneName;
use apricotdale_fleet::Directory;
use apricotdale_fleet::DirectoryOptions;
use apricotdale_fleet::Residence;
use apricotdale_fleet::Upstream;
use apricotdale_fleet::UpstreamPhase;

/// Duration of an outage in which entries lapse, and the time until they are written again.
pub const LAPSE_MS: u64 = 2_000;
pub const RESTORE_MS: u64 = 2_000;

pub fn directory() -> Directory {
    Directory::new(DirectoryOptions {
        lapse_ms: LAPSE_MS,
        restore_ms: RESTORE_MS,
    })
}

pub fn entry(name: &str, revision: u64) -> Upstream {
    Upstream {
        name: UpstreamName::from(name),
        instance: InstanceName::from(name),
        born_ms: 0,
        service: GroupName::from("s"),
        address: "127.0.0.1:1".parse().expect("an address"),
        zone: ZoneName::from("a"),
        version: None,
        slots: 4,
        phase: UpstreamPhase::Serving,
        warm_up_ms: 0,
        leaves_in_ms: None,
        revision,
        residence: Residence::default(),
    }
}

pub fn leaving(name: &str, revision: u64) -> Upstream {
    Upstream {
        phase: UpstreamPhase::Leaving,
        ..entry(name, revision)
    }
}

pub fn serving(directory: &Directory) -> usize {
    directory.serving(&GroupName::from("s")).count()
}
