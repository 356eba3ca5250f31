//! Random search for texts that are wrongly accepted as keys.

use std::sync::Arc;

use apricotdale_organisations::KeyFault;
use apricotdale_organisations::Organisation;
use apricotdale_organisations::Organisations;
use apricotdale_organisations::PresentedKey;
use apricotdale_organisations::SecretKey;
use apricotdale_organisations::Unit;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MAX_KEY_BYTES: usize = 256;

/// Texts up to somewhat more than the maximum length, some with a character that no key has.
fn text() -> impl Strategy<Value = String> {
    let visible = vec(prop::char::range('!', '~'), 0..300);
    let invalid = prop_oneof![
        prop::char::range('\0', ' '),
        Just('\u{7f}'),
        Just('\u{a0}'),
        Just('\u{ff34}'),
        any::<char>(),
    ];
    let at = any::<prop::sample::Index>();
    (visible, prop::option::weighted(0.4, (invalid, at))).prop_map(|(mut text, invalid)| {
        if let Some((character, at)) = invalid {
            text.insert(at.index(text.len() + 1), character);
        }
        text.into_iter().collect()
    })
}

/// Returns valid keys that differ from this one as little as possible.
fn similar_keys(key: &str) -> Vec<String> {
    let bytes = key.as_bytes();
    let mut found = vec![format!("{key}!"), format!("!{key}"), key.repeat(2)];
    for at in 0..bytes.len() {
        let mut other = bytes.to_vec();
        other.remove(at);
        found.push(String::from_utf8(other).expect("ASCII"));
        let mut other = bytes.to_vec();
        other[at] = if bytes[at] == b'!' {
            b'~'
        } else {
            bytes[at] - 1
        };
        found.push(String::from_utf8(other).expect("ASCII"));
        let mut other = bytes.to_vec();
        other[at] ^= if bytes[at].is_ascii_alphabetic() {
            0x20
        } else {
            0
        };
        found.push(String::from_utf8(other).expect("ASCII"));
    }
    found.retain(|it| it != key && SecretKey::parse(it).is_ok());
    found
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(53),
        failure_persistence: None,
        ..ProptestConfig::with_cases(4_000)
    })]

    /// Guards against invalid keys that are accepted, and against wrong reasons for a rejection.
    #[test]
    fn invalid_keys_rejected(text in text()) {
        let expected = match text.as_str() {
            "" => Err(KeyFault::Empty),
            _ if text.len() > MAX_KEY_BYTES => Err(KeyFault::TooLong),
            _ if text.chars().any(|it| !('!'..='~').contains(&it)) => Err(KeyFault::BadCharacter),
            _ => Ok(()),
        };
        prop_assert_eq!(SecretKey::parse(&text).map(|_| ()), expected);
    }

    /// Guards against output that contains a key or a rejected text.
    #[test]
    fn output_hides_keys(text in text()) {
        prop_assume!(text.len() >= 12);
        let parsed = SecretKey::parse(&text);
        let shown = match &parsed {
            Ok(key) => format!("{key:?} {:?}", PresentedKey::Given(key.clone())),
            Err(fault) => format!("{fault} {fault:?} {:?}", PresentedKey::Faulty(*fault)),
        };
        prop_assert!(!shown.contains(&text), "{shown}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(59),
        failure_persistence: None,
        ..ProptestConfig::with_cases(60)
    })]

    /// Guards against a key that is accepted although it differs from the known one in a character.
    #[test]
    fn similar_keys_unknown(key in "[!-~]{1,32}") {
        let organisation = Organisation {
            name: Arc::from("north"),
            rank: None,
            limit: None,
            unit: Unit::Requests,
        };
        let organisations = Organisations::new(vec![(organisation, vec![key.clone()])]);
        let organisations = organisations.expect("a valid organisation");
        let holds = |text: &str| {
            let key = SecretKey::parse(text).expect("a key");
            organisations.holder(&key).is_some()
        };
        prop_assert!(holds(&key));
        let similar_keys = similar_keys(&key);
        prop_assert!(similar_keys.len() >= 3);
        let accepted: Vec<_> = similar_keys.iter().filter(|it| holds(it)).collect();
        prop_assert!(accepted.is_empty(), "{accepted:?} accepted in place of {key:?}");
    }
}
