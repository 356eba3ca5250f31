//! Lookup of organisations by their keys, and validation of names, keys and limits.

use std::sync::Arc;

use apricotdale_organisations::Error;
use apricotdale_organisations::KeyFault;
use apricotdale_organisations::Limit;
use apricotdale_organisations::Organisation;
use apricotdale_organisations::Organisations;
use apricotdale_organisations::PresentedKey;
use apricotdale_organisations::SecretKey;
use apricotdale_organisations::Unit;
use proptest::prelude::*;
use rstest::rstest;

fn organisation(name: &str) -> Organisation {
    Organisation {
        name: Arc::from(name),
        rank: None,
        limit: None,
        unit: Unit::Requests,
    }
}

fn keys(keys: &[&str]) -> Vec<String> {
    keys.iter().map(ToString::to_string).collect()
}

fn key(text: &str) -> SecretKey {
    SecretKey::parse(text).expect("a key")
}

fn name_of(organisations: &Organisations, text: &str) -> Option<String> {
    let holder = organisations.holder(&key(text));
    holder.map(|it| it.name.to_string())
}

#[test]
fn key_lookup() {
    let organisations = Organisations::new(vec![
        (organisation("north"), keys(&["k-one", "k-two"])),
        (organisation("south"), keys(&["k-three"])),
        (organisation("west"), Vec::new()),
    ]);
    let organisations = organisations.expect("valid organisations");
    for (text, name) in [("k-one", "north"), ("k-two", "north"), ("k-three", "south")] {
        assert_eq!(name_of(&organisations, text).as_deref(), Some(name));
    }
    for text in ["k-four", "K-one", "k-on", "k-onee"] {
        assert_eq!(name_of(&organisations, text), None);
    }
}

/// Guards against two organisations that can't be distinguished because they share a key.
#[test]
fn shared_key() {
    let shared = Organisations::new(vec![
        (organisation("north"), keys(&["k-one"])),
        (organisation("south"), keys(&["k-two", "k-one"])),
    ]);
    let error = Error::SharedKey(Arc::from("north"), Arc::from("south"));
    assert_eq!(shared.err(), Some(error));
}

#[test]
fn same_name() {
    let same = Organisations::new(vec![
        (organisation("north"), keys(&["k-one"])),
        (organisation("north"), keys(&["k-two"])),
    ]);
    assert_eq!(same.err(), Some(Error::SameName(Arc::from("north"))));
}

/// Guards against names that end a header field of a request to an upstream.
#[rstest]
#[case("")]
#[case("nor th")]
#[case("north\r\nx: y")]
#[case("n\u{f6}rd")]
fn invalid_name(#[case] name: &str) {
    let rejected = Organisations::new(vec![(organisation(name), Vec::new())]);
    assert_eq!(rejected.err(), Some(Error::BadName));
}

#[rstest]
#[case(f64::NAN, 1.0)]
#[case(-1.0, 1.0)]
#[case(1.0, f64::INFINITY)]
#[case(0.0, 5.0)]
fn invalid_limit(#[case] rate_per_s: f64, #[case] burst: f64) {
    let mut limited = organisation("north");
    limited.limit = Some(Limit { rate_per_s, burst });
    let rejected = Organisations::new(vec![(limited, Vec::new())]);
    assert_eq!(rejected.err(), Some(Error::BadLimit(Arc::from("north"))));
}

#[rstest]
#[case("", KeyFault::Empty)]
#[case(&"k".repeat(257), KeyFault::TooLong)]
#[case("k one", KeyFault::BadCharacter)]
#[case("k\u{7}", KeyFault::BadCharacter)]
#[case("k\u{e9}", KeyFault::BadCharacter)]
fn invalid_key(#[case] text: &str, #[case] fault: KeyFault) {
    assert_eq!(SecretKey::parse(text).err(), Some(fault));
    let rejected = Organisations::new(vec![(organisation("north"), keys(&[text]))]);
    assert_eq!(
        rejected.err(),
        Some(Error::BadKey(Arc::from("north"), fault))
    );
}

/// Guards against debug output that contains keys.
#[test]
fn debug_output_hides_keys() {
    let secret = "a-secret-of-north";
    let given = PresentedKey::Given(key(secret));
    let organisations = Organisations::new(vec![(organisation("north"), keys(&[secret]))]);
    let text = format!("{given:?} {organisations:?}");
    assert!(!text.contains(secret));
}

proptest! {
    /// Guards against an unknown key that is accepted.
    #[test]
    fn unknown_key(known in "[!-~]{1,40}", other in "[!-~]{1,40}") {
        let organisations = Organisations::new(vec![(organisation("north"), vec![known.clone()])]);
        let organisations = organisations.expect("a valid organisation");
        prop_assert!(organisations.holder(&key(&known)).is_some());
        prop_assert_eq!(organisations.holder(&key(&other)).is_some(), known == other);
    }
}
