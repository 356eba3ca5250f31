//! Entry VMs as separate processes, started with the command and the template of the deploy file.

use std::env;
use std::fs;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::process::id;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use apricotdale_standins::platform::is_ready;

/// Program of the deploy file, and the variable that holds the path of its settings.
const PROGRAM: &str = "target/release/apricotdale-entry";
const SETTINGS_VARIABLE: &str = "APRICOTDALE_SETTINGS";

/// Template of the settings.
const TEMPLATE: &str = "deploy/entry.ini";

/// Time within which a process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports of an entry VM; each has an address of its own.
const CALLERS_PORT: u16 = 8149;
const READY_PORT: u16 = 8141;
const PEERS_PORT: u16 = 7380;

/// Process of an entry VM, which is killed when it is dropped.
pub struct Vm {
    process: Child,
    settings: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
    /// Address of the VM, from which its connections come.
    pub address: IpAddr,
    /// Address on which callers connect.
    pub callers: SocketAddr,
}

/// Returns the address of the VM with a number. Addresses differ between runs, so that ports are
/// free.
fn address_of(number: u8) -> IpAddr {
    let run = id();
    let (second, third) = (16 + run / 250 % 200, 1 + run % 250);
    IpAddr::V4(Ipv4Addr::new(127, second as u8, third as u8, 10 + number))
}

impl Vm {
    /// Starts a process and waits until it is ready. `checks_fences` is what the platform says of
    /// its engines.
    pub fn start(number: u8, store: SocketAddr, checks_fences: bool) -> io::Result<Self> {
        let address = address_of(number);
        let name = format!("front-{number}");
        let values = [
            ("node_name", name.clone()),
            ("zone", "zone-a".to_owned()),
            ("listen.front", format!("{address}:{CALLERS_PORT}")),
            ("listen.ready", format!("{address}:{READY_PORT}")),
            ("ip", address.to_string()),
            ("internal_ports.0", PEERS_PORT.to_string()),
            ("platform.address", store.to_string()),
            ("platform.read_mb_per_s", "80.0".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
            ("bounds.fence_required", checks_fences.to_string()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "54".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.quota_window_s", "8".to_owned()),
            ("bounds.quota_over", "0.1".to_owned()),
            ("bounds.quota_slack", "0".to_owned()),
            ("bounds.fail_closed", "false".to_owned()),
            ("bounds.revoke_ms", "5000".to_owned()),
        ];
        let mut text = fs::read_to_string(TEMPLATE)?;
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        // A machine's connections come from its own address.
        text = text.replacen("[vm]\n", &format!("[vm]\naddress = {address}\n"), 1);
        let settings = env::temp_dir().join(format!("review-{}-{name}.ini", id()));
        fs::write(&settings, text)?;
        let mut process = Command::new(PROGRAM)
            .env(SETTINGS_VARIABLE, &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::inherit())
            .spawn()?;
        let lines: Arc<Mutex<Vec<String>>> = Arc::default();
        if let Some(output) = process.stdout.take() {
            let lines = lines.clone();
            thread::spawn(move || {
                for line in BufReader::new(output).lines().map_while(Result::ok) {
                    lines.lock().expect("no writer panics").push(line);
                }
            });
        }
        let vm = Self {
            process,
            settings,
            lines,
            address,
            callers: SocketAddr::new(address, CALLERS_PORT),
        };
        let ready = SocketAddr::new(address, READY_PORT);
        let deadline = Instant::now() + READY_TIMEOUT;
        while !is_ready(ready, Duration::from_secs(1)) {
            if Instant::now() > deadline {
                return Err(io::Error::new(io::ErrorKind::TimedOut, "VM is not ready"));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(vm)
    }

    /// Sends SIGTERM to the process.
    pub fn terminate(&self) -> io::Result<()> {
        let id = self.process.id().to_string();
        let sent = Command::new("kill").args(["-TERM", &id]).status()?;
        match sent.success() {
            true => Ok(()),
            false => Err(io::Error::other("SIGTERM was not sent")),
        }
    }

    /// Returns the log lines that contain a text.
    pub fn lines_with(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("no writer panics");
        let found = lines.iter().filter(|line| line.contains(text));
        found.cloned().collect()
    }

    /// Waits until a log line contains a text. Returns whether one did in time.
    pub fn has_logged(&self, text: &str, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while self.lines_with(text).is_empty() {
            if Instant::now() > deadline {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }

    /// Returns the exit status of the process, or none while it runs.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        self.process.try_wait()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        // The process may already have ended, and the file may be gone.
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = fs::remove_file(&self.settings);
    }
}
