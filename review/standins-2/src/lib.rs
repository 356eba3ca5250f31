//! What the scripts of the second review share: entry VMs started as the deploy file says, the
//! record of a run, and its end.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal::Signal;
use nix::sys::signal::kill;
use nix::unistd::Pid;

/// Exit code of a run in which the rule was broken.
pub const BROKEN: i32 = 1;

/// Exit code of a run that could not be carried out.
pub const NOT_RUN: i32 = 2;

/// Returns whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the run because it could not be carried out.
pub fn give_up(why: &str) -> ! {
    eprintln!("not run: {why}");
    std::process::exit(NOT_RUN)
}

/// Record of a run: one line an event, with the seconds since its start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the file that the script names in its first argument.
    pub fn create() -> Self {
        let path = std::env::args().nth(1);
        let path = path.unwrap_or_else(|| give_up("no path of a record is given"));
        match File::create(&path) {
            Ok(file) => Self {
                file: Arc::new(Mutex::new(file)),
                started: Instant::now(),
            },
            Err(error) => give_up(&format!("the record can't be created: {error}")),
        }
    }

    /// Writes one line.
    pub fn note(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:9.3} {text}");
        }
    }

    /// Writes one line there and on standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.note(text);
    }

    /// Returns the seconds from the start of the run to a moment.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.started).as_secs_f64()
    }
}

/// What the platform would fill into the template of the settings.
#[derive(Clone, Debug)]
pub struct VmPlan {
    /// `node_name`.
    pub name: String,
    /// `zone`.
    pub zone: String,
    /// `ip`: a loopback address of its own.
    pub ip: IpAddr,
    /// `platform.address`.
    pub store: SocketAddr,
    /// `bounds.fence_required`.
    pub fence_required: bool,
}

/// Entry VM as a process, killed when it is dropped.
pub struct Vm {
    process: Child,
    settings: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where readiness is asked for.
    pub ready: SocketAddr,
}

/// Returns an address with a port that is free now.
fn free(ip: IpAddr) -> SocketAddr {
    let listener = TcpListener::bind(SocketAddr::new(ip, 0));
    match listener.and_then(|listener| listener.local_addr()) {
        Ok(address) => address,
        Err(error) => give_up(&format!("no free port at {ip}: {error}")),
    }
}

impl Vm {
    /// Starts the program of the deploy file with settings from its template.
    pub fn start(plan: &VmPlan) -> Self {
        match Self::try_start(plan) {
            Ok(vm) => vm,
            Err(error) => give_up(&format!("{} does not start: {error}", plan.name)),
        }
    }

    fn try_start(plan: &VmPlan) -> io::Result<Self> {
        let (callers, ready) = (free(plan.ip), free(plan.ip));
        let peers = free(plan.ip);
        let metrics = free(plan.ip);
        let filled = [
            ("{{node_name}}", plan.name.clone()),
            ("{{zone}}", plan.zone.clone()),
            ("{{listen.front}}", callers.to_string()),
            ("{{listen.ready}}", ready.to_string()),
            ("{{ip}}:9464", metrics.to_string()),
            ("{{ip}}:{{internal_ports.0}}", peers.to_string()),
            ("{{platform.address}}", plan.store.to_string()),
            ("{{platform.read_mb_per_s}}", "80.0".to_owned()),
            ("{{bounds.grace_s}}", "8".to_owned()),
            ("{{bounds.fence_required}}", plan.fence_required.to_string()),
            ("{{bounds.lease_ms}}", "3000".to_owned()),
            ("{{bounds.budget_ratio}}", "0.2".to_owned()),
            ("{{bounds.budget_slack}}", "54".to_owned()),
            ("{{bounds.budget_window_s}}", "10".to_owned()),
        ];
        let mut text = std::fs::read_to_string("deploy/entry.ini")?;
        for (name, value) in filled {
            text = text.replace(name, &value);
        }
        // The machine's own address, from which its connections come.
        text = text.replace("[vm]\n", &format!("[vm]\naddress = {}\n", plan.ip));
        // Bounds of other deployments are absent here.
        let lines = text.lines().filter(|line| !line.contains("{{"));
        let text: Vec<&str> = lines.collect();
        let file = format!(
            "apricotdale-review-{}-{}.ini",
            std::process::id(),
            callers.port()
        );
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text.join("\n") + "\n")?;
        let mut process = Command::new("target/release/apricotdale-entry")
            .env("APRICOTDALE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        let lines = Arc::new(Mutex::new(Vec::new()));
        if let Some(output) = process.stdout.take() {
            let kept = lines.clone();
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    if let Ok(mut kept) = kept.lock() {
                        kept.push(line);
                    }
                }
            });
        }
        Ok(Self {
            process,
            settings,
            lines,
            callers,
            ready,
        })
    }

    /// Returns whether the process has logged a line with a text.
    pub fn has_logged(&self, text: &str) -> bool {
        let lines = self.lines.lock();
        lines.is_ok_and(|lines| lines.iter().any(|line| line.contains(text)))
    }

    /// Returns the lines with a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock();
        lines.map_or_else(
            |_| Vec::new(),
            |lines| {
                let found = lines.iter().filter(|line| line.contains(text));
                found.cloned().collect()
            },
        )
    }

    /// Waits until the VM reports itself as ready for callers.
    pub fn wait_ready(&self) {
        wait("a VM is ready", || {
            apricotdale_standins::platform::is_ready(self.ready, Duration::from_secs(1))
        });
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: Signal) {
        let _ = kill(Pid::from_raw(self.process.id() as i32), signal);
    }

    /// Returns the process's ID.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Kills the process and waits for its end.
    pub fn end(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.process.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Returns the resident memory of the process in bytes; 0 if it has ended.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.process.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find(|line| line.starts_with("VmRSS:"));
        let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.end();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Waits until a condition holds, for 20 s at most.
pub fn wait(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + Duration::from_secs(20);
    while !condition() {
        if Instant::now() > until {
            give_up(&format!("timed out: {what}"));
        }
        thread::sleep(Duration::from_millis(5));
    }
}
