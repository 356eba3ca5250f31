//! Measures how the costs of the system's parts grow with their size.

use std::fs::File;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;

use apricotdale_load_tool::process_cost::load_average;
use apricotdale_slopes::Result;
use apricotdale_slopes::catalogue;
use apricotdale_slopes::slope;

/// Measures how the cost of each part of the system grows with its size, and prints a line for each
/// slope.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// File to which the slopes are written as a CSV table, besides the printed lines.
    #[bpaf(argument("FILE"))]
    csv: Option<PathBuf>,
    /// Names of the parts to measure; all parts by default.
    #[bpaf(positional("PART"))]
    parts: Vec<String>,
}

fn main() -> ExitCode {
    match run(&arguments().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run(arguments: &Arguments) -> Result<()> {
    let parts = catalogue::parts(&arguments.parts)?;
    let mut slopes = Vec::new();
    print_load("start");
    for part in parts {
        let measured = (part.measure)()?;
        for slope in &measured {
            println!("{slope}");
        }
        slopes.extend(measured);
    }
    print_load("end");
    match &arguments.csv {
        Some(path) => slope::write_table(&slopes, File::create(path)?),
        None => Ok(()),
    }
}

/// Prints the load average, since a busy machine distorts the measurements.
fn print_load(when: &str) {
    if let Ok(load) = load_average() {
        println!("load_average_at_{when}={load:.2}");
    }
}
