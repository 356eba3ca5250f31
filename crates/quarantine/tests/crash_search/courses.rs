//! Random courses of events.

use std::ops::Range;

use proptest::prelude::*;

use crate::fleet::CALLER_TIMEOUT_MS;
use crate::fleet::Fleet;
use crate::fleet::MAX_RETRIES;
use crate::fleet::MODELS;
use crate::policies::Policy;

/// Number of requests that crash engines. Each needs one model, which other ones may share.
pub const CRASHERS: u8 = 4;

/// Event of a course, at one time.
#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// Copies of a crashing request arrive at VMs, beside some other requests for the same model.
    Crashers {
        which: u8,
        vm: usize,
        copies: u8,
        bystanders: u8,
    },
    /// Copies of a harmless request arrive that many callers send alike.
    Popular { model: usize, vm: usize, copies: u8 },
    /// A request of its own arrives with a part that crashes engines.
    BadPart { which: u8, vm: usize, model: usize },
    /// Copies of a crashing request arrive that has a part of all harmless requests.
    SharedPartCrashers { which: u8, vm: usize, copies: u8 },
    /// Requests of their own arrive with harmless parts, of which crashing requests have some, too.
    SoundParts {
        kind: u8,
        vm: usize,
        model: usize,
        copies: u8,
    },
    /// An engine ends by itself, with harmless requests in progress.
    Loss { vm: usize, requests: u8 },
    /// The last VM's process is restarted.
    Restart,
    /// A VM's process is paused.
    Pause { vm: usize, for_ms: u64 },
}

/// Course of events over some VMs.
#[derive(Clone, Debug)]
pub struct Course {
    pub vms: usize,
    pub seed: u64,
    lost_in_256: u64,
    /// Number of engines of each model.
    pub engines: Vec<usize>,
    pub load_ms: u64,
    pub retries: u32,
    /// Pauses, the events after them, and the VMs at which they happen.
    pub events: Vec<(u64, Event, usize)>,
}

impl Course {
    pub fn simulate(&self, policy: Policy) -> Fleet {
        let mut fleet = Fleet::new(policy, self.vms, self.seed, self.lost_in_256, &self.engines);
        fleet.load_ms = self.load_ms;
        fleet.retries = self.retries;
        for (pause_ms, event, vm_index) in &self.events {
            fleet.run_until(fleet.now_ms + pause_ms);
            fleet.apply(event.at(vm_index % self.vms));
        }
        fleet.run_until(fleet.now_ms + CALLER_TIMEOUT_MS);
        fleet
    }
}

pub fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..CRASHERS, prop_oneof![3 => 1..4_u8, 1 => 4..30_u8], 0..6_u8).prop_map(
            |(which, copies, bystanders)| Event::Crashers { which, vm: 0, copies, bystanders }
        ),
        3 => (0..MODELS, 1..12_u8)
            .prop_map(|(model, copies)| Event::Popular { model, vm: 0, copies }),
        2 => (1..20_u8).prop_map(|requests| Event::Loss { vm: 0, requests }),
        1 => Just(Event::Restart),
        1 => (50..4_000_u64).prop_map(|for_ms| Event::Pause { vm: 0, for_ms }),
    ]
}

impl Event {
    /// Returns the same event at a VM.
    pub fn at(self, vm_index: usize) -> Self {
        match self {
            Self::Crashers {
                which,
                copies,
                bystanders,
                ..
            } => Self::Crashers {
                which,
                vm: vm_index,
                copies,
                bystanders,
            },
            Self::Popular { model, copies, .. } => Self::Popular {
                model,
                vm: vm_index,
                copies,
            },
            Self::BadPart { which, model, .. } => Self::BadPart {
                which,
                vm: vm_index,
                model,
            },
            Self::SharedPartCrashers { which, copies, .. } => Self::SharedPartCrashers {
                which,
                vm: vm_index,
                copies,
            },
            Self::SoundParts {
                kind,
                model,
                copies,
                ..
            } => Self::SoundParts {
                kind,
                vm: vm_index,
                model,
                copies,
            },
            Self::Loss { requests, .. } => Self::Loss {
                vm: vm_index,
                requests,
            },
            Self::Restart => Self::Restart,
            Self::Pause { for_ms, .. } => Self::Pause {
                vm: vm_index,
                for_ms,
            },
        }
    }
}

pub fn course(
    event: impl Strategy<Value = Event>,
    engines: impl Strategy<Value = usize>,
    retries: u32,
    lengths: Range<usize>,
) -> impl Strategy<Value = Course> {
    let events = prop::collection::vec((1..700_u64, event, 0..24_usize), lengths);
    let engines = prop::collection::vec(engines, MODELS);
    let fleet = (1..24_usize, any::<u64>(), 0..40_u64, 0..5_000_u64);
    (fleet, engines, events).prop_map(move |(fleet, engines, events)| {
        let (vms, seed, lost_in_256, load_ms) = fleet;
        Course {
            vms,
            seed,
            lost_in_256,
            engines,
            load_ms,
            retries,
            events,
        }
    })
}

/// Returns courses with many copies, models with few engines, and callers that retry.
pub fn dense_course() -> impl Strategy<Value = Course> {
    course(
        event(),
        prop_oneof![Just(1), 2..12_usize],
        MAX_RETRIES,
        20..60,
    )
}

/// Returns courses with single copies, whose requests meet others only by chance.
pub fn sparse_course() -> impl Strategy<Value = Course> {
    let event = event().prop_map(|event| match event {
        Event::Crashers {
            which,
            vm,
            bystanders,
            ..
        } => Event::Crashers {
            which,
            vm,
            copies: 1,
            bystanders,
        },
        Event::Popular { .. } => Event::Restart,
        other => other,
    });
    course(event, 6..12_usize, 0, 20..60)
}
