//! Running a scenario against real processes.

mod actions;
mod conditions;
mod endings;
mod execution;
mod measures;
mod setup;

use std::io::Write;
use std::path::PathBuf;

use crate::ast::Scenario;
use crate::ast::Step;
use crate::check::check;
use crate::errors::Error;
use crate::errors::Result;
use crate::run::execution::Execution;
use apricotdale_launcher::processes::Processes;

/// `Options` are the tunables of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// The directory for the processes' output, or none for one that goes away with the run.
    pub log_dir: Option<PathBuf>,
}

/// `Verdict` is how a run came out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Every step came out as told.
    Passed {
        /// The number of steps.
        steps: usize,
    },
    /// A step did not come out as told; those after it were not run.
    Failed {
        /// The step.
        step: Box<Step>,
        /// What came out in place.
        detail: String,
    },
}

/// Runs a scenario and writes each step and its result to the transcript. Each process is in the
/// set that `prepare` is given before it starts, so that a signal's thread can end them.
///
/// # Errors
///
/// `Error::Meaning` if a statement makes no sense, `Error::Io` if the transcript can't be written.
pub fn run(
    scenario: &Scenario,
    options: &Options,
    transcript: &mut dyn Write,
    prepare: impl Fn(&Processes),
) -> Result<Verdict> {
    check(scenario)?;
    let mut execution = Execution::new(options.clone());
    for step in &scenario.steps {
        let line = step.position.line;
        writeln!(transcript, "{line:>4}  {}", step.text)?;
        transcript.flush()?;
        match execution.step(&step.statement, &prepare) {
            Ok(Some(note)) => writeln!(transcript, "      {note}")?,
            Ok(None) => {}
            Err(Error::Io(error)) => return Err(Error::Io(error)),
            Err(error) => {
                writeln!(transcript, "      FAILED: {error}")?;
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
