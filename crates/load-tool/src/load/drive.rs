//! Sends the requests of a schedule at their times.

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
use crate::load::client::Client;
use crate::load::clock::RunClock;
use crate::load::record::Record;
use crate::load::returning::Returning;
use crate::load::schedule::Planned;

/// The stack of a client's thread.
const STACK_BYTES: usize = 256 * 1024;

/// Sends each request of the schedule at its time and returns the records, in order of the
/// schedule, once all have ended. No request waits for another's answer as long as a client's
/// thread is free; a request that had to wait for one shows that by the time at which it was sent.
///
/// # Errors
///
/// If a thread can't be started or panics.
pub fn drive(
    client: &Client,
    clock: RunClock,
    schedule: &Arc<Vec<Planned>>,
    returning: Returning,
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
                returning,
            };
            worker.start(receiver.clone())
        })
        .collect::<Result<Vec<_>>>()?;
    for (index, planned) in schedule.iter().enumerate() {
        clock.wait_until(planned.at);
        if stop.load(Ordering::Relaxed) {
            break;
        }
        sender.send(index).expect("the workers hold the receiver");
    }
    drop(sender);
    let mut records = Vec::new();
    for worker in workers {
        let ended = worker.join();
        records.extend(ended.map_err(|_| Error::failed("a client panicked"))?);
    }
    records.sort_by_key(|record| record.planned);
    Ok(records)
}

/// `Worker` is what one thread of the clients works with.
struct Worker {
    client: Client,
    clock: RunClock,
    schedule: Arc<Vec<Planned>>,
    returning: Returning,
}

impl Worker {
    fn start(self, due: Receiver<usize>) -> Result<JoinHandle<Vec<Record>>> {
        let work = move || due.iter().flat_map(|index| self.send(index)).collect();
        let started = thread::Builder::new().stack_size(STACK_BYTES).spawn(work);
        started.map_err(|error| Error::failed(format!("starting a client: {error}")))
    }

    /// Sends a request, and once more if its caller comes back.
    fn send(&self, index: usize) -> Vec<Record> {
        let planned = &self.schedule[index];
        let first = self.client.send(index, planned);
        let Some(moment) = self.returning.moment(&first) else {
            return vec![first];
        };
        self.clock.wait_until(moment);
        let second = Record {
            is_return: true,
            ..self.client.send(index, planned)
        };
        vec![first, second]
    }
}

/// `Lateness` is by how much the tool itself fell behind its schedule.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Lateness {
    /// The largest delay of a request.
    pub largest: Duration,
    /// Requests that were sent late.
    pub late: usize,
}

/// Returns by how much requests were sent after their times.
pub fn lateness(schedule: &[Planned], records: &[Record], tolerated: Duration) -> Lateness {
    let mut lateness = Lateness::default();
    for record in records.iter().filter(|record| !record.is_return) {
        let delay = record.sent.saturating_sub(schedule[record.planned].at);
        lateness.largest = lateness.largest.max(delay);
        lateness.late += usize::from(delay > tolerated);
    }
    lateness
}
