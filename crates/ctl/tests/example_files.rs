//! Validity and size of the example configuration files of both deployments.

use std::fs;
use std::path::Path;

use apricotdale_ctl::ConfigFile;
use rstest::rstest;

#[rstest]
#[case::hjulvaerk("hjulvaerk", 3, 100, 120, "booking-app")]
#[case::scaravilli("scaravilli", 3, 50, 55, "bancone")]
fn example_sizes(
    #[case] deployment: &str,
    #[case] classes: usize,
    #[case] models: usize,
    #[case] adapters: usize,
    #[case] service: &str,
) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(deployment);
    let mut file = ConfigFile::default();
    for name in ["classes.ini", "models.ini", "adapters.ini"] {
        let text = fs::read_to_string(folder.join(name)).expect("the example can be read");
        assert_eq!(file.add_text(&text), []);
    }
    let bases = file
        .models
        .values()
        .filter(|spec| spec.base.is_none())
        .count();
    assert_eq!(file.classes.len(), classes);
    assert_eq!((bases, file.models.len() - bases), (models, adapters));
    assert!(file.services.contains_key(&service.into()));
    for spec in file.models.values() {
        let base = spec.base.as_ref().map(|base| &file.models[base]);
        assert!(base.is_none_or(|base| base.base.is_none() && base.group == spec.group));
    }
}
