//! The fields of an event that tell its place in a stream.

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

impl EventFields {
    /// Reads the fields of an event, of which the bytes may be the beginning only.
    pub(crate) fn read(event: &[u8], version_field: Option<&str>) -> Self {
        let mut fields = Self::default();
        for line in event.split(|byte| matches!(byte, b'\n' | b'\r')) {
            let colon = line.iter().position(|byte| *byte == b':');
            let (name, value) = match colon {
                Some(0) => continue,
                Some(colon) => (&line[..colon], &line[colon + 1..]),
                None if line.is_empty() => continue,
                None => (line, &[][..]),
            };
            fields.has_content = true;
            match name {
                b"id" => fields.id = number(value),
                name if version_field.is_some_and(|it| it.as_bytes() == name) => {
                    fields.version = number(value);
                }
                _ => {}
            }
        }
        fields
    }
}

fn number(value: &[u8]) -> Option<u64> {
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
