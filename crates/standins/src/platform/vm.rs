//! Entry VMs as real processes on loopback.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
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

use crate::platform::caller::get;
use crate::platform::caller::is_ready;

/// Maximum time from the start of a process until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Options with which an entry VM is started.
#[derive(Clone, Debug)]
pub struct VmOptions {
    /// Path of the program that serves as the entry VM.
    pub program: PathBuf,
    /// Name of the VM, as its settings state it.
    pub name: String,
    /// Availability zone of the VM, as its settings state it.
    pub zone: String,
    /// Address of the VM's interface: it listens there, and its connections come from there.
    pub address: IpAddr,
    /// Address of the store's endpoint.
    pub store: SocketAddr,
    /// Address on which callers connect; none for a port that the system chooses.
    pub callers: Option<SocketAddr>,
    /// Maximum duration of a planned stop, in milliseconds.
    pub stop_ms: u64,
    /// Pause in milliseconds before the first order of a new lease holder, for engines that don't
    /// check fencing tokens.
    pub order_pause_ms: u64,
    /// Rate in megabytes a second at which the store sends reads, as the VM's settings state it.
    pub read_mb_per_s: f64,
    /// Retries that all VMs together may add per request, and beyond that within the window.
    pub repeats: (f64, u32),
    /// Further lines of the settings file.
    pub more_settings: String,
}

impl VmOptions {
    /// Returns the options of a VM on ports that the system chooses.
    pub fn new(program: impl Into<PathBuf>, name: &str, store: SocketAddr) -> Self {
        Self {
            program: program.into(),
            name: name.to_owned(),
            zone: "zone-a".to_owned(),
            address: IpAddr::V4(Ipv4Addr::LOCALHOST),
            store,
            callers: None,
            stop_ms: 8_000,
            order_pause_ms: 300,
            read_mb_per_s: 80.0,
            repeats: (0.2, 50),
            more_settings: String::new(),
        }
    }

    fn settings(&self) -> String {
        let any = SocketAddr::new(self.address, 0);
        format!(
            "[vm]\nname = {}\navailability_zone = {}\naddress = {}\n\
             [callers]\nlisten = {}\nready = {any}\n\
             [peers]\nlisten = {any}\n[metrics]\nlisten = {any}\n\
             [store]\naddress = {}\nread_mb_per_s = {}\n\
             [bounds]\nstop_s = {}\nengines_check_fences = true\norder_pause_ms = {}\n\
             repeats_per_request = {}\nspare_repeats = {}\nrepeats_window_s = 10\n[log]\nlevel = info\n{}",
            self.name,
            self.zone,
            self.address,
            self.callers.unwrap_or(any),
            self.store,
            self.read_mb_per_s,
            self.stop_ms as f64 / 1_000.0,
            self.order_pause_ms,
            self.repeats.0,
            self.repeats.1,
            self.more_settings
        )
    }
}

#[derive(Debug, Default)]
struct Lines {
    lines: Mutex<Vec<String>>,
    changed: Condvar,
}

/// Process of an entry VM, which is killed when it is dropped.
#[derive(Debug)]
pub struct VmProcess {
    process: Child,
    lines: Arc<Lines>,
    settings: NamedTempFile,
    /// Address on which callers connect.
    pub callers: SocketAddr,
    /// Address of the load balancer's readiness check.
    pub ready: SocketAddr,
    /// Address at which metrics are read.
    pub metrics: SocketAddr,
}

impl VmProcess {
    /// Starts a process and waits until it listens.
    ///
    /// # Errors
    ///
    /// Errors of starting the process; `TimedOut` if it does not log its addresses in time.
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
        let start = vm.wait_line("entry VM starts", START_TIMEOUT)?;
        vm.callers = address(&start, "callers")?;
        vm.ready = address(&start, "ready")?;
        vm.metrics = address(&start, "metrics")?;
        Ok(vm)
    }

    /// Returns whether the VM accepts callers.
    pub fn is_ready(&self, timeout: Duration) -> bool {
        is_ready(self.ready, timeout)
    }

    /// Returns the text of the metrics.
    ///
    /// # Errors
    ///
    /// Errors of connecting and reading.
    pub fn metrics_text(&self, timeout: Duration) -> io::Result<String> {
        get(self.metrics, "/metrics", timeout).map(|answer| answer.text())
    }

    /// Waits for a log line that contains a text, and returns it.
    ///
    /// # Errors
    ///
    /// `TimedOut` if there is no such line in time.
    pub fn wait_line(&self, text: &str, timeout: Duration) -> io::Result<String> {
        let deadline = Instant::now() + timeout;
        let mut lines = self.lines.lines.lock();
        loop {
            if let Some(line) = lines.iter().find(|line| line.contains(text)) {
                return Ok(line.clone());
            }
            if self
                .lines
                .changed
                .wait_until(&mut lines, deadline)
                .timed_out()
            {
                let detail = format!("no log line with {text:?}");
                return Err(io::Error::new(io::ErrorKind::TimedOut, detail));
            }
        }
    }

    /// Returns the log lines that contain a text.
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
    /// Errors of the system, as when the process has ended and been waited for.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let id = Pid::from_raw(self.process.id() as i32);
        kill(id, signal).map_err(io::Error::from)
    }

    /// Returns the exit status of the process, or none while it runs.
    ///
    /// # Errors
    ///
    /// Errors of the system.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.process.try_wait()
    }

    /// Returns the process ID.
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
        // The process may already have ended.
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
