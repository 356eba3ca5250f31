//! Writer of log lines that never blocks the threads that log.

use std::io::Write;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crossbeam_channel::Receiver;
use crossbeam_channel::Sender;

use crate::errors::Error;
use crate::errors::Result;

/// Longest time that a flush waits for a slot in the queue, and again until its lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

enum Command {
    Write(Vec<u8>),
    Flush(Sender<()>),
}

/// Writer that hands lines to a thread of its own, over a bounded queue.
///
/// A write blocks while the reader of the log stalls. If the serving threads wrote the lines
/// themselves, every request would stop at its next log line and miss its deadline although its
/// upstream is healthy. With the queue, lines are dropped and counted instead.
pub struct LineWriter {
    commands: Sender<Command>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the writing thread with a queue of at most `queued_lines` lines (at least one).
    ///
    /// # Errors
    ///
    /// [`Error::Thread`] if the thread can't be started.
    pub fn start(writer: Box<dyn Write + Send>, queued_lines: usize) -> Result<Self> {
        let (commands, queue) = crossbeam_channel::bounded(queued_lines.max(1));
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_all(writer, &queue))
            .map_err(Error::Thread)?;
        Ok(Self {
            commands,
            dropped: Arc::default(),
        })
    }

    /// Queues a line, which must end with its newline, or drops it if the queue is full. Never
    /// blocks.
    pub fn write(&self, line: Vec<u8>) {
        if self.commands.try_send(Command::Write(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits, for a bounded time, until the lines queued so far are written. Returns whether they
    /// are. A stalled reader delays a stop of the program only by this time.
    pub fn flush(&self) -> bool {
        let (done, written) = crossbeam_channel::bounded(1);
        let queued = self
            .commands
            .send_timeout(Command::Flush(done), FLUSH_TIMEOUT);
        queued.is_ok() && written.recv_timeout(FLUSH_TIMEOUT).is_ok()
    }

    /// Returns the counter of dropped lines, which later drops increase.
    pub fn dropped(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.dropped)
    }
}

fn write_all(mut writer: Box<dyn Write + Send>, queue: &Receiver<Command>) {
    for command in queue {
        // A failed write can't be logged. Later lines are still attempted, since the cause, such as
        // a full file system or a reader that was replaced, may go away.
        match command {
            Command::Write(line) => {
                let _ = writer.write_all(&line);
            }
            Command::Flush(done) => {
                let _ = writer.flush();
                let _ = done.send(());
            }
        }
    }
}
