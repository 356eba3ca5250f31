//! Site with one entry VM and stand-ins of the users' platform, for experiments with requests.

use std::io::Write;
use std::time::Duration;

use apricotdale_standins::platform::CrashMarker;
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

/// Timeout of a readiness check, so that a start with a hanging VM ends.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of engines; it exceeds the number of engines that one crashing request can end.
const ENGINE_COUNT: usize = 8;

/// Text in the body of a request that crashes the engine.
const CRASH_MARKER: &[u8] = b"crash";

/// Time for which such a request runs before the crash.
const CRASH_AFTER_MS: u64 = 100;

/// Text in the body of a request from which on an instance of the service states a rate limit, and
/// the limit.
const LIMIT_MARKER: &[u8] = b"in-need";
const STATED_LIMIT: &str = "0.2";

/// Text in the body of a request that an instance of the service rejects, and the rest in seconds
/// that it asks for. It exceeds the timeout of the routes.
const REST_MARKER: &[u8] = b"tired";
const STATED_REST: &str = "12";

/// Text in the body of a request from which on an instance of the service states that it leaves.
const LEAVE_MARKER: &[u8] = b"farewell";

/// Organisations with their limits in tokens per second; 0 for one without a limit.
const ORGANISATIONS: [(&str, f64); 2] = [("north", 0.0), ("south", 1_000.0)];

/// Burst that a limit allows, in seconds of its rate.
const BURST_S: f64 = 4.0;

/// Running site with one VM and two organisations, one of which has a limit.
pub struct EntryUp {
    site: Site,
    vm: VmProcess,
    /// Names of the organisations with their keys.
    keys: Vec<(String, String)>,
}

impl EntryUp {
    /// Starts a site, prints its keys and its address, and runs it until SIGINT or SIGTERM.
    ///
    /// # Errors
    ///
    /// Those of [`EntryUp::start`], and `Error::Io` if the output can't be written.
    pub fn run(out: &mut dyn Write) -> Result<()> {
        let mut signals = Signals::new([SIGINT, SIGTERM])?;
        let running = Self::start()?;
        running.write_addresses(out)?;
        signals.forever().next();
        drop(running.vm);
        running.site.stop();
        Ok(())
    }

    /// Starts the stand-ins and the VM, and waits until the VM is ready. The keys are random.
    ///
    /// # Errors
    ///
    /// `Error::MissingProgram` if the VM's program has not been built, `Error::Io` if a stand-in or
    /// the VM can't be started, `Error::PollLimitReached` if the VM does not become ready.
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
                marker: CrashMarker::Body(CRASH_MARKER.to_vec()),
                after_events: 0,
                after_ms: CRASH_AFTER_MS,
            }],
            ..EngineOptions::default()
        };
        let site = Site::start(SiteOptions {
            engines: (0..ENGINE_COUNT).map(engine).collect(),
            timeout_ms: 10_000,
            tenants: Some(SiteOrganisation::list(&organisations)),
            service_limit: Some((LIMIT_MARKER.to_vec(), STATED_LIMIT.to_owned())),
            ..SiteOptions::default()
        })?;
        for service in &site.services {
            service.ask_for_rest_on(REST_MARKER, STATED_REST);
            service.leave_on(LEAVE_MARKER);
        }
        let vm = VmProcess::start(&VmOptions::new(&program, "vm0", site.store_addresses[0]))?;
        poll_until("the VM is ready", MAX_POLLS, || {
            Ok(vm.is_ready(ANSWER_TIMEOUT).then_some(()))
        })?;
        let keys =
            organisations.map(|organisation| (organisation.name, organisation.keys.concat()));
        Ok(Self {
            site,
            vm,
            keys: keys.to_vec(),
        })
    }

    /// Writes the keys, and in the last line the address for callers.
    fn write_addresses(&self, out: &mut dyn Write) -> Result<()> {
        for (name, key) in &self.keys {
            writeln!(out, "key {name} {key}")?;
        }
        writeln!(out, "ready http://{}", self.vm.callers)?;
        out.flush()?;
        Ok(())
    }
}
