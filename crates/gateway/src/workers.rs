//! Threads for work that may block on an upstream, reused for a while after each job.

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;
use crossbeam_channel::TrySendError;

/// How long an idle thread waits for a job before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Job = Box<dyn FnOnce() + Send>;

/// Runs each job at once on a thread of its own: an idle one, or else a new one. There is no limit
/// and no queue, because a job queued behind unresponsive upstreams would be late through no fault
/// of its own. Threads are reused because starting one for each job is slower on a busy machine.
pub(crate) struct Workers {
    stack_bytes: usize,
    job_sender: Sender<Job>,
    job_receiver: Receiver<Job>,
}

impl Workers {
    pub(crate) fn new(stack_bytes: usize) -> Self {
        // With a capacity of 0, a job is accepted only by a thread that is waiting for one now.
        let (job_sender, job_receiver) = crossbeam_channel::bounded(0);
        Self {
            stack_bytes,
            job_sender,
            job_receiver,
        }
    }

    /// Runs a job, without waiting for its end.
    ///
    /// # Errors
    ///
    /// If a new thread is needed and can't be started.
    pub(crate) fn run(&self, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
        match self.job_sender.try_send(Box::new(job)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => self.start(job),
        }
    }

    fn start(&self, first: Job) -> io::Result<()> {
        let job_receiver = self.job_receiver.clone();
        thread::Builder::new()
            .name("gateway-upstream".to_owned())
            .stack_size(self.stack_bytes)
            .spawn(move || {
                first();
                while let Ok(job) = job_receiver.recv_timeout(IDLE_TIMEOUT) {
                    job();
                }
            })?;
        Ok(())
    }
}
