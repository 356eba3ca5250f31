//! Position up to which a caller has received an event stream, and the origin of its events.

use apricotdale_core::origin::Origin;

use crate::errors::ContinuationMismatch;
use crate::event::EventFields;
use crate::options::Options;

/// Position in a stream whose event IDs are consecutive numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Position {
    /// Origin of the events that the caller has; `None` if it has none, or if it is unknown.
    origin: Option<Origin>,
    /// ID of the last complete event that the caller has received.
    last_id: Option<u64>,
    /// ID that the next event must have, or `None` if any ID is accepted.
    next_id: Option<u64>,
    /// Whether the last event sent to the caller has no ID, or is not complete.
    is_unknown: bool,
    /// Version of the model's weights, once an answer has named it.
    version: Option<u64>,
}

impl Position {
    /// Returns the position before the first event.
    pub(crate) fn start(options: &Options) -> Self {
        let next_id = match options.last_event {
            Some(id) if options.is_resumable => id.checked_add(1),
            // Upstreams may ignore the caller's position where a stream can't be resumed.
            Some(_) => None,
            None => options.first_event,
        };
        Self {
            origin: options.origin.clone(),
            last_id: options.last_event,
            next_id,
            is_unknown: false,
            version: None,
        }
    }

    /// Returns the ID of the last complete event that the caller has received.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the origin of the events that the caller has; `None` before the first one.
    pub(crate) fn origin(&self) -> Option<&Origin> {
        self.origin.as_ref()
    }

    /// Records that the caller receives events of this origin, which the first one settles.
    pub(crate) fn begin(&mut self, origin: &Origin) {
        self.origin.get_or_insert_with(|| origin.clone());
    }

    /// Adds what has become known about the origin.
    pub(crate) fn complete_origin(&mut self, origin: Origin) {
        if self.origin.is_some() {
            self.origin = Some(origin);
        }
    }

    /// Checks that events of this origin may follow.
    pub(crate) fn check_origin(&self, origin: &Origin) -> Result<(), ContinuationMismatch> {
        match &self.origin {
            Some(known) if !known.accepts(origin) => Err(ContinuationMismatch::Software),
            _ => Ok(()),
        }
    }

    /// Returns whether the next event's ID is known.
    pub(crate) fn is_known(&self) -> bool {
        self.next_id.is_some() && !self.is_unknown
    }

    /// Records the version of the weights that an answer names, and checks that it has not changed.
    pub(crate) fn set_version(&mut self, version: Option<u64>) -> Result<(), ContinuationMismatch> {
        match (self.version, version) {
            (Some(known), Some(other)) if known != other => Err(ContinuationMismatch::Version),
            _ => {
                self.version = self.version.or(version);
                Ok(())
            }
        }
    }

    /// Checks that an event is the next one.
    pub(crate) fn check_next(
        &self,
        event: &EventFields,
        must_be_numbered: bool,
    ) -> Result<(), ContinuationMismatch> {
        match (event.id, self.next_id) {
            (Some(id), Some(next)) if id > next => Err(ContinuationMismatch::Gap),
            (Some(id), Some(next)) if id < next => Err(ContinuationMismatch::Repeated),
            (None, _) if must_be_numbered && event.has_content => {
                Err(ContinuationMismatch::Unnumbered)
            }
            _ => Ok(()),
        }
    }

    /// Records that part of an event was sent to the caller.
    pub(crate) fn begin_event(&mut self) {
        self.is_unknown = true;
    }

    /// Records that a complete event was sent to the caller.
    pub(crate) fn end_event(&mut self, event: &EventFields) {
        self.version = event.version.or(self.version);
        match event.id {
            Some(id) => {
                self.last_id = Some(id);
                self.next_id = id.checked_add(1);
                self.is_unknown = false;
            }
            None => self.is_unknown |= event.has_content,
        }
    }
}
