//! How far a caller has a stream.

use crate::errors::Misfit;
use crate::event::EventFields;
use crate::options::Options;

/// `Position` is how far a caller has a stream whose events are numbered one by one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Position {
    last_id: Option<u64>,
    /// The number of the next event; none where any may come.
    next_id: Option<u64>,
    /// Whether the last event given has no number, or is not whole.
    is_lost: bool,
    version: Option<u64>,
}

impl Position {
    /// Returns the position before the first event.
    pub(crate) fn start(options: &Options) -> Self {
        let next_id = match options.last_event {
            Some(id) if options.is_resumable => id.checked_add(1),
            // Where a stream can't be resumed, upstreams need not heed the caller's place.
            Some(_) => None,
            None => options.first_event,
        };
        Self {
            last_id: options.last_event,
            next_id,
            is_lost: false,
            version: None,
        }
    }

    /// Returns the last event given.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns whether it can be checked that an event is the next one.
    pub(crate) fn is_known(&self) -> bool {
        self.next_id.is_some() && !self.is_lost
    }

    /// Takes in the version of the weights of an answer that begins or goes on.
    pub(crate) fn set_version(&mut self, version: Option<u64>) -> Result<(), Misfit> {
        match (self.version, version) {
            (Some(known), Some(other)) if known != other => Err(Misfit::Version),
            _ => {
                self.version = self.version.or(version);
                Ok(())
            }
        }
    }

    /// Checks that an event is the next one.
    pub(crate) fn check(&self, event: &EventFields, must_be_numbered: bool) -> Result<(), Misfit> {
        match (event.id, self.next_id) {
            (Some(id), Some(next)) if id > next => Err(Misfit::Gap),
            (Some(id), Some(next)) if id < next => Err(Misfit::Repeated),
            (None, _) if must_be_numbered && event.has_content => Err(Misfit::Unnumbered),
            _ => Ok(()),
        }
    }

    /// Takes in that part of an event was given.
    pub(crate) fn begin_event(&mut self) {
        self.is_lost = true;
    }

    /// Takes in that a whole event was given.
    pub(crate) fn end_event(&mut self, event: &EventFields) {
        self.version = event.version.or(self.version);
        match event.id {
            Some(id) => {
                self.last_id = Some(id);
                self.next_id = id.checked_add(1);
                self.is_lost = false;
            }
            None => self.is_lost |= event.has_content,
        }
    }
}
