//! The settings file of one daemon.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

use crate::cluster::options::Setting;

/// An address of which the operating system chooses the port.
const ANY_PORT: &str = "127.0.0.1:0";

/// `DaemonFacts` is what the settings of one daemon are made from.
#[derive(Clone, Debug)]
pub struct DaemonFacts<'a> {
    /// The VM.
    pub vm: &'a str,
    /// Its region.
    pub region: &'a str,
    /// Its availability zone.
    pub zone: &'a str,
    /// The class of requests that name none.
    pub default_class: &'a str,
    /// The log service.
    pub log: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
    /// The list of VMs.
    pub vm_list: SocketAddr,
    /// The key that the daemons share, in hexadecimal digits.
    pub cluster_key: &'a str,
}

/// Returns the text of a settings file. The given settings go before the ones made here.
pub fn settings_text(facts: &DaemonFacts<'_>, overrides: &[Setting]) -> String {
    let mut sections: BTreeMap<String, BTreeMap<String, String>> = BTreeMap::new();
    for setting in own_settings(facts).iter().chain(overrides) {
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

fn own_settings(facts: &DaemonFacts<'_>) -> Vec<Setting> {
    vec![
        Setting::new("vm", "name", facts.vm),
        Setting::new("vm", "region", facts.region),
        Setting::new("vm", "availability_zone", facts.zone),
        Setting::new("listen", "callers", ANY_PORT),
        Setting::new("listen", "peers", ANY_PORT),
        Setting::new("listen", "admin", ANY_PORT),
        Setting::new("platform", "log", facts.log),
        Setting::new("platform", "weights", facts.weights),
        Setting::new("platform", "vm_list", facts.vm_list),
        Setting::new("peers", "cluster_key", facts.cluster_key),
        Setting::new("callers", "default_class", facts.default_class),
    ]
}
