//! Conversion of setup statements into the launcher's options.

use crate::ast::EngineGroup;
use crate::ast::Setup;
use crate::ast::StandinKind;
use apricotdale_launcher::cluster::options::ClusterOptions;
use apricotdale_launcher::cluster::options::Flag;
use apricotdale_launcher::cluster::options::Setting;
use apricotdale_launcher::cluster::options::UpstreamGroup;
use apricotdale_launcher::programs::Program;

/// Applies a setup statement to the options of the cluster.
pub(super) fn add_setup(options: &mut ClusterOptions, setup: &Setup) {
    match setup {
        Setup::Vms(count) => options.vms = *count,
        Setup::Zones(zones) => options.zones.clone_from(zones),
        Setup::Engines(group) => options.engine_groups.push(engine_group(group)),
        Setup::Service(service, count) => options.services.push(UpstreamGroup {
            group: service.clone(),
            count: *count,
            flags: Vec::new(),
        }),
        Setup::Setting(section, key, value) => {
            let setting = Setting::new(section.as_str(), key.as_str(), value);
            options.settings.push(setting);
        }
        Setup::Standin(kind, flag, value) => {
            let flags = options.flags.entry(program(*kind)).or_default();
            flags.push(Flag::new(flag.as_str(), value));
        }
    }
}

fn engine_group(group: &EngineGroup) -> UpstreamGroup {
    let mut flags = vec![Flag::new("checks-fence", group.checks_fence)];
    flags.extend(
        group
            .memory_bytes
            .map(|bytes| Flag::new("capacity-bytes", bytes)),
    );
    flags.extend(group.slots.map(|slots| Flag::new("slots", slots)));
    UpstreamGroup {
        group: group.group.clone(),
        count: group.count,
        flags,
    }
}

fn program(kind: StandinKind) -> Program {
    match kind {
        StandinKind::Log => Program::Log,
        StandinKind::Weights => Program::Weights,
        StandinKind::VmList => Program::VmList,
        StandinKind::Engine => Program::Engine,
        StandinKind::Service => Program::Service,
    }
}
