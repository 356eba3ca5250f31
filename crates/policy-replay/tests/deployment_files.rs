//! INI files of the deployments: sizes, and the error for a missing key.

mod support;

use std::io::Write;

use rstest::rstest;

use apricotdale_policy_replay::Error;
use apricotdale_policy_replay::deployment::Deployment;

use support::deployment;

#[rstest]
#[case("hjulvaerk", 18, 100, 120, 15)]
#[case("scaravilli", 9, 50, 55, 8)]
fn deployment_sizes(
    #[case] name: &str,
    #[case] engines: usize,
    #[case] models: usize,
    #[case] adapters: usize,
    #[case] loads_per_s: u32,
) {
    let deployment = deployment(name);
    assert_eq!(deployment.engines.count, engines);
    assert_eq!(deployment.service.instances, 3);
    assert_eq!(deployment.models.count, models);
    assert_eq!(deployment.models.adapters, adapters);
    assert_eq!(deployment.store.loads_per_s, loads_per_s);
    assert_eq!(deployment.store.full_speed_loads, 4);
    assert_eq!(deployment.zones.len(), 3);
    assert_eq!(deployment.classes.len(), 3);
}

#[test]
fn missing_key_named() {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    writeln!(file, "[deployment]\nzones = a").unwrap();
    let error = Deployment::read(file.path()).unwrap_err();
    let Error::Key { section, key, .. } = error else {
        panic!("{error}");
    };
    assert_eq!((section.as_str(), key.as_str()), ("deployment", "name"));
}
