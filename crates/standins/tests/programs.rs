//! Start of the five programs.

use std::io::BufRead;
use std::io::BufReader;
use std::process::Command;
use std::process::Stdio;

use rstest::rstest;

#[rstest]
#[case::log(env!("CARGO_BIN_EXE_standin-log"), "/standin/effects")]
#[case::engine(env!("CARGO_BIN_EXE_standin-engine"), "/status")]
#[case::service(env!("CARGO_BIN_EXE_standin-service"), "/standin/effects")]
#[case::weights(env!("CARGO_BIN_EXE_standin-weights"), "/status")]
#[case::vm_list(env!("CARGO_BIN_EXE_standin-vmlist"), "/vms")]
fn printed_address(#[case] program: &str, #[case] path: &str) {
    let mut child = Command::new(program)
        .args(["--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut stdout = BufReader::new(child.stdout.take().unwrap());
    stdout.read_line(&mut line).unwrap();
    let address = line
        .trim_end()
        .strip_prefix("listening ")
        .unwrap()
        .to_owned();
    let config = ureq::Agent::config_builder().proxy(None).build();
    let answer = ureq::Agent::from(config)
        .get(format!("http://{address}{path}"))
        .call();
    child.kill().unwrap();
    child.wait().unwrap();
    assert!(address.starts_with("127.0.0.1:"));
    assert_eq!(answer.unwrap().status(), 200);
}

#[rstest]
#[case::no_file("missing")]
#[case::no_models("Cargo.toml")]
fn unreadable_model_list(#[case] file: &str) {
    let output = Command::new(env!("CARGO_BIN_EXE_standin-weights"))
        .args(["--models", file])
        .output()
        .unwrap();
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains(file));
}
