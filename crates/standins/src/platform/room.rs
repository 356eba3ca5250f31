//! Room of an upstream, which fails if it has to reject too many requests.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;

use crate::http::Reply;
use crate::http::Request;
use crate::http::Stream;
use crate::platform::answers::Answers;
use crate::platform::answers::id_of;

/// Load that an upstream without a set room states.
const DEFAULT_LOAD: &str = "1,0,8";

/// Time over which rejections are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What bounds the requests of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomOptions {
    /// Number of requests that its entry and its answers state as those that run at once.
    pub stated_slots: usize,
    /// Number of requests that it runs at once. Further ones are rejected.
    pub slots: usize,
    /// Number of rejections in a second above which it fails.
    pub max_rejections: usize,
    /// Time from a failure until it is back under its name; none if failures are only recorded.
    pub down: Option<Duration>,
}

/// Request or health check that an upstream rejected for want of room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomRejection {
    /// ID of the request; empty for a health check.
    pub id: String,
    /// Address that it came from.
    pub from: Option<IpAddr>,
}

/// Failure of an upstream under the requests that it had to reject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomFailure {
    /// Time of the failure.
    pub at: Instant,
    /// What it rejected in the second before.
    pub rejected: Vec<RoomRejection>,
}

#[derive(Debug, Default)]
struct State {
    options: Option<RoomOptions>,
    running: usize,
    recent_rejections: VecDeque<(Instant, RoomRejection)>,
    is_down: bool,
    failures: Vec<RoomFailure>,
}

/// Room of an upstream; unlimited until it is set.
#[derive(Debug, Default)]
pub(crate) struct Room(Mutex<State>);

/// What becomes of a request that arrives.
pub(crate) enum Entrance {
    /// It runs, and has a place until that is dropped.
    Place(Place),
    Rejected,
    /// It is rejected, and the upstream fails by that.
    Failed {
        down: Duration,
    },
    /// The upstream is down.
    Lost,
}

/// Place of a request that runs.
pub(crate) struct Place(Arc<Room>);

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.0.0.lock();
        state.running = state.running.saturating_sub(1);
    }
}

impl Place {
    /// Keeps the place until an answer has been sent.
    pub fn kept_by(self, reply: Reply) -> Reply {
        match reply {
            Reply::Stream(Stream { headers, produce }) => Reply::Stream(Stream {
                headers,
                produce: Box::new(move |writer| {
                    let _place = self;
                    produce(writer)
                }),
            }),
            reply => reply,
        }
    }
}

impl Answers {
    /// Answers a request or health check if there is room for it, rejects it otherwise, and has the
    /// upstream fail if that is one rejection too many.
    pub fn within_room(
        &self,
        request: &Request,
        answer: impl FnOnce() -> Reply,
        fail: impl FnOnce(Duration),
    ) -> Reply {
        match self.room.enter(request) {
            Entrance::Place(place) => place.kept_by(answer()),
            Entrance::Rejected => {
                self.rejections.lock().push(Instant::now());
                self.not_run(request, 503)
            }
            Entrance::Failed { down } => {
                fail(down);
                Reply::Lost
            }
            Entrance::Lost => Reply::Lost,
        }
    }
}

impl Room {
    pub fn set(&self, options: Option<RoomOptions>) {
        self.0.lock().options = options;
    }

    /// Returns the slots that the upstream states; `unset` if its room has not been set.
    pub fn stated_slots(&self, unset: usize) -> usize {
        let options = self.0.lock().options;
        options.map_or(unset, |options| options.stated_slots)
    }

    /// Returns the load that answers state.
    pub fn load_text(&self) -> String {
        let state = self.0.lock();
        match state.options {
            Some(options) => format!("{},0,{}", state.running, options.stated_slots),
            None => DEFAULT_LOAD.to_owned(),
        }
    }

    /// Takes a place for a request or health check, if there is one.
    pub fn enter(self: &Arc<Self>, request: &Request) -> Entrance {
        let mut state = self.0.lock();
        let Some(options) = state.options else {
            state.running += 1;
            return Entrance::Place(Place(self.clone()));
        };
        if state.is_down {
            return Entrance::Lost;
        }
        if state.running < options.slots {
            state.running += 1;
            return Entrance::Place(Place(self.clone()));
        }
        let now = Instant::now();
        let rejection = RoomRejection {
            id: id_of(request).to_owned(),
            from: request.caller.address(),
        };
        state.recent_rejections.push_back((now, rejection));
        state
            .recent_rejections
            .retain(|(at, _)| now.duration_since(*at) < WINDOW);
        if state.recent_rejections.len() <= options.max_rejections {
            return Entrance::Rejected;
        }
        let rejected = std::mem::take(&mut state.recent_rejections).into_iter();
        let failure = RoomFailure {
            at: now,
            rejected: rejected.map(|(_, it)| it).collect(),
        };
        state.failures.push(failure);
        state.is_down = options.down.is_some();
        match options.down {
            Some(down) => Entrance::Failed { down },
            None => Entrance::Rejected,
        }
    }

    /// Returns whether the upstream is down after a failure.
    pub fn is_down(&self) -> bool {
        self.0.lock().is_down
    }

    /// Has the upstream fail for another reason.
    pub fn fail(&self) {
        self.0.lock().is_down = true;
    }

    /// Ends a failure.
    pub fn recover(&self) {
        self.0.lock().is_down = false;
    }

    /// Returns the failures.
    pub fn failures(&self) -> Vec<RoomFailure> {
        self.0.lock().failures.clone()
    }
}
