//! Validity of the example settings of both deployments.

use std::path::Path;

use apricotdale_settings::Settings;
use rstest::rstest;

#[rstest]
#[case("hjulvaerk", "dk-east", "hall-a")]
#[case("hjulvaerk", "dk-east", "hall-b")]
#[case("hjulvaerk", "dk-east", "hall-c")]
#[case("scaravilli", "catania", "magazzino-nord")]
#[case("scaravilli", "catania", "sala-taglio")]
#[case("scaravilli", "catania", "ufficio-vecchio")]
fn example_accepted(#[case] deployment: &str, #[case] region: &str, #[case] zone: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(deployment)
        .join(format!("entry-{zone}.ini"));
    let settings = Settings::from_file(&path).expect("the example is valid");
    assert_eq!(settings.vm.region.as_str(), region);
    assert_eq!(settings.vm.zone.as_str(), zone);
}
