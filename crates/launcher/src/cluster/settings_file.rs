//! Settings file of a daemon.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use crate::cluster::options::Setting;

/// Loopback address whose port the operating system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// Values from which the settings file of a daemon is generated.
#[derive(Clone, Debug)]
pub struct DaemonSettings<'a> {
    /// Name of the VM.
    pub vm: &'a str,
    /// Region of the VM.
    pub region: &'a str,
    /// Availability zone of the VM.
    pub zone: &'a str,
    /// Class of requests that name none.
    pub default_class: &'a str,
    /// Address of the log.
    pub log: SocketAddr,
    /// Address of the weight store.
    pub weights: SocketAddr,
    /// Address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// Key that the daemons share, in hexadecimal digits.
    pub cluster_key: &'a str,
}

/// Returns the text of a settings file. `overrides` take precedence over the generated settings.
pub fn settings_text(daemon: &DaemonSettings<'_>, overrides: &[Setting]) -> String {
    let mut sections: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    for setting in generated_settings(daemon).iter().chain(overrides) {
        let section = sections.entry(setting.section.clone()).or_default();
        section.insert(setting.key.clone(), setting.value.clone());
    }
    let mut text = String::new();
    for (name, section) in sections {
        writeln!(text, "[{name}]").expect("a string takes every text");
        for (key, value) in section {
            writeln!(text, "{key} = {value}").expect("a string takes every text");
        }
        text.push('\n');
    }
    text
}

fn generated_settings(daemon: &DaemonSettings<'_>) -> Vec<Setting> {
    vec![
        Setting::new("vm", "name", daemon.vm),
        Setting::new("vm", "region", daemon.region),
        Setting::new("vm", "availability_zone", daemon.zone),
        Setting::new("listen", "callers", ANY_PORT),
        Setting::new("listen", "peers", ANY_PORT),
        Setting::new("listen", "admin", ANY_PORT),
        Setting::new("platform", "log", daemon.log),
        Setting::new("platform", "weights", daemon.weights),
        Setting::new("platform", "vm_list", daemon.vm_list),
        Setting::new("peers", "cluster_key", daemon.cluster_key),
        Setting::new("callers", "default_class", daemon.default_class),
    ]
}
