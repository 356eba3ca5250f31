//! Threads for what may block on an upstream, kept for a while for the next request.

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use crossbeam_channel::TrySendError;

/// How long a thread waits for its next job.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// `Workers` runs jobs at once, each on a thread of its own: on one that waits, or else on a new
/// one. There is no limit and no queue, because a job that waited behind silent upstreams would be
/// late through no fault of its own. A thread started anew for each job is slower to run on a busy
/// machine, see `docs/design/callers-interface.md`.
pub(crate) struct Workers {
    stack_bytes: usize,
    jobs: Sender<Job>,
    waiting: Receiver<Job>,
}

impl Workers {
    pub(crate) fn new(stack_bytes: usize) -> Self {
        // Without room in the channel, a job is taken only by a thread that waits for it now.
        let (jobs, waiting) = crossbeam_channel::bounded(0);
        Self {
            stack_bytes,
            jobs,
            waiting,
        }
    }

    /// Runs a job. Returns at once.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
        match self.jobs.try_send(Box::new(job)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => self.start(job),
        }
    }

    fn start(&self, first: Job) -> io::Result<()> {
        let waiting = self.waiting.clone();
        thread::Builder::new()
            .name("gateway-upstream".to_owned())
            .stack_size(self.stack_bytes)
            .spawn(move || {
                first();
                while let Ok(job) = waiting.recv_timeout(IDLE_TIMEOUT) {
                    job();
                }
            })?;
        Ok(())
    }
}
