//! Small deployment: a store with a configuration, and upstreams with entries in its list.

use std::env;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;

use crate::names::name;

/// Interval between two writes of an upstream's entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time after which VMs that are ready have read the entries of all upstreams.
pub const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// Returns whether the disruption is to take place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Starts a store with a number of endpoints and a configuration with one service of engines,
/// `llm`, for a number of models, and one plain service, `plain`. Neither has an upstream yet.
pub fn start_site(store_endpoints: usize, models: usize) -> io::Result<Arc<Site>> {
    let site = Site::start(SiteOptions {
        engines: Vec::new(),
        instances: 0,
        store_endpoints,
        models: (0..models).map(|index| format!("m{index}")).collect(),
        timeout_ms: 4_000,
        ..SiteOptions::default()
    })?;
    Ok(Arc::new(site))
}

/// Writes an upstream's entry at its interval. `more` returns further fields, each behind a comma.
pub fn announce(
    site: &Arc<Site>,
    service: &'static str,
    instance: &str,
    address: SocketAddr,
    slots: u32,
    more: impl Fn() -> String + Send + 'static,
) {
    let (site, instance) = (site.clone(), instance.to_owned());
    thread::spawn(move || {
        for sequence in 1.. {
            let entry = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"zone-a\",\
                 \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\
                 \"cold_remaining_ms\":0,\"sequence\":{sequence}{}}}",
                more()
            );
            site.store_endpoints[0].put(name("entries"), &instance, entry.as_bytes());
            thread::sleep(HEARTBEAT);
        }
    });
}

/// Requests in the order in which upstreams began to run them, with the upstream.
#[derive(Default)]
pub struct Runs(Mutex<Vec<(String, String)>>);

impl Runs {
    /// Adds a run.
    pub fn add(&self, id: &str, instance: &str) {
        let run = (id.to_owned(), instance.to_owned());
        self.0.lock().expect("no writer panics").push(run);
    }

    /// Returns the upstreams that ran a request.
    pub fn of(&self, id: &str) -> Vec<String> {
        let runs = self.0.lock().expect("no writer panics");
        let runs = runs.iter().filter(|(run, _)| run == id);
        runs.map(|(_, instance)| instance.clone()).collect()
    }

    /// Returns the requests that ran more than once.
    pub fn repeated(&self) -> Vec<String> {
        let runs = self.0.lock().expect("no writer panics").clone();
        let mut ids: Vec<String> = runs.into_iter().map(|(id, _)| id).collect();
        ids.sort_unstable();
        let mut repeated: Vec<String> = ids
            .windows(2)
            .filter(|pair| pair[0] == pair[1])
            .map(|pair| pair[0].clone())
            .collect();
        repeated.dedup();
        repeated
    }
}
