//! Details of demand that VMs report: requests by engine, late answers, requests by rank.

use std::collections::BTreeMap;

use apricotdale_core::names::ModelName;
use apricotdale_core::names::UpstreamName;
use apricotdale_core::names::VmName;
use apricotdale_holder::DemandDetail;
use apricotdale_holder::DemandRow;
use apricotdale_holder::DemandTable;
use apricotdale_holder::EngineKey;
use apricotdale_holder::EngineSpeedRow;
use apricotdale_holder::EngineUse;
use apricotdale_holder::LocalDetail;
use apricotdale_holder::ModelAnswers;
use apricotdale_holder::ModelKey;
use apricotdale_holder::RankUse;
use apricotdale_holder::ServiceUse;
use rstest::rstest;

fn engine() -> EngineKey {
    EngineKey::of(&UpstreamName::from("engine-1"))
}

fn model() -> ModelKey {
    ModelKey::of(&ModelName::from("m1"))
}

fn in_use(requests: u16) -> DemandDetail {
    DemandDetail {
        uses: vec![EngineUse {
            engine: engine(),
            model: model(),
            requests,
        }],
        ..DemandDetail::default()
    }
}

fn answers(answered: u32, late: u32) -> DemandDetail {
    DemandDetail {
        answers: vec![ModelAnswers {
            model: model(),
            answered,
            late,
            rank: 1,
        }],
        ..DemandDetail::default()
    }
}

/// Returns a table with one request that waits for the model.
fn table() -> DemandTable {
    let mut table = DemandTable::default();
    let row = DemandRow {
        model: ModelName::from("m1"),
        adapter: None,
        waiting_for_load: 1,
        waiting_for_slot: 0,
        running: 0,
        arrived: 1,
    };
    table.note(0, &VmName::from("vm-1"), 1, vec![row]);
    table
}

fn late_share(table: &DemandTable, now_ms: u64) -> f64 {
    let totals = table.totals(now_ms);
    totals
        .values()
        .next()
        .map_or(0.0, |demand| demand.late_share)
}

/// Guards against a count that adds up over the reports of one VM.
#[rstest]
#[case::one_report(&[2], 2)]
#[case::replaced(&[2, 5], 5)]
#[case::ended(&[2, 0], 0)]
fn last_report_counts(#[case] reports: &[u16], #[case] expected: u32) {
    let mut table = DemandTable::default();
    for requests in reports {
        table.note_detail(0, &VmName::from("vm-1"), 1, &in_use(*requests));
    }
    table.sum_uses(0);
    assert_eq!(
        table.requests_at(engine(), &ModelName::from("m1")),
        expected
    );
}

/// Guards against requests of VMs that are gone, which would keep an engine full forever.
#[rstest]
#[case::heard(1_000, 5)]
#[case::silent(1_001, 3)]
fn silent_vm_expires(#[case] now_ms: u64, #[case] expected: u32) {
    let mut table = DemandTable::default();
    table.note_detail(0, &VmName::from("vm-1"), 1, &in_use(2));
    table.note_detail(500, &VmName::from("vm-2"), 1, &in_use(3));
    table.sum_uses(now_ms);
    assert_eq!(table.engine_requests().get(&engine()), Some(&expected));
}

/// Guards against repeated and restarted counts that are taken for new answers.
#[rstest]
#[case::once(&[(1, 10, 5)], 0.5)]
#[case::repeated(&[(1, 10, 5), (1, 10, 5)], 0.5)]
#[case::grown(&[(1, 10, 5), (1, 20, 5)], 0.25)]
#[case::restarted(&[(1, 10, 5), (2, 10, 0)], 0.25)]
fn late_answers_counted(#[case] reports: &[(u64, u32, u32)], #[case] expected: f64) {
    let mut table = table();
    for (incarnation, answered, late) in reports {
        let detail = answers(*answered, *late);
        table.note_detail(0, &VmName::from("vm-1"), *incarnation, &detail);
    }
    assert!((late_share(&table, 0) - expected).abs() < 1e-9);
}

/// Guards against answers of long ago that keep a model late.
#[rstest]
fn late_answers_fade() {
    let mut table = table();
    let vm = VmName::from("vm-1");
    table.note_detail(0, &vm, 1, &answers(100, 100));
    table.note_detail(20_000, &vm, 1, &answers(200, 100));
    assert!(late_share(&table, 20_000) < 0.05);
}

/// Guards against a lost datagram that hides answers: each change is told twice, and paces once.
#[rstest]
fn changes_told_twice() {
    let mut local = LocalDetail::default();
    local.record_answer(&ModelName::from("m1"), 1, true);
    local.record_stream(
        &UpstreamName::from("engine-1"),
        &ModelName::from("m1"),
        9,
        90,
    );
    let first = take(&mut local);
    assert_eq!(first.answers.len(), 1);
    assert_eq!((first.paces[0].events, first.paces[0].took_ms), (9, 90));
    let second = take(&mut local);
    assert_eq!(second.answers, first.answers);
    assert!(second.paces.is_empty());
    assert!(take(&mut local).answers.is_empty());
}

/// Guards against demand by rank that is lost with a datagram: arrivals and ends are totals.
#[rstest]
fn services_are_totals() {
    let mut local = LocalDetail::default();
    for (rank, arrivals) in [(0, 2), (2, 3)] {
        for _ in 0..arrivals {
            local.record_arrival(7, rank);
        }
    }
    local.record_end(7, 400);
    take(&mut local);
    local.record_end(7, 500);
    let waiting = BTreeMap::from([((7, 2), 1)]);
    let detail = local.take(Vec::new(), &BTreeMap::from([(7, 4)]), &waiting);
    let expected = ServiceUse {
        service: 7,
        in_progress: 4,
        ended: 2,
        ended_ms: 900,
        ranks: vec![
            RankUse {
                rank: 0,
                arrived: 2,
                waiting: 0,
            },
            RankUse {
                rank: 2,
                arrived: 3,
                waiting: 1,
            },
        ],
    };
    assert_eq!(detail.services, [expected]);
}

/// Guards against announcements that outgrow a datagram: the engines that differ most are named.
#[rstest]
fn most_uneven_announced() {
    let rows = (0..300_u16).map(|index| EngineSpeedRow {
        engine: EngineKey::of(&UpstreamName::from(format!("e{index}"))),
        percent: 100 + index,
    });
    let announced = EngineSpeedRow::most_uneven(rows.collect());
    assert!(announced.len() <= 100);
    assert!(announced.iter().all(|row| row.percent >= 300));
}

fn take(local: &mut LocalDetail) -> DemandDetail {
    local.take(Vec::new(), &BTreeMap::new(), &BTreeMap::new())
}
