//! Limits of what is remembered, in total and per caller.

use apricotdale_core::names::UpstreamName;
use apricotdale_quarantine::BlockRow;
use apricotdale_quarantine::CallerHash;
use apricotdale_quarantine::CrashReport;
use apricotdale_quarantine::Fingerprint;
use apricotdale_quarantine::Options;
use apricotdale_quarantine::Quarantine;
use apricotdale_quarantine::Scope;
use apricotdale_quarantine::Suspect;

const NOW_MS: u64 = 1_000_000;

fn caller(number: u32) -> CallerHash {
    CallerHash::of(&number.to_le_bytes())
}

fn request(caller_number: u32, number: u32) -> Fingerprint {
    let caller = Some(caller(caller_number));
    Fingerprint::of(caller, "POST", &["site.example"], &number.to_le_bytes())
}

fn suspect(caller_number: u32, number: u32) -> Suspect {
    Suspect {
        answered_ago_ms: Some(1_000_000),
        ..Suspect::new(request(caller_number, number), caller(caller_number))
    }
}

fn row(caller_number: u32, number: u32, left_ms: u64) -> BlockRow {
    BlockRow {
        fingerprint: request(caller_number, number),
        features: vec![request(caller_number, number)],
        caller: caller(caller_number),
        times: 1,
        left_ms,
        upstreams: Vec::new(),
    }
}

fn report(upstream: u32, suspects: Vec<Suspect>) -> CrashReport {
    CrashReport {
        upstream: UpstreamName::from(format!("i-{upstream}")),
        ago_ms: 0,
        reporter: 1,
        suspects,
    }
}

/// Guards against a caller whose requests displace those of all others.
#[test]
fn suspects_of_one_caller() {
    let options = Options::default();
    let mut quarantine = Quarantine::new(options.clone());
    let mut now_ms = NOW_MS;
    for upstream in 0..2 {
        quarantine.record_crash(now_ms, &report(upstream, vec![suspect(7, 7)]));
        now_ms += 1_000;
    }
    for upstream in 2..200 {
        let suspects = (0..64).map(|it| suspect(8, upstream * 64 + it)).collect();
        quarantine.record_crash(now_ms, &report(upstream, suspects));
        now_ms += 1_000;
    }
    assert!(quarantine.suspects() <= options.max_suspects_per_caller + 2);
    quarantine.record_crash(now_ms, &report(900, vec![suspect(7, 7)]));
    quarantine.judge(now_ms + options.settle_ms, Scope::Fleet);
    let blocked_ms = quarantine.block(now_ms + options.settle_ms, &request(7, 7).into());
    assert!(blocked_ms.is_some());
}

/// Guards against exceeding the limit by the requests of many callers.
#[test]
fn suspects_of_all_callers() {
    let options = Options::default();
    let mut quarantine = Quarantine::new(options.clone());
    for upstream in 0..500 {
        let suspects = (0..64).map(|it| suspect(it, upstream * 64 + it)).collect();
        quarantine.record_crash(NOW_MS + u64::from(upstream), &report(upstream, suspects));
        assert!(quarantine.suspects() <= options.max_suspects);
    }
}

#[test]
fn blocks_of_one_caller() {
    let options = Options::default();
    let mut quarantine = Quarantine::new(options.clone());
    quarantine.record_block(NOW_MS, &row(7, 7, 10_000));
    for number in 0..options.max_blocks_per_caller as u32 + 100 {
        quarantine.record_block(NOW_MS, &row(8, number, 600_000));
    }
    let rows = quarantine.rows(NOW_MS);
    assert_eq!(rows.len(), options.max_blocks_per_caller + 1);
    assert!(quarantine.block(NOW_MS, &request(7, 7).into()).is_some());
}

#[test]
fn blocks_of_all_callers() {
    let options = Options::default();
    let mut quarantine = Quarantine::new(options.clone());
    for number in 0..options.max_blocks as u32 + 100 {
        quarantine.record_block(NOW_MS, &row(number, number, 600_000));
    }
    assert_eq!(quarantine.rows(NOW_MS).len(), options.max_blocks);
}

/// Guards against a block received from another VM that never ends.
#[test]
fn received_block() {
    let options = Options::default();
    let mut quarantine = Quarantine::new(options.clone());
    let row = BlockRow {
        times: u32::MAX,
        ..row(1, 1, u64::MAX)
    };
    assert!(quarantine.record_block(NOW_MS, &row));
    let block = quarantine.block(NOW_MS, &request(1, 1).into());
    let left_ms = block.map(|block| block.left_ms);
    assert_eq!(left_ms, Some(options.max_block_ms));
}

/// Guards against a new block that is dropped at once, and begun again and again, because it is the
/// shortest one of a caller at its limit.
#[test]
fn block_at_limit() {
    let options = Options::default();
    let mut quarantine = Quarantine::new(options.clone());
    for number in 0..options.max_blocks_per_caller as u32 {
        quarantine.record_block(NOW_MS, &row(8, 1_000 + number, options.max_block_ms));
    }
    let mut now_ms = NOW_MS;
    for upstream in 0..3 {
        now_ms += 1_000;
        quarantine.record_crash(now_ms, &report(upstream, vec![suspect(8, 8)]));
    }
    now_ms += options.settle_ms;
    assert_eq!(quarantine.judge(now_ms, Scope::Fleet).len(), 1);
    assert!(quarantine.block(now_ms, &request(8, 8).into()).is_some());
    assert_eq!(quarantine.rows(now_ms).len(), options.max_blocks_per_caller);
}
