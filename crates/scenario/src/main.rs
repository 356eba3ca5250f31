//! Command line program `scenario`: runs scenario files against the programs built beside it.

#![forbid(unsafe_code)]

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Instant;

use bpaf::Bpaf;

use apricotdale_launcher::interrupts::Interrupts;
use apricotdale_scenario::Result;
use apricotdale_scenario::check::check;
use apricotdale_scenario::parser::parse;
use apricotdale_scenario::run::Options;
use apricotdale_scenario::run::Verdict;
use apricotdale_scenario::run::run;

/// Runs scenarios against real processes
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
enum Command {
    /// Run scenario files and print a verdict for each
    #[bpaf(command("run"))]
    Run {
        /// Directory for the processes' output, with a subdirectory for each scenario
        #[bpaf(argument("DIR"))]
        logs: Option<PathBuf>,
        /// Scenario files
        #[bpaf(positional("FILE"), some("a scenario file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Check the syntax and the meaning of scenario files without running them
    #[bpaf(command("check"))]
    Check {
        /// Scenario files
        #[bpaf(positional("FILE"), some("a scenario file is needed"))]
        files: Vec<PathBuf>,
    },
}

fn main() -> ExitCode {
    let command = command().run();
    let interrupts = match Interrupts::install(None) {
        Ok(interrupts) => interrupts,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let passed = match command {
        Command::Run { logs, files } => run_files(&files, logs.as_deref(), &interrupts),
        Command::Check { files } => files.iter().filter(|file| !passes_check(file)).count() == 0,
    };
    match passed {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    }
}

fn run_files(files: &[PathBuf], logs: Option<&Path>, interrupts: &Interrupts) -> bool {
    let mut verdicts = Vec::new();
    let mut all_passed = true;
    for file in files {
        let started = Instant::now();
        let (passed, verdict) = match run_file(file, logs, interrupts) {
            Ok(Verdict::Passed { steps }) => (true, format!("{steps} steps")),
            Ok(Verdict::Failed { step, detail }) => {
                let line = step.position.line;
                (false, format!("line {line}: {}: {detail}", step.text))
            }
            Err(error) => (false, error.to_string()),
        };
        let word = if passed { "PASS" } else { "FAIL" };
        let took = started.elapsed().as_secs_f64();
        let verdict = format!("{word} {} ({verdict}; {took:.1} s)", file.display());
        println!("{verdict}\n");
        verdicts.push(verdict);
        all_passed &= passed;
    }
    println!("{}", verdicts.join("\n"));
    all_passed
}

fn run_file(file: &Path, logs: Option<&Path>, interrupts: &Interrupts) -> Result<Verdict> {
    let scenario = parse(&fs::read_to_string(file)?)?;
    println!("{}: {}", file.display(), scenario.title);
    let name = file.file_stem().unwrap_or_default();
    let options = Options {
        log_dir: logs.map(|directory| directory.join(name)),
    };
    let prepare = |processes: &_| interrupts.watch(processes);
    run(&scenario, &options, &mut io::stdout(), prepare)
}

fn passes_check(file: &Path) -> bool {
    let checked = fs::read_to_string(file)
        .map_err(Into::into)
        .and_then(|text| parse(&text))
        .and_then(|scenario| check(&scenario));
    match checked {
        Ok(()) => true,
        Err(error) => {
            eprintln!("{}: {error}", file.display());
            false
        }
    }
}
