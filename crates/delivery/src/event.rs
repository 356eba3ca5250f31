//! The fields of an event that tell its place in a stream.

/// How much of a line is looked at. Names and numbers are shorter.
const MAX_LINE_BYTES: usize = 64;

/// `EventFields` are the fields of an event by which its place is checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventFields {
    /// The number of the event.
    pub(crate) id: Option<u64>,
    /// The new version of the model's weights, if it changes with this event.
    pub(crate) version: Option<u64>,
    /// Whether there is something besides comments and blank lines.
    pub(crate) has_content: bool,
}

/// `FieldReader` reads the fields of an event that may come in parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct FieldReader {
    fields: EventFields,
    /// The beginning of the line in progress.
    line: Vec<u8>,
}

impl FieldReader {
    /// Takes in bytes of the event.
    pub(crate) fn push(&mut self, bytes: &[u8], version_field: Option<&str>) {
        for line in bytes.split_inclusive(|byte| matches!(byte, b'\n' | b'\r')) {
            let (text, is_whole) = match line {
                [text @ .., b'\n' | b'\r'] => (text, true),
                text => (text, false),
            };
            let room = (MAX_LINE_BYTES + 1).saturating_sub(self.line.len());
            self.line.extend_from_slice(&text[..room.min(text.len())]);
            self.fields.has_content |= !matches!(self.line.first(), None | Some(b':'));
            if is_whole {
                self.end_line(version_field);
            }
        }
    }

    /// Returns the fields of the lines that are whole, and whether there is any content.
    pub(crate) fn fields(&self) -> EventFields {
        self.fields
    }

    fn end_line(&mut self, version_field: Option<&str>) {
        let line = std::mem::take(&mut self.line);
        let colon = line.iter().position(|byte| *byte == b':');
        let (name, value) = match colon {
            Some(colon) => (&line[..colon], &line[colon + 1..]),
            None => (line.as_slice(), &[][..]),
        };
        let number = number(value).filter(|_| line.len() <= MAX_LINE_BYTES);
        match name {
            b"id" => self.fields.id = number,
            name if version_field.is_some_and(|it| it.as_bytes() == name) => {
                self.fields.version = number;
            }
            _ => {}
        }
    }
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
