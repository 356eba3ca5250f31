//! Open-loop driver, which sends the requests of a schedule at their times.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::unbounded;

use crate::errors::Error;
use crate::errors::Result;
use crate::load::caller_retries::CallerRetries;
use crate::load::client::Client;
use crate::load::clock::RunClock;
use crate::load::record::Record;
use crate::load::schedule::PlannedRequest;

/// Stack size of a client thread, of which a run has more than a thousand by default.
const STACK_BYTES: usize = 256 * 1024;

/// Sends each request of the schedule at its time, and returns the records in the order of the
/// schedule once all requests have ended. A request is sent without regard to the answers of
/// others as long as one of the `threads` client threads is idle. Otherwise it waits for a thread,
/// which shows in the record's time of sending. Stops early once `stop` is set.
///
/// # Errors
///
/// If a thread can't be started or panics.
pub fn drive(
    client: &Client,
    clock: RunClock,
    schedule: &Arc<Vec<PlannedRequest>>,
    caller_retries: CallerRetries,
    threads: usize,
    stop: &AtomicBool,
) -> Result<Vec<Record>> {
    let (sender, receiver) = unbounded();
    let workers = (0..threads)
        .map(|_| {
            let worker = Worker {
                client: client.clone(),
                clock,
                schedule: Arc::clone(schedule),
                caller_retries,
            };
            worker.start(receiver.clone())
        })
        .collect::<Result<Vec<_>>>()?;
    for (index, planned) in schedule.iter().enumerate() {
        clock.wait_until(planned.at);
        if stop.load(Ordering::Relaxed) {
            break;
        }
        sender
            .send(index)
            .expect("the receiver lives until all workers have ended");
    }
    drop(sender);
    let mut records = Vec::new();
    for worker in workers {
        let ended = worker.join();
        records.extend(ended.map_err(|_| Error::failed("a client thread panicked"))?);
    }
    records.sort_by_key(|record| record.planned);
    Ok(records)
}

/// State of one client thread.
struct Worker {
    client: Client,
    clock: RunClock,
    schedule: Arc<Vec<PlannedRequest>>,
    caller_retries: CallerRetries,
}

impl Worker {
    fn start(self, due: Receiver<usize>) -> Result<JoinHandle<Vec<Record>>> {
        let work = move || due.iter().flat_map(|index| self.send(index)).collect();
        let started = thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
        started.map_err(|error| Error::failed(format!("starting a client thread: {error}")))
    }

    /// Sends a request, and once more if its caller retries after a refusal.
    fn send(&self, index: usize) -> Vec<Record> {
        let planned = &self.schedule[index];
        let first = self.client.send(index, planned);
        let Some(retry_at) = self.caller_retries.retry_at(&first) else {
            return vec![first];
        };
        self.clock.wait_until(retry_at);
        let second = Record {
            is_caller_retry: true,
            ..self.client.send(index, planned)
        };
        vec![first, second]
    }
}

/// Delay of the load tool itself against its schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lateness {
    /// Longest delay of a request.
    pub largest: Duration,
    /// Number of requests that were sent later than tolerated.
    pub late: usize,
}

/// Returns how late the requests were sent. Retries by callers don't count.
pub fn lateness(schedule: &[PlannedRequest], records: &[Record], tolerated: Duration) -> Lateness {
    let mut lateness = Lateness::default();
    for record in records.iter().filter(|record| !record.is_caller_retry) {
        let delay = record.sent.saturating_sub(schedule[record.planned].at);
        lateness.largest = lateness.largest.max(delay);
        lateness.late += usize::from(delay > tolerated);
    }
    lateness
}
