//! Caller that parses the bytes that it receives.

use std::collections::BTreeMap;

/// Server-sent event, parsed as in the standard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    pub fields: BTreeMap<String, String>,
}

impl Event {
    pub fn event_id(&self) -> Option<u64> {
        self.fields.get("id")?.parse().ok()
    }

    pub fn version(&self) -> Option<u64> {
        self.fields.get("weights")?.parse().ok()
    }

    /// Returns the number of the run that produced it.
    pub fn run(&self) -> usize {
        let data = &self.fields["data"];
        let (run, _) = data.split_once('/').expect("data names its run");
        run.parse().expect("a run is a number")
    }
}

/// Body parsed as events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Stream {
    pub events: Vec<Event>,
    /// Text after the last blank line.
    pub unfinished: String,
}

/// Returns the text with all line ends replaced by line feeds.
pub fn plain_lines(body: &[u8]) -> String {
    let text = std::str::from_utf8(body).expect("text");
    text.replace("\r\n", "\n").replace('\r', "\n")
}

/// Parses a body as events. Comments, and blank lines without an event, are left out.
pub fn read_stream(body: &[u8]) -> Stream {
    let text = plain_lines(body);
    let mut stream = Stream::default();
    let mut event = Event::default();
    for line in text.split_inclusive('\n') {
        stream.unfinished.push_str(line);
        match (line.strip_suffix('\n'), line.split_once(':')) {
            (None, _) => return stream,
            (Some(""), _) => {
                stream.unfinished.clear();
                let event = std::mem::take(&mut event);
                stream
                    .events
                    .extend((!event.fields.is_empty()).then_some(event));
            }
            (Some(_), Some(("", _))) => {}
            (Some(_), Some((name, value))) => {
                event.fields.insert(name.into(), value.trim().into());
            }
            (Some(line), None) => {
                event.fields.insert(line.into(), String::new());
            }
        }
    }
    stream
}

/// Answer as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerView {
    pub status: u16,
    pub content_type: String,
    pub body: Vec<u8>,
    pub is_complete: bool,
    /// Bytes after the end of the answer.
    pub after_end: Vec<u8>,
}

impl AnswerView {
    /// Parses an answer; returns `None` if its head is not complete.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        let head_end = find(bytes, b"\r\n\r\n")? + 4;
        let head = std::str::from_utf8(&bytes[..head_end]).expect("a head of text");
        let field = |name: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(": "));
            lines.find(|(known, _)| *known == name).map(|(_, it)| it)
        };
        let status = head.split(' ').nth(1).expect("a status");
        let mut view = Self {
            status: status.parse().expect("a status is a number"),
            content_type: field("Content-Type").unwrap_or_default().to_owned(),
            body: Vec::new(),
            is_complete: false,
            after_end: Vec::new(),
        };
        let rest = &bytes[head_end..];
        match field("Content-Length") {
            Some(length) => {
                let length: usize = length.parse().expect("a length is a number");
                view.is_complete = rest.len() >= length;
                let (body, after_end) = rest.split_at(length.min(rest.len()));
                view.body = body.to_vec();
                view.after_end = after_end.to_vec();
            }
            None => {
                assert_eq!(field("Transfer-Encoding"), Some("chunked"));
                view.read_chunks(rest);
            }
        }
        Some(view)
    }

    fn read_chunks(&mut self, mut rest: &[u8]) {
        while let Some(line_end) = find(rest, b"\r\n") {
            let size = std::str::from_utf8(&rest[..line_end]).expect("a size of text");
            let size = usize::from_str_radix(size, 16).expect("a size in hexadecimal");
            let chunk = &rest[line_end + 2..];
            assert_eq!(&chunk[size..size + 2], b"\r\n");
            self.body.extend_from_slice(&chunk[..size]);
            rest = &chunk[size + 2..];
            if size == 0 {
                self.is_complete = true;
                break;
            }
        }
        self.after_end = rest.to_vec();
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
