//! Answers to requests that are not streamed, with and without faults.

use std::time::Duration;

use crate::http::EventWriter;
use crate::http::Paused;
use crate::http::Raw;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Stream;
use crate::http::StreamEnd;
use crate::platform::answer_faults::AnswerFault;
use crate::platform::answer_faults::StatusPlace;
use crate::platform::answers::Answers;
use crate::platform::answers::ID;
use crate::platform::answers::LARGE_BYTES;
use crate::platform::answers::LOAD;
use crate::platform::answers::NOT_RUN;
use crate::platform::answers::SIGNATURE;
use crate::platform::answers::id_of;
use crate::platform::endless::EndlessPart;

/// Number of interim answers of [`AnswerFault::ManyInterim`].
const INTERIM_ANSWERS: usize = 100_000;

impl Answers {
    /// Returns the answer to a request that is not streamed.
    pub fn unstreamed_answer(
        &self,
        request: &Request,
        fault: Option<AnswerFault>,
        body: &str,
    ) -> Reply {
        let id = id_of(request);
        let rate_limit = self.limit_lines();
        let head = |status: u16, fields: &str| {
            format!(
                "HTTP/1.1 {status} Status\r\n{ID}: {id}\r\n{SIGNATURE}: s.{}\r\n{LOAD}: {}\r\n\
                 {rate_limit}{fields}",
                self.instance,
                self.load_text()
            )
        };
        let framed = |status: u16, fields: &str| {
            format!(
                "{}Content-Length: {}\r\n\r\n{body}",
                head(status, fields),
                body.len()
            )
        };
        let other = format!(
            "HTTP/1.1 200 OK\r\n{ID}: other-{id}\r\n{SIGNATURE}: s\r\nContent-Length: 5\r\n\r\nother"
        );
        let raw = |text: String, keep_alive| {
            Reply::Raw(Raw {
                bytes: text.into_bytes(),
                keep_alive,
            })
        };
        match fault {
            None
            | Some(
                AnswerFault::CutAfter { .. }
                | AnswerFault::MuteAfter { .. }
                | AnswerFault::Stream(_)
                | AnswerFault::CutThen { .. }
                | AnswerFault::EarlyUnframed { .. }
                | AnswerFault::UnsignedStream,
            ) => raw(framed(200, ""), true),
            Some(
                fault @ (AnswerFault::Large | AnswerFault::LargeCut | AnswerFault::LargeStalled),
            ) => {
                let is_complete = fault == AnswerFault::Large;
                let length = LARGE_BYTES * (2 - usize::from(is_complete));
                let body = "x".repeat(LARGE_BYTES);
                let fields = format!("Content-Length: {length}\r\n\r\n{body}");
                raw(head(200, &fields), fault != AnswerFault::LargeCut)
            }
            Some(AnswerFault::Endless) => Reply::Stream(Stream {
                headers: Vec::new(),
                produce: Box::new(|writer: &mut EventWriter| {
                    let bytes = vec![b'x'; LARGE_BYTES];
                    while writer.send_bytes(&bytes).is_ok() {}
                    StreamEnd::Broken
                }),
            })
            .with_header(ID, id)
            .with_header(SIGNATURE, "s"),
            Some(AnswerFault::EndlessPart { part, gap_ms }) => part.reply(&head(200, ""), gap_ms),
            Some(AnswerFault::Silent { at, for_ms }) => at.unstreamed(&framed(200, ""), for_ms),
            Some(AnswerFault::TurnedAway) => self.not_run(request, 503),
            Some(AnswerFault::TurnedAwayStalled) => {
                let text = format!(
                    "HTTP/1.1 503 Status\r\n{ID}: {id}\r\n{NOT_RUN}: 1\r\nContent-Length: 2\r\n\r\n"
                );
                raw(text, true)
            }
            Some(AnswerFault::TurnedAwayEndless { status }) => {
                let head = format!("HTTP/1.1 {status} Status\r\n{ID}: {id}\r\n{NOT_RUN}: 1\r\n");
                EndlessPart::PlainBody.reply(&head, 0)
            }
            Some(AnswerFault::Failed) => raw(framed(500, ""), true),
            Some(AnswerFault::FailedWith { status }) => raw(framed(status, ""), true),
            Some(AnswerFault::LostAnswer) => Reply::Lost,
            Some(AnswerFault::Mute) => {
                request.caller.wait_until_disconnected();
                self.left.lock().push(id.to_owned());
                Reply::Lost
            }
            Some(AnswerFault::Unsigned) => {
                let length = body.len();
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{ID}: {id}\r\nContent-Length: {length}\r\n\r\n{body}"
                );
                raw(text, true)
            }
            Some(AnswerFault::ManyInterim) => {
                let interim = "HTTP/1.1 103 Early\r\n\r\n".repeat(INTERIM_ANSWERS);
                raw(interim + &framed(200, ""), true)
            }
            Some(AnswerFault::UnidentifiedFirst { status }) => {
                let rejection = format!(
                    "HTTP/1.1 {status} Status\r\n{NOT_RUN}: 1\r\nContent-Length: 0\r\n\r\n"
                );
                raw(rejection + &framed(200, ""), true)
            }
            Some(AnswerFault::CrossedFirst) => raw(other + &framed(200, ""), true),
            Some(AnswerFault::ExtraAfter) => raw(framed(200, "") + &other, true),
            Some(AnswerFault::Unframed) => raw(head(200, "\r\n") + body, false),
            Some(AnswerFault::UnframedCut) => raw(
                format!("{}Content-Length: 9999\r\n\r\n{body}", head(200, "")),
                false,
            ),
            Some(AnswerFault::HugeLoadFirst { pause_ms }) => Reply::Paused(Paused {
                before: other
                    .replacen(ID, &format!("{}\r\n{ID}", huge_load()), 1)
                    .into_bytes(),
                pause: Duration::from_millis(pause_ms),
                after: framed(200, "").into_bytes(),
            }),
            Some(AnswerFault::HugeLoad) => {
                let huge = huge_load();
                let own = format!("{LOAD}: {}", self.load_text());
                raw(framed(200, "").replace(&own, &huge), true)
            }
            Some(AnswerFault::CutHead { framing, bytes }) => {
                let mut head = head(200, framing);
                head.truncate(bytes);
                raw(head, false)
            }
            Some(AnswerFault::MalformedField { line, is_interim }) => {
                let interim = format!("HTTP/1.1 103 Early Hints\r\n{line}\r\n\r\n");
                match is_interim {
                    true => raw(interim + &framed(200, ""), true),
                    false => raw(framed(200, &format!("{line}\r\n")), true),
                }
            }
            Some(AnswerFault::WrongStatus { code, place }) => {
                raw(place.answer(code, &framed(200, "")), true)
            }
            Some(AnswerFault::Garbage) => raw("\u{1}\u{2}garbage\r\n\r\n".to_owned(), false),
            Some(AnswerFault::Encoded) => raw(framed(200, "Content-Encoding: gzip\r\n"), true),
        }
    }
}

impl StatusPlace {
    /// Returns the answer with a wrong status, made of the usual one.
    fn answer(self, code: &str, usual: &str) -> String {
        match self {
            Self::Answer => usual.replacen("200", code, 1),
            Self::AroundAnswer => {
                format!(
                    "HTTP/1.1 {code} Status\r\nContent-Length: {}\r\n\r\n{usual}",
                    usual.len()
                )
            }
            Self::Alone => format!("HTTP/1.1 {code} Status\r\n\r\n"),
            Self::BeforeAnswer => format!("HTTP/1.1 {code} Status\r\n\r\n{usual}"),
        }
    }
}

/// Returns the header line of a load that no upstream can have.
fn huge_load() -> String {
    format!("{LOAD}: {max},{max},1", max = u32::MAX)
}
