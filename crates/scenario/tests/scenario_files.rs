//! Every file in `scenarios/`, run against the real processes.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::PoisonError;

use rstest::rstest;

use apricotdale_launcher::programs::Program;
use apricotdale_scenario::parser::parse;
use apricotdale_scenario::run::Options;
use apricotdale_scenario::run::Verdict;
use apricotdale_scenario::run::run;

/// Lets only one scenario run at a time. Each starts a dozen processes, and with several at once
/// their durations would depend on the processor time left to each.
static SCENARIO_LOCK: Mutex<()> = Mutex::new(());

#[test]
fn daemon_is_built() {
    let path = Program::Daemon.path();
    assert!(path.is_ok(), "{path:?}");
}

#[rstest]
fn scenario_holds(#[files("../../scenarios/*.scenario")] file: PathBuf) {
    let _lock = SCENARIO_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let verdict = run_file(&file);
    if let Err(report) = verdict {
        panic!("{report}");
    }
}

/// Runs a scenario file; the error holds the reason and the complete transcript.
fn run_file(file: &Path) -> Result<(), String> {
    let text = fs::read_to_string(file).map_err(|error| error.to_string())?;
    let scenario = parse(&text).map_err(|error| error.to_string())?;
    let mut transcript = Vec::new();
    let verdict = run(&scenario, &Options::default(), &mut transcript, |_| {});
    let transcript = String::from_utf8_lossy(&transcript);
    match verdict {
        Ok(Verdict::Passed { .. }) => Ok(()),
        Ok(Verdict::Failed { step, detail }) => {
            let line = step.position.line;
            Err(format!(
                "line {line}: {}: {detail}\n{transcript}",
                step.text
            ))
        }
        Err(error) => Err(format!("{error}\n{transcript}")),
    }
}
