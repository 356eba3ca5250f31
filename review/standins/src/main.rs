//! Cases of the review, each selected by an argument. The exit code is 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

mod deployment;
mod engine;
mod extra_load;
mod held_order;
mod late_rejection;
mod late_reuse;
mod nameless_rejection;
mod names;
mod proxy;
mod record;
mod upstream;
mod vm;

use std::env;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("arguments: CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = Arc::new(Record::new());
    let held = match case.as_str() {
        "nameless-rejection" => nameless_rejection::run(&record),
        "late-reuse" => late_reuse::run(&record),
        "late-rejection" => late_rejection::run(&record),
        "extra-load" => extra_load::run(&record),
        "held-order" => held_order::run(&record),
        _ => Err(io::Error::other("unknown case")),
    };
    let code = match held {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.add(&format!("could not run: {error}"));
            2
        }
    };
    record.add(&format!("exit {code}"));
    match record.write(&Path::new(&folder).join("record.txt")) {
        Ok(()) => ExitCode::from(code),
        Err(_) => ExitCode::from(2),
    }
}
