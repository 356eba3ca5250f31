//! Requests that have the same fingerprint.

use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::Fingerprint;
use rstest::rstest;

fn fingerprint(caller: &str, method: &str, target: &[&str], body: &[u8]) -> Fingerprint {
    Fingerprint::of(
        Some(CallerHash::of(caller.as_bytes())),
        method,
        target,
        body,
    )
}

#[test]
fn same_request() {
    let first = fingerprint("10.0.0.1", "POST", &["a.example", "/x"], b"body");
    let second = fingerprint("10.0.0.1", "POST", &["a.example", "/x"], b"body");
    assert_eq!(first, second);
}

#[rstest]
#[case::caller("10.0.0.2", "POST", "/x", b"body".as_slice())]
#[case::method("10.0.0.1", "PUT", "/x", b"body".as_slice())]
#[case::path("10.0.0.1", "POST", "/y", b"body".as_slice())]
#[case::one_byte("10.0.0.1", "POST", "/x", b"bodz".as_slice())]
#[case::one_byte_more("10.0.0.1", "POST", "/x", b"body\0".as_slice())]
#[case::moved_byte("10.0.0.1", "POST", "/xb", b"ody".as_slice())]
fn other_request(
    #[case] caller: &str,
    #[case] method: &str,
    #[case] target: &str,
    #[case] body: &[u8],
) {
    let first = fingerprint("10.0.0.1", "POST", &["a.example", "/x"], b"body");
    assert_ne!(
        first,
        fingerprint(caller, method, &["a.example", target], body)
    );
}

/// Guards against a caller that counts as another one with each of its addresses.
#[test]
fn anonymous_caller() {
    let unnamed = || Fingerprint::of(None, "POST", &["a.example", "/x"], b"body");
    assert_eq!(unnamed(), unnamed());
    let named = fingerprint("10.0.0.1", "POST", &["a.example", "/x"], b"body");
    assert_ne!(unnamed(), named);
}

#[test]
fn text_round_trip() {
    let fingerprint = fingerprint("10.0.0.1", "POST", &["a.example", "/x"], b"body");
    assert_eq!(fingerprint.to_string().parse(), Ok(fingerprint));
    assert!("0-0".parse::<Fingerprint>().is_err());
    assert!("x".parse::<Fingerprint>().is_err());
}
