//! Silences of upstreams that are sound: nothing is sent for a time, and then everything goes on.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use crate::http::EventWriter;
use crate::http::Paused;
use crate::http::Reply;
use crate::platform::answer_faults::AnswerFault;

/// Time for which an upstream sends nothing. Requests that arrive meanwhile are answered afterwards.
#[derive(Clone, Debug, Default)]
pub(crate) struct Silence {
    until: Arc<Mutex<Option<Instant>>>,
}

impl Silence {
    /// Begins a silence, or makes the present one last at least as long from now.
    pub fn begin(&self, duration: Duration) {
        let until = Some(Instant::now() + duration);
        let mut current = self.until.lock();
        *current = until.max(*current);
    }

    /// Waits until there is no silence.
    pub fn wait(&self) {
        loop {
            let until = *self.until.lock();
            let now = Instant::now();
            match until {
                Some(until) if until > now => thread::sleep(until - now),
                _ => return,
            }
        }
    }
}

/// Point of an answer at which nothing is sent for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum SilencePoint {
    /// Before the head, while the request runs.
    BeforeHead,
    /// Between the head and the body.
    AfterHead,
    /// Between two events in the middle of a stream; in the middle of any other body.
    BetweenEvents,
    /// Inside the event in the middle of a stream; in the middle of any other body.
    InsideEvent,
}

impl SilencePoint {
    /// Returns an answer that is not streamed, with a pause at this point.
    pub(crate) fn unstreamed(self, text: &str, for_ms: u64) -> Reply {
        let body_start = text.find("\r\n\r\n").map_or(text.len(), |index| index + 4);
        let index = match self {
            Self::BeforeHead => 0,
            Self::AfterHead => body_start,
            Self::BetweenEvents | Self::InsideEvent => body_start + (text.len() - body_start) / 2,
        };
        let (before, after) = text.as_bytes().split_at(index);
        Reply::Paused(Paused {
            before: before.to_vec(),
            pause: Duration::from_millis(for_ms),
            after: after.to_vec(),
        })
    }
}

/// Pause of one stream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StreamPause {
    /// Point and duration; none for a stream without a pause.
    pause: Option<(SilencePoint, Duration)>,
    /// Number of events before the one in the middle.
    middle: u64,
}

impl StreamPause {
    /// Returns the pause that a fault demands in a stream of `events` events.
    pub fn of(fault: Option<AnswerFault>, events: u64) -> Self {
        let pause = match fault {
            Some(AnswerFault::Silent { at, for_ms }) => Some((at, Duration::from_millis(for_ms))),
            _ => None,
        };
        Self {
            pause,
            middle: events / 2,
        }
    }

    /// Waits for the time of a pause before the head.
    pub fn wait_before_head(self) {
        if let Some((SilencePoint::BeforeHead, duration)) = self.pause {
            thread::sleep(duration);
        }
    }

    /// Sends an event that follows `sent` others, with the pause if it is due there.
    ///
    /// # Errors
    ///
    /// Errors of the connection.
    pub fn send(self, writer: &mut EventWriter, sent: u64, event: &[u8]) -> io::Result<()> {
        let (duration, before) = match self.pause {
            Some((SilencePoint::AfterHead, duration)) if sent == 0 => (duration, 0),
            Some((SilencePoint::BetweenEvents, duration)) if sent == self.middle => (duration, 0),
            Some((SilencePoint::InsideEvent, duration)) if sent == self.middle => {
                (duration, event.len() / 2)
            }
            _ => return writer.send_bytes(event),
        };
        let (begin, rest) = event.split_at(before);
        // An empty chunk would end the body.
        if !begin.is_empty() {
            writer.send_bytes(begin)?;
        }
        thread::sleep(duration);
        writer.send_bytes(rest)
    }
}
