//! What happens in a course, and when.

use apricotdale_core::names::InstanceName;
use apricotdale_core::names::SoftwareVersion;
use apricotdale_core::names::VmName;
use rand::RngExt;

use crate::callers::Caller;
use crate::vm::Vm;
use crate::world::BEGIN_MS;
use crate::world::Event;
use crate::world::World;

/// Time in which streams begin.
const STREAMS_MS: u64 = 16_000;

impl World {
    fn version(&mut self) -> SoftwareVersion {
        SoftwareVersion::from(format!("v{}", self.between(1, 3)))
    }

    /// Sets up the world and plans what happens in it.
    pub fn plan(&mut self) {
        self.engines.accepts_at_once = self.options.has_quick_restarts;
        let engines = self.between(4, 8);
        for index in 0..engines {
            let instance = InstanceName::from(format!("i-{index}"));
            let version = match index {
                0 | 1 => SoftwareVersion::from("v1"),
                2 | 3 => SoftwareVersion::from("v2"),
                _ => self.version(),
            };
            let version = match self.options.has_single_version {
                true => SoftwareVersion::from("v1"),
                false => version,
            };
            self.start_engine(&instance, &version);
        }
        let max_streams = match self.options.has_small_tables {
            true => 4,
            false => 40_000,
        };
        let vms = self.between(3, 8) as usize;
        for index in 0..vms {
            let name = VmName::from(format!("vm-{index}"));
            let mut vm = Vm::new(name, self.options.planted, max_streams);
            vm.is_old = self.options.is_mixed_release && self.random.random_bool(0.4);
            vm.versions.record_followed(BEGIN_MS - 60_000);
            vm.apply_list(BEGIN_MS, &self.engines.list, false);
            vm.sweep(BEGIN_MS);
            self.vms.push(vm);
            self.begin_work(index);
        }
        for index in 0..vms {
            self.vms[index].known = self.known_vms(index);
        }
        self.plan_engine_changes(engines);
        self.plan_vm_troubles(vms);
        self.plan_callers();
    }

    fn plan_callers(&mut self) {
        for index in 0..24 {
            let organisation = format!("o-{}", self.between(0, 1));
            let wanted = self.between(3, 20) as usize;
            let mut caller = Caller::new(organisation, self.services[0].clone(), wanted);
            if self.options.has_repeated_ids && index >= 12 {
                caller.repeated_id = Some(format!("repeated-{}", index / 2).as_str().into());
                // Two organisations use the same ID, or one uses it twice.
                caller.shares_id = index >= 18;
                caller.organisation = match caller.shares_id {
                    true => "o-0".to_owned(),
                    false => format!("o-{}", index % 2),
                };
            }
            self.callers.push(caller);
            let at_ms = BEGIN_MS + self.between(0, STREAMS_MS);
            self.at(at_ms, Event::Attempt(index));
        }
    }

    fn plan_engine_changes(&mut self, engines: u64) {
        if self.options.has_release {
            let at_ms = BEGIN_MS + self.between(2_000, 15_000);
            for vm in 0..self.vms.len() {
                if self.options.has_cut_release && self.chance(0.5) {
                    let from_ms = at_ms.saturating_sub(self.between(0, 6_000));
                    let until_ms = from_ms + self.between(6_000, 12_000);
                    self.at(from_ms, Event::CutVm(vm, until_ms));
                }
            }
            for index in 0..engines {
                let begin_ms = at_ms + self.between(0, 1_500);
                let next = InstanceName::from(format!("n-{index}"));
                let version = SoftwareVersion::from("v4");
                self.at(begin_ms, Event::StartEngine(next, version));
                let leave_ms = at_ms + self.between(500, 3_000);
                let instance = InstanceName::from(format!("i-{index}"));
                self.at(leave_ms, Event::LeaveEngine(instance));
            }
        }
        if !self.options.has_engine_changes {
            return;
        }
        for _ in 0..self.between(2, 10) {
            let at_ms = BEGIN_MS + self.between(0, 30_000);
            let instance = InstanceName::from(format!("i-{}", self.between(0, engines + 2)));
            let version = self.version();
            let event = match self.between(0, 9) {
                0..=2 => Event::StartEngine(instance, version),
                3 | 4 if self.options.has_changes_in_place => {
                    Event::ChangeEngine(instance, version)
                }
                5 | 6 => Event::LeaveEngine(instance),
                7 => Event::CrashEngine(instance),
                _ => {
                    let again_ms = at_ms + self.between(200, 4_000);
                    self.at(again_ms, Event::StartEngine(instance.clone(), version));
                    Event::CrashEngine(instance)
                }
            };
            self.at(at_ms, event);
        }
    }

    fn plan_vm_troubles(&mut self, vms: usize) {
        if self.options.has_vm_troubles {
            for _ in 0..self.between(1, 5) {
                let at_ms = BEGIN_MS + self.between(0, 30_000);
                let vm = self.random.random_range(0..vms);
                let until_ms = at_ms + self.between(300, 5_000);
                let event = match self.between(0, 4) {
                    0 => Event::KillVm(vm),
                    1 => Event::LeaveVm(vm),
                    2 => Event::PauseVm(vm, until_ms),
                    _ => {
                        self.at(until_ms, Event::RestartVm(vm));
                        Event::KillVm(vm)
                    }
                };
                self.at(at_ms, event);
            }
        }
        if self.options.has_bad_network {
            let vm = self.random.random_range(0..vms);
            let at_ms = BEGIN_MS + self.between(0, 30_000);
            let until_ms = at_ms + self.between(500, 8_000);
            self.at(at_ms, Event::CutVm(vm, until_ms));
        }
        if self.options.kills_all_vms {
            let at_ms = BEGIN_MS + self.between(3_000, 20_000);
            for vm in 0..vms {
                let again_ms = at_ms + self.between(300, 1_500);
                self.at(at_ms, Event::KillVm(vm));
                self.at(again_ms, Event::RestartVm(vm));
            }
        }
    }
}
