//! Parts of messages that earlier releases neither send nor read.

use apricotdale_quota::AccountId;
use apricotdale_quota::AccountRoom;
use apricotdale_quota::AccountTurns;
use apricotdale_quota::AccountWants;
use apricotdale_quota::Answer;
use apricotdale_quota::DeniedRequest;
use apricotdale_quota::MAX_LISTED_REQUESTS;
use apricotdale_quota::ReportExtra;
use apricotdale_quota::WantedUnits;
use serde::Deserialize;
use serde::Serialize;

/// The same parts as an earlier release has them.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierExtra {
    joined: u64,
    rooms: Vec<AccountRoom>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierAnswer {
    owner: u64,
    number: u64,
    allowances: Vec<()>,
    near_limit: Vec<AccountId>,
}

fn account() -> AccountId {
    AccountId::of("north")
}

fn wanted(units: u64) -> WantedUnits {
    WantedUnits {
        rank: 2,
        units,
        tag: u32::MAX,
    }
}

fn extra() -> ReportExtra {
    ReportExtra {
        joined: 7,
        rooms: vec![AccountRoom {
            account: account(),
            requests: 3,
            age_ms: 4,
        }],
        wants: vec![AccountWants {
            account: account(),
            requests: vec![wanted(9_190); MAX_LISTED_REQUESTS],
        }],
        in_flight: Some(Vec::new()),
    }
}

fn answer() -> Answer {
    Answer {
        owner: 1,
        number: 2,
        allowances: Vec::new(),
        near_limit: vec![account()],
        turns: vec![AccountTurns {
            account: account(),
            denied: vec![DeniedRequest {
                wanted: wanted(700),
                retry_after_ms: 900,
                has_turn: true,
            }],
        }],
    }
}

/// Guards against a report of an earlier release that loses its other parts, or counts as malformed,
/// because it lists no requests.
#[test]
fn earlier_report() {
    let earlier = EarlierExtra {
        joined: 7,
        rooms: extra().rooms,
    };
    let bytes = postcard::to_allocvec(&earlier).expect("encodes");
    let read: ReportExtra = postcard::from_bytes(&bytes).expect("decodes");
    let expected = ReportExtra {
        wants: Vec::new(),
        in_flight: None,
        ..extra()
    };
    assert_eq!(read, expected);
}

/// Guards against a report that an earlier release can't read.
#[test]
fn report_to_earlier() {
    let bytes = postcard::to_allocvec(&extra()).expect("encodes");
    let read: EarlierExtra = postcard::from_bytes(&bytes).expect("decodes");
    assert_eq!((read.joined, read.rooms), (7, extra().rooms));
    assert!(bytes.len() < 600, "{} bytes", bytes.len());
}

/// Guards against answers between releases that can't be read.
#[test]
fn answers_of_both() {
    let bytes = postcard::to_allocvec(&answer()).expect("encodes");
    let earlier: EarlierAnswer = postcard::from_bytes(&bytes).expect("decodes");
    assert_eq!(earlier.near_limit, [account()]);
    let bytes = postcard::to_allocvec(&earlier).expect("encodes");
    let read: Answer = postcard::from_bytes(&bytes).expect("decodes");
    let expected = Answer {
        turns: Vec::new(),
        ..answer()
    };
    assert_eq!(read, expected);
}

/// Guards against the parts getting lost between VMs of this release.
#[test]
fn round_trip() {
    let bytes = postcard::to_allocvec(&extra()).expect("encodes");
    assert_eq!(postcard::from_bytes(&bytes), Ok(extra()));
    let bytes = postcard::to_allocvec(&answer()).expect("encodes");
    assert_eq!(postcard::from_bytes(&bytes), Ok(answer()));
}
