//! Callers that add load for a time: bursts, an organisation far above its limit, and models asked
//! for in turn.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::SiteRequest;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::bodies::own_body;
use crate::fault::Trouble;
use crate::keys::INITIAL_RATE_PER_S;
use crate::keys::LIMITED_ORGANISATION;
use crate::keys::STABLE_ORGANISATION;
use crate::plan::Burst;
use crate::record::Kind;
use crate::workload::CALLER_TIMEOUT_MS;
use crate::workload::KEY_SEED_MASK;
use crate::workload::MODELS_IN_TURN;
use crate::workload::Workload;
use crate::workload::draw_kind;

/// Consecutive requests of a caller for each model asked for in turn.
const REQUESTS_PER_TURN: usize = 2;

/// One in this many requests for models asked for in turn has the rank of other streams.
const MORE_URGENT_ONE_IN: u32 = 4;

/// Pause of a caller between two requests for models asked for in turn.
const IN_TURN_PAUSE_MS: u64 = 20;

impl Workload {
    /// Sends the requests of which a fault consists, until it ends. Returns whether it is such a
    /// fault.
    pub fn send_load(&self, trouble: &Trouble, seed: u64) -> bool {
        match trouble {
            Trouble::OverLimit {
                times,
                callers,
                for_ms,
            } => {
                let rate_per_s = u64::from(times * INITIAL_RATE_PER_S);
                let pause_ms = *callers as u64 * 1_000 / rate_per_s;
                self.send_from(*callers, *for_ms, |number, until_ms| {
                    let draw = |random: &mut ChaCha8Rng| {
                        let kind = draw_kind(random);
                        (kind, self.new_request(kind, random))
                    };
                    let caller_seed = seed.wrapping_add(number as u64);
                    self.send_until(until_ms, pause_ms, LIMITED_ORGANISATION, caller_seed, draw);
                });
                true
            }
            Trouble::ModelsInTurn { callers, for_ms } => {
                self.send_from(*callers, *for_ms, |number, until_ms| {
                    // The callers begin at different models, so that many are wanted at a time.
                    let first = number * MODELS_IN_TURN.len() / callers;
                    let mut sent = 0;
                    let draw = |random: &mut ChaCha8Rng| {
                        let index = first + sent / REQUESTS_PER_TURN;
                        sent += 1;
                        self.request_in_turn(MODELS_IN_TURN[index % MODELS_IN_TURN.len()], random)
                    };
                    let caller_seed = seed.wrapping_add(number as u64);
                    let organisation = STABLE_ORGANISATION;
                    self.send_until(until_ms, IN_TURN_PAUSE_MS, organisation, caller_seed, draw);
                });
                true
            }
            _ => false,
        }
    }

    /// Sends calls of an organisation to VMs drawn at random until the burst or the workload ends.
    pub fn run_burst(&self, burst: &Burst, seed: u64) {
        let until_ms = self.clock.now_ms() + burst.for_ms;
        let draw = |random: &mut ChaCha8Rng| {
            let kind = match random.random_bool(0.5) {
                true => Kind::Look,
                false => Kind::Book,
            };
            (kind, self.new_request(kind, random))
        };
        self.send_until(until_ms, burst.pause_ms, burst.organisation, seed, draw);
    }

    /// Runs a number of callers for a time; `run` gets the caller's number and the end.
    fn send_from(&self, callers: usize, for_ms: u64, run: impl Fn(usize, u64) + Sync) {
        let until_ms = self.clock.now_ms() + for_ms;
        let run = &run;
        thread::scope(|scope| {
            (0..callers).for_each(|number| {
                scope.spawn(move || run(number, until_ms));
            });
        });
    }

    /// Sends requests of an organisation to VMs drawn at random until a time or the workload's end.
    fn send_until(
        &self,
        until_ms: u64,
        pause_ms: u64,
        organisation: usize,
        seed: u64,
        mut draw: impl FnMut(&mut ChaCha8Rng) -> (Kind, SiteRequest),
    ) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut key_random = ChaCha8Rng::seed_from_u64(seed ^ KEY_SEED_MASK);
        let mut kept: Option<(usize, SocketAddr, Caller)> = None;
        while !self.stopped.load(Ordering::Acquire) && self.clock.now_ms() < until_ms {
            let (vm, connection) = match kept.take() {
                Some((vm, address, caller)) => (vm, Some((address, caller))),
                None => (random.random_range(0..self.vms.len()), None),
            };
            let (kind, request) = draw(&mut random);
            let keyed = self
                .keys
                .with_drawn_key(&request, organisation, &mut key_random);
            let (attempt, connection) = self.attempt(vm, kind, &keyed, connection, None);
            self.attempts.lock().push(attempt);
            kept = connection.map(|(address, caller)| (vm, address, caller));
            thread::sleep(Duration::from_millis(pause_ms));
        }
    }

    /// Returns a stream of a model asked for in turn, with a new ID.
    fn request_in_turn(&self, model: &str, random: &mut ChaCha8Rng) -> (Kind, SiteRequest) {
        let id = self.new_id();
        let request = match random.random_ratio(1, MORE_URGENT_ONE_IN) {
            true => SiteRequest::patient(&id, model),
            false => SiteRequest::rare(&id, model),
        };
        let request = request.with_body(own_body(&id).as_bytes());
        let request = request.with_timeout_ms(CALLER_TIMEOUT_MS);
        self.sent.lock().insert(id, request.clone());
        (Kind::Patient, request)
    }
}
