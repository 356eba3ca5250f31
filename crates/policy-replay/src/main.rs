//! Command `policy-replay`.

use std::path::PathBuf;
use std::process::ExitCode;
use std::thread::available_parallelism;

use bpaf::Bpaf;

use apricotdale_policy_replay::Result;
use apricotdale_policy_replay::case::Case;
use apricotdale_policy_replay::compare::Options;
use apricotdale_policy_replay::compare::compare;
use apricotdale_policy_replay::deployment::Deployment;
use apricotdale_policy_replay::errors::Error;
use apricotdale_policy_replay::report;

/// Default of the maximum number of simultaneous runs.
const DEFAULT_WORKERS: usize = 6;

/// Replays seeded arrivals against the default policies and compares them with the baseline.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Arguments {
    /// Folder with the INI files of the deployments.
    #[bpaf(
        argument("FOLDER"),
        fallback(PathBuf::from("crates/policy-replay/deployments"))
    )]
    deployments: PathBuf,
    /// Folder for the CSV file and the plots.
    #[bpaf(argument("FOLDER"), fallback(PathBuf::from("target/policy-replay")))]
    out: PathBuf,
    /// Name of the only deployment to replay; all by default.
    #[bpaf(argument("NAME"))]
    deployment: Option<String>,
    /// Name of the only case to replay; all by default.
    #[bpaf(argument("NAME"))]
    case: Option<String>,
    /// Skip the runs of the baseline.
    chosen_only: bool,
    /// Trial: let the default routing ignore slow engines and timeouts in their queues.
    mild_routing: bool,
    /// Maximum number of simultaneous runs, each on one core.
    #[bpaf(argument("NUMBER"), fallback(DEFAULT_WORKERS))]
    workers: usize,
    /// Seed of the traces and of the randomized policies.
    #[bpaf(argument("NUMBER"), fallback(1))]
    seed: u64,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    match replay(&arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("policy-replay: {error}");
            ExitCode::FAILURE
        }
    }
}

fn replay(arguments: &Arguments) -> Result<()> {
    let deployments = deployments(arguments)?;
    let cases: Vec<Case> = Case::ALL
        .into_iter()
        .filter(|case| {
            arguments
                .case
                .as_ref()
                .is_none_or(|name| case.as_str() == name)
        })
        .collect();
    let workers = available_parallelism().map_or(1, |cores| cores.get() / 2);
    let workers = workers.clamp(1, arguments.workers.max(1));
    let options = Options {
        with_baseline: !arguments.chosen_only,
        seed: arguments.seed,
        workers,
        mild_routing: arguments.mild_routing,
    };
    let comparisons = compare(&deployments, &cases, &options)?;
    std::fs::create_dir_all(&arguments.out).map_err(unwritable)?;
    for comparison in &comparisons {
        for line in report::printed_lines(comparison) {
            println!("{line}");
        }
        let name = format!("{}-{}.svg", comparison.deployment, comparison.case.as_str());
        report::write_plot(&arguments.out.join(name), comparison)?;
    }
    report::write_csv(&arguments.out.join("policy-replay.csv"), &comparisons)
}

/// Returns the selected deployments, ordered by file name.
fn deployments(arguments: &Arguments) -> Result<Vec<Deployment>> {
    let folder = std::fs::read_dir(&arguments.deployments).map_err(|error| Error::Unreadable {
        path: arguments.deployments.clone(),
        detail: error.to_string(),
    })?;
    let mut files: Vec<PathBuf> = folder
        .flatten()
        .map(|entry| entry.path())
        .filter(|path| path.extension().is_some_and(|extension| extension == "ini"))
        .collect();
    files.sort();
    let mut deployments = Vec::new();
    for file in files {
        let deployment = Deployment::read(&file)?;
        let is_wanted = arguments
            .deployment
            .as_ref()
            .is_none_or(|name| deployment.name == *name);
        if is_wanted {
            deployments.push(deployment);
        }
    }
    Ok(deployments)
}

fn unwritable(error: std::io::Error) -> Error {
    Error::Unwritable(error.to_string())
}
