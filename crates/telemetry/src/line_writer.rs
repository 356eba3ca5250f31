//! Writing lines without making the writers of lines wait.

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

/// The longest time that a flush waits for room in the queue, and again for the lines.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(2);

enum Command {
    Write(Vec<u8>),
    Flush(Sender<()>),
}

/// `LineWriter` writes lines by a thread of its own.
///
/// If whoever reads the log stalls, a write blocks. Written by the serving threads themselves,
/// that would stop every request at its next log line: one would notice deadlines missed on a VM
/// whose upstreams are well. Here the queue fills instead, and lines are dropped and counted.
pub struct LineWriter {
    commands: Sender<Command>,
    dropped: Arc<AtomicU64>,
}

impl LineWriter {
    /// Starts the writing thread with room for some lines in its queue.
    ///
    /// # Errors
    ///
    /// `Error::Thread` if the thread can't be started.
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

    /// Queues a line, which holds its own newline. Returns at once.
    pub fn write(&self, line: Vec<u8>) {
        if self.commands.try_send(Command::Write(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits, for a bounded time, until the lines queued so far are written. Returns whether they
    /// are; where the log's reader stalls they are not, and a stop must not wait for it.
    pub fn flush(&self) -> bool {
        let (done, written) = crossbeam_channel::bounded(1);
        let queued = self
            .commands
            .send_timeout(Command::Flush(done), FLUSH_TIMEOUT);
        queued.is_ok() && written.recv_timeout(FLUSH_TIMEOUT).is_ok()
    }

    /// Returns the count of lines dropped so far, which grows while the log is used.
    pub fn dropped(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.dropped)
    }
}

fn write_all(mut writer: Box<dyn Write + Send>, queue: &Receiver<Command>) {
    for command in queue {
        // A failed write can't be logged. The next line is tried all the same, since a full file
        // system or a reader that was replaced may recover.
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
