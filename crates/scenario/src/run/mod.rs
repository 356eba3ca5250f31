//! Execution of a scenario against real processes.

mod actions;
mod conditions;
mod endings;
mod execution;
mod measures;
mod setup;

use std::io::Write;
use std::path::PathBuf;
use std::time::Instant;

use crate::ast::Scenario;
use crate::ast::Step;
use crate::check::check;
use crate::errors::Error;
use crate::errors::Result;
use crate::run::execution::Execution;
use apricotdale_launcher::processes::Processes;

/// Options of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Directory for the processes' output; none for a temporary one that is deleted after the run.
    pub log_dir: Option<PathBuf>,
}

/// Result of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Every step had the result that the scenario demands.
    Passed {
        /// Number of steps, including the setup statements.
        steps: usize,
    },
    /// A step had another result; those after it were not run.
    Failed {
        /// Step that failed.
        step: Box<Step>,
        /// Result that was found instead.
        detail: String,
    },
}

/// Runs a scenario and writes each step, with the seconds since the start of the run, and its result
/// to the transcript. `prepare` receives the
/// set of child processes before the first one starts, so that a signal handler can end them all.
///
/// # Errors
///
/// `Error::Meaning` if a statement is invalid, `Error::Io` if the transcript can't be written.
pub fn run(
    scenario: &Scenario,
    options: &Options,
    transcript: &mut dyn Write,
    prepare: impl Fn(&Processes),
) -> Result<Verdict> {
    check(scenario)?;
    let started_at = Instant::now();
    let mut execution = Execution::new(options.clone());
    for step in &scenario.steps {
        let line = step.position.line;
        let elapsed_s = started_at.elapsed().as_secs_f64();
        writeln!(transcript, "{elapsed_s:>6.1}  {line:>4}  {}", step.text)?;
        transcript.flush()?;
        match execution.step(&step.statement, &prepare) {
            Ok(Some(note)) => writeln!(transcript, "              {note}")?,
            Ok(None) => {}
            Err(Error::Io(error)) => return Err(Error::Io(error)),
            Err(error) => {
                writeln!(transcript, "              FAILED: {error}")?;
                execution.describe(transcript)?;
                return Ok(Verdict::Failed {
                    step: Box::new(step.clone()),
                    detail: error.to_string(),
                });
            }
        }
    }
    Ok(Verdict::Passed {
        steps: scenario.steps.len(),
    })
}
