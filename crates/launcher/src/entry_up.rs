//! An entry VM before stand-ins of the users' platform, to try callers' requests on.

use std::io::Write;
use std::time::Duration;

use apricotdale_standins::platform::CrashTrigger;
use apricotdale_standins::platform::EngineOptions;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteLimit;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteOrganisation;
use apricotdale_standins::platform::VmOptions;
use apricotdale_standins::platform::VmProcess;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

use crate::errors::Result;
use crate::poll::MAX_POLLS;
use crate::poll::poll_until;
use crate::programs::Program;

/// How long an answer may take. It is a limit for failures only.
const PATIENCE: Duration = Duration::from_secs(20);

/// More than end under one request that crashes engines.
const ENGINES: usize = 8;

/// The body of a request under which an engine ends holds this.
const CRASH_MARKER: &[u8] = b"crash";

/// How long such a request runs.
const CRASH_AFTER_MS: u64 = 100;

/// Organisations with the tokens that each may use a second; 0 for one without a limit.
const ORGANISATIONS: [(&str, f64); 2] = [("north", 0.0), ("south", 1_000.0)];

/// How much of its limit an organisation may use at once.
const BURST_S: f64 = 4.0;

/// `EntryUp` is a site with one VM and two organisations, of which one has a limit.
pub struct EntryUp {
    site: Site,
    vm: VmProcess,
    /// The organisations' names and keys.
    keys: Vec<(String, String)>,
}

impl EntryUp {
    /// Runs a site until SIGINT or SIGTERM.
    ///
    /// # Errors
    ///
    /// Those of [`EntryUp::start`], and any of writing.
    pub fn run(out: &mut dyn Write) -> Result<()> {
        let mut signals = Signals::new([SIGINT, SIGTERM])?;
        let running = Self::start()?;
        running.tell(out)?;
        signals.forever().next();
        drop(running.vm);
        running.site.stop();
        Ok(())
    }

    /// Starts the stand-ins and the VM, and waits until it takes callers. The keys are drawn.
    ///
    /// # Errors
    ///
    /// `Error::MissingProgram` if the VM's program has not been built; any of starting processes.
    pub fn start() -> Result<Self> {
        let program = Program::Entry.path()?;
        let organisations = ORGANISATIONS.map(|(name, tokens_per_s)| SiteOrganisation {
            name: name.to_owned(),
            keys: vec![format!("{name}-{:032x}", rand::random::<u128>())],
            limit: (tokens_per_s > 0.0)
                .then(|| SiteLimit::tokens(tokens_per_s, tokens_per_s * BURST_S)),
        });
        let engine = |index: usize| EngineOptions {
            instance: format!("i-{index}"),
            models: vec!["m0".to_owned()],
            crashes: vec![CrashTrigger {
                marker: CRASH_MARKER.to_vec(),
                after_events: 0,
                after_ms: CRASH_AFTER_MS,
            }],
            ..EngineOptions::default()
        };
        let site = Site::start(SiteOptions {
            engines: (0..ENGINES).map(engine).collect(),
            timeout_ms: 10_000,
            tenants: Some(SiteOrganisation::list(&organisations)),
            ..SiteOptions::default()
        })?;
        let vm = VmProcess::start(&VmOptions::new(&program, "vm0", site.store_addresses[0]))?;
        poll_until("the VM takes callers", MAX_POLLS, || {
            Ok(vm.is_ready(PATIENCE).then_some(()))
        })?;
        let keys = organisations.map(|it| (it.name, it.keys.concat()));
        Ok(Self {
            site,
            vm,
            keys: keys.to_vec(),
        })
    }

    /// Writes the keys, and last where callers connect.
    fn tell(&self, out: &mut dyn Write) -> Result<()> {
        for (name, key) in &self.keys {
            writeln!(out, "key {name} {key}")?;
        }
        writeln!(out, "ready http://{}", self.vm.callers)?;
        out.flush()?;
        Ok(())
    }
}
