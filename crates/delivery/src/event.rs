//! Fields that hold the position of an event in its stream.

/// Number of bytes of a line that are read. Names and IDs are shorter.
const MAX_READ_LINE_BYTES: usize = 64;

/// Fields of an event by which its position is checked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EventFields {
    /// ID of the event, or `None` if it has none or one that is not a number.
    pub(crate) id: Option<u64>,
    /// New version of the model's weights, if it changes with this event.
    pub(crate) version: Option<u64>,
    /// Whether the event holds anything besides comments and blank lines.
    pub(crate) has_content: bool,
}

/// Reads the fields of an event that may arrive in parts.
#[derive(Clone, Debug, Default)]
pub(crate) struct FieldReader {
    fields: EventFields,
    /// First bytes of the line in progress.
    line: Vec<u8>,
}

impl FieldReader {
    /// Reads bytes of the event.
    pub(crate) fn push(&mut self, bytes: &[u8], version_field: Option<&str>) {
        for line in bytes.split_inclusive(|byte| matches!(byte, b'\n' | b'\r')) {
            let (text, is_complete) = match line {
                [text @ .., b'\n' | b'\r'] => (text, true),
                text => (text, false),
            };
            let free_bytes = (MAX_READ_LINE_BYTES + 1).saturating_sub(self.line.len());
            self.line
                .extend_from_slice(&text[..free_bytes.min(text.len())]);
            self.fields.has_content |= !matches!(self.line.first(), None | Some(b':'));
            if is_complete {
                self.end_line(version_field);
            }
        }
    }

    /// Returns the fields of the complete lines, and whether there is any content.
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
        let number = parse_id(value).filter(|_| line.len() <= MAX_READ_LINE_BYTES);
        match name {
            b"id" => self.fields.id = number,
            name if version_field.is_some_and(|it| it.as_bytes() == name) => {
                self.fields.version = number;
            }
            _ => {}
        }
    }
}

fn parse_id(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
