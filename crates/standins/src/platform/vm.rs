//! Entry VMs as real processes on loopback.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use parking_lot::Condvar;
use parking_lot::Mutex;
use serde_json::Value;
use tempfile::NamedTempFile;

use crate::platform::calling::get;
use crate::platform::calling::is_ready;

/// How long a process may take to open its sockets.
const START_PATIENCE: Duration = Duration::from_secs(20);

/// `VmOptions` is how an entry VM is started.
#[derive(Clone, Debug)]
pub struct VmOptions {
    /// The program.
    pub program: PathBuf,
    /// The VM's name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it reaches the store.
    pub store: SocketAddr,
    /// Where callers connect; port 0 has the system choose one.
    pub callers: SocketAddr,
    /// How long a planned stop may take.
    pub stop_ms: u64,
    /// The pause before a new giver's first order, where engines do not check fencing tokens.
    pub order_pause_ms: u64,
    /// What the store sends, as the settings tell it.
    pub read_mb_per_s: f64,
    /// More lines of the settings file.
    pub more_settings: String,
}

impl VmOptions {
    /// Returns the options of a VM on ports that the system chooses.
    pub fn new(program: impl Into<PathBuf>, name: &str, store: SocketAddr) -> Self {
        Self {
            program: program.into(),
            name: name.to_owned(),
            zone: "zone-a".to_owned(),
            store,
            callers: SocketAddr::from(([127, 0, 0, 1], 0)),
            stop_ms: 8_000,
            order_pause_ms: 300,
            read_mb_per_s: 80.0,
            more_settings: String::new(),
        }
    }

    fn settings(&self) -> String {
        format!(
            "[vm]\nname = {}\navailability_zone = {}\n\
             [callers]\nlisten = {}\nready = 127.0.0.1:0\n\
             [peers]\nlisten = 127.0.0.1:0\n[metrics]\nlisten = 127.0.0.1:0\n\
             [store]\naddress = {}\nread_mb_per_s = {}\n\
             [bounds]\nstop_s = {}\nengines_check_fences = true\norder_pause_ms = {}\n\
             repeats_per_request = 0.2\nspare_repeats = 50\nrepeats_window_s = 10\n[log]\nlevel = info\n{}",
            self.name,
            self.zone,
            self.callers,
            self.store,
            self.read_mb_per_s,
            self.stop_ms as f64 / 1_000.0,
            self.order_pause_ms,
            self.more_settings
        )
    }
}

#[derive(Debug, Default)]
struct Lines {
    lines: Mutex<Vec<String>>,
    changed: Condvar,
}

/// `VmProcess` is one run of an entry VM's program. It is killed when it is dropped.
#[derive(Debug)]
pub struct VmProcess {
    process: Child,
    lines: Arc<Lines>,
    settings: NamedTempFile,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the VM takes callers.
    pub ready: SocketAddr,
    /// Where metrics are read.
    pub metrics: SocketAddr,
}

impl VmProcess {
    /// Starts a process and waits until it listens.
    ///
    /// # Errors
    ///
    /// Any of starting it; `TimedOut` if it does not log its addresses.
    pub fn start(options: &VmOptions) -> io::Result<Self> {
        let mut settings = NamedTempFile::new()?;
        settings.write_all(options.settings().as_bytes())?;
        let mut process = Command::new(&options.program)
            .arg("--settings")
            .arg(settings.path())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        let lines = Arc::new(Lines::default());
        if let Some(output) = process.stdout.take() {
            let read = lines.clone();
            thread::Builder::new()
                .name("vm-log".to_owned())
                .spawn(move || read.follow(output))?;
        }
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut vm = Self {
            process,
            lines,
            settings,
            callers: unknown,
            ready: unknown,
            metrics: unknown,
        };
        let start = vm.wait_line("entry VM starts", START_PATIENCE)?;
        vm.callers = address(&start, "callers")?;
        vm.ready = address(&start, "ready")?;
        vm.metrics = address(&start, "metrics")?;
        Ok(vm)
    }

    /// Returns whether the VM takes callers.
    pub fn is_ready(&self, patience: Duration) -> bool {
        is_ready(self.ready, patience)
    }

    /// Returns the metrics.
    ///
    /// # Errors
    ///
    /// Any of reading them.
    pub fn metrics_text(&self, patience: Duration) -> io::Result<String> {
        get(self.metrics, "/metrics", patience).map(|answer| answer.text())
    }

    /// Waits for a log line that holds a text, and returns it.
    ///
    /// # Errors
    ///
    /// `TimedOut` if none comes.
    pub fn wait_line(&self, text: &str, patience: Duration) -> io::Result<String> {
        let until = Instant::now() + patience;
        let mut lines = self.lines.lines.lock();
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return Ok(line.clone());
            }
            if self.lines.changed.wait_until(&mut lines, until).timed_out() {
                let detail = format!("no log line with {text:?}");
                return Err(io::Error::new(io::ErrorKind::TimedOut, detail));
            }
        }
    }

    /// Returns the log lines that hold a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lines.lock();
        lines
            .iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Any of the system, as when the process has been waited for.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = Pid::from_raw(self.process.id() as i32);
        kill(id, signal).map_err(io::Error::from)
    }

    /// Returns how the process ended, or none while it runs.
    ///
    /// # Errors
    ///
    /// Any of the system.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.process.try_wait()
    }

    /// Returns the process's number.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Returns the path of the settings file.
    pub fn settings_path(&self) -> &Path {
        self.settings.path()
    }
}

impl Drop for VmProcess {
    fn drop(&mut self) {
        // The process may have ended by itself.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Lines {
    fn follow(&self, output: impl io::Read) {
        for line in BufReader::new(output).lines().map_while(Result::ok) {
            self.lines.lock().push(line);
            self.changed.notify_all();
        }
    }
}

fn address(line: &str, key: &str) -> io::Result<SocketAddr> {
    let fields: Value = serde_json::from_str(line)?;
    fields["fields"][key]
        .as_str()
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| io::Error::new(io::ErrorKind::InvalidData, format!("no {key} in {line}")))
}
