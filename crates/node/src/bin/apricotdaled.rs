//! The daemon's program, which runs on every VM.

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bpaf::Bpaf;

use apricotdale_adapters::http_adapters;
use apricotdale_node::Daemon;
use apricotdale_settings::Settings;
use apricotdale_telemetry::LevelFilter;
use apricotdale_telemetry::LogOptions;
use apricotdale_telemetry::Metrics;
use apricotdale_telemetry::init_logs;
use apricotdale_telemetry::open_log;

/// Exit code for settings that can't be used.
const EXIT_SETTINGS: u8 = 2;

/// Exit code for a daemon that could not start.
const EXIT_START: u8 = 1;

/// The apricotdale daemon: serves callers and decides on placement together with its peers.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Arguments {
    /// Path of the settings file.
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let arguments = arguments().run();
    let settings = match Settings::from_file(&arguments.settings) {
        Ok(settings) => settings,
        Err(problems) => {
            for problem in problems {
                eprintln!("{}: {problem}", arguments.settings.display());
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("apricotdaled: {error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    start_logs(&settings)?;
    let adapters = http_adapters(&adapter_options(&settings));
    let daemon = Daemon::start(settings, adapters, Arc::new(Metrics::new()))?;
    let drain = daemon.drain_flag();
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])?;
    std::thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for _ in signals.forever() {
                drain.store(true, Ordering::Release);
            }
        })?;
    println!(
        "listening callers={} peers={} admin={}",
        daemon.callers_address(),
        daemon.peers_address(),
        daemon.admin_address()
    );
    daemon.wait();
    log::logger().flush();
    Ok(())
}

fn start_logs(settings: &Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut options = LogOptions::new(settings.vm.name.clone(), settings.vm.zone.clone());
    options.level = settings.log.level.parse::<LevelFilter>()?;
    init_logs(options, open_log(settings.log.file.as_deref())?)?;
    Ok(())
}

fn adapter_options(settings: &Settings) -> apricotdale_adapters::Options {
    let platform = &settings.platform;
    let mut options =
        apricotdale_adapters::Options::at(platform.log, platform.weights, platform.vm_list);
    options.http.connect_timeout_ms = settings.upstreams.connect_timeout_ms;
    options.log.append_timeout_ms = platform.log_timeout_ms;
    options.log.read_timeout_ms = platform.log_timeout_ms;
    options
}
