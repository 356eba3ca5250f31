//! Sends the answer to one caller: a complete response, an event stream or a refusal.

use std::mem;

use apricotdale_core::names::RequestId;
use apricotdale_core::refusal::Refusal;
use apricotdale_core::refusal::RefusalReason;
use apricotdale_http::Responder;
use apricotdale_http::Response;
use apricotdale_http::ResponseHead;
use apricotdale_http::ResponseStream;

use crate::problem;

/// The caller's connection can't be written to any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerLost;

enum SendState<'a> {
    NotBegun(Responder<'a>),
    Stream(ResponseStream<'a>),
    Ended,
}

/// Sender of the one answer to a request.
pub(crate) struct Answer<'a> {
    id: RequestId,
    correlation: Option<String>,
    state: SendState<'a>,
}

impl<'a> Answer<'a> {
    pub(crate) fn new(
        id: RequestId,
        correlation: Option<String>,
        responder: Responder<'a>,
    ) -> Self {
        Self {
            id,
            correlation,
            state: SendState::NotBegun(responder),
        }
    }

    /// Returns whether part of the answer has been sent to the caller.
    pub(crate) fn has_begun(&self) -> bool {
        !matches!(self.state, SendState::NotBegun(_))
    }

    /// Sends a complete answer.
    ///
    /// # Panics
    ///
    /// If an answer has already begun.
    pub(crate) fn send(&mut self, mut response: Response) -> Result<(), CallerLost> {
        let SendState::NotBegun(responder) = mem::replace(&mut self.state, SendState::Ended) else {
            panic!("the answer to the request has already begun");
        };
        response.head = self.identify(response.head);
        responder.send(response).map_err(|_| CallerLost)
    }

    /// Sends one event of a stream. The first event is preceded by the response head.
    pub(crate) fn send_event(
        &mut self,
        content_type: &str,
        event: &[u8],
    ) -> Result<(), CallerLost> {
        let mut stream = match mem::replace(&mut self.state, SendState::Ended) {
            SendState::Stream(stream) => stream,
            SendState::NotBegun(responder) => {
                let head = ResponseHead::new(200)
                    .header("Content-Type", content_type)
                    .header("Cache-Control", "no-cache");
                let head = self.identify(head);
                responder.start(head).map_err(|_| CallerLost)?
            }
            SendState::Ended => return Err(CallerLost),
        };
        stream.send_piece(event).map_err(|_| CallerLost)?;
        self.state = SendState::Stream(stream);
        Ok(())
    }

    /// Ends the stream with its last chunk, which marks it as complete.
    pub(crate) fn finish(&mut self) -> Result<(), CallerLost> {
        match mem::replace(&mut self.state, SendState::Ended) {
            SendState::Stream(stream) => stream.finish().map_err(|_| CallerLost),
            SendState::NotBegun(_) | SendState::Ended => Err(CallerLost),
        }
    }

    /// Sends a refusal. In a stream it is sent as an event, and the connection is then closed
    /// without the last chunk, so that the caller can't mistake the part that it has for a complete
    /// answer.
    pub(crate) fn refuse(&mut self, refusal: &Refusal, allow: Option<&str>) {
        let state = mem::replace(&mut self.state, SendState::Ended);
        let is_gone = refusal.reason == RefusalReason::CallerGone;
        let sent = match state {
            SendState::Ended => Ok(()),
            SendState::Stream(_) if is_gone => Ok(()),
            SendState::NotBegun(responder) if is_gone => {
                responder.close();
                Ok(())
            }
            SendState::Stream(mut stream) => stream.send_piece(&problem::event(&self.id, refusal)),
            SendState::NotBegun(responder) => {
                let mut response = problem::response(&self.id, refusal);
                response.head = self.identify(response.head);
                responder.send(match allow {
                    Some(methods) => response.header("Allow", methods),
                    None => response,
                })
            }
        };
        if let Err(error) = sent {
            log::debug!(request_id = self.id.as_str(); "the refusal was not delivered: {error}");
        }
    }

    fn identify(&self, head: ResponseHead) -> ResponseHead {
        let head = head.header("X-Request-Id", self.id.as_str());
        match &self.correlation {
            Some(correlation) => head.header("X-Correlation-Id", correlation),
            None => head,
        }
    }
}
