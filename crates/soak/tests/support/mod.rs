//! Records of soaks that violate no invariant, and their parts.

#![allow(dead_code)]

use apricotdale_soak::Attempt;
use apricotdale_soak::BodySeen;
use apricotdale_soak::Disturbance;
use apricotdale_soak::Drain;
use apricotdale_soak::Ending;
use apricotdale_soak::Invariant;
use apricotdale_soak::KeySeen;
use apricotdale_soak::Kind;
use apricotdale_soak::LimitSeen;
use apricotdale_soak::Place;
use apricotdale_soak::Presented;
use apricotdale_soak::Record;
use apricotdale_soak::Run;
use apricotdale_soak::StopSeen;
use apricotdale_soak::check;
use apricotdale_standins::platform::EngineEffects;

/// Body of a call as the upstream sends it.
pub const PLAIN_BODY: BodySeen = BodySeen::Plain { own: true };

pub fn attempt(id: &str, kind: Kind, status: u16) -> Attempt {
    Attempt {
        id: id.to_owned(),
        kind,
        vm: 0,
        presented: Presented::Key(0),
        after_event: 0,
        resumes: None,
        left_after_event: None,
        sent_ms: 10_000,
        ended_ms: 10_050,
        patience_ms: 3_000,
        model: None,
        rank: 0,
        has_own_body: true,
        refusal: None,
        ending: Ending::Answered {
            status,
            whole: true,
            id: Some(id.to_owned()),
            signed: true,
            body: PLAIN_BODY,
        },
    }
}

pub fn run(id: &str) -> Run {
    Run {
        id: id.to_owned(),
        upstream: "p-0".to_owned(),
        at_ms: 10_010,
        unchanged: true,
        after_event: 0,
        fault: None,
        organisations: vec!["north".to_owned()],
        shows_key: false,
    }
}

pub fn effects(holders: &[(u64, &str)]) -> (String, EngineEffects) {
    let effects = EngineEffects {
        loads: 0,
        refused: 0,
        overcommitted: 0,
        holders: holders
            .iter()
            .map(|(fence, holder)| (*fence, (*holder).to_owned()))
            .collect(),
    };
    ("i-0".to_owned(), effects)
}

pub fn disturbance(place: Place, from_ms: u64, until_ms: u64) -> Disturbance {
    Disturbance {
        what: "kill".to_owned(),
        place,
        from_ms,
        until_ms,
    }
}

pub fn valid_record() -> Record {
    Record {
        attempts: vec![attempt("a", Kind::Book, 200), attempt("b", Kind::Book, 503)],
        last_attempts: vec![attempt("c", Kind::Look, 200)],
        runs: vec![run("a"), run("c"), run("c")],
        engines: vec![effects(&[(1, "vm0"), (1, "vm0"), (4, "vm1")])],
        drains: vec![Drain {
            upstream: "i-9".to_owned(),
            at_ms: 9_000,
        }],
        stops: vec![StopSeen {
            vm: 2,
            at_ms: 9_000,
            ended: Some((12_000, Some(0))),
        }],
        keys: vec![key("north"), key("south")],
        limits: vec![limit(0, 100)],
        ..Record::default()
    }
}

pub fn key(organisation: &str) -> KeySeen {
    KeySeen {
        secret: format!("{organisation}-secret-0"),
        organisation: organisation.to_owned(),
        acknowledged_ms: 0,
        leaving_ms: None,
        left_ms: None,
    }
}

pub fn limit(at_ms: u64, most_in_window: usize) -> LimitSeen {
    LimitSeen {
        organisation: "north".to_owned(),
        written_ms: at_ms,
        acknowledged_ms: at_ms,
        most_in_window,
    }
}

pub fn broken_invariants(record: &Record) -> Vec<Invariant> {
    check(record).into_iter().map(|it| it.invariant).collect()
}
