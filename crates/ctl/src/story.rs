//! Log lines of entry VMs about one request, merged from several files.

use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;

use crate::errors::Error;
use crate::errors::Result;

/// Argument that means the standard input instead of a file.
const STANDARD_INPUT: &str = "-";

/// Fields of a JSON log line that are printed or compared.
#[derive(Debug, Deserialize)]
struct LogLine {
    time: String,
    vm: String,
    #[serde(default)]
    request_id: Option<String>,
    #[serde(default)]
    reason: Option<String>,
    message: String,
    #[serde(default)]
    fields: Map<String, Value>,
}

/// Writes the log lines of all files that are about a request, in the order of their times, and
/// returns their number. Lines that are not JSON are skipped, such as those of other programs.
///
/// # Errors
///
/// [`Error::LogFile`] if a file can't be read, [`Error::Output`] if the lines can't be written.
pub(crate) fn write_story(
    request: &str,
    files: &[PathBuf],
    output: &mut dyn Write,
) -> Result<usize> {
    let mut lines = Vec::new();
    for file in files {
        read_lines(request, file, &mut lines).map_err(|source| Error::LogFile {
            file: file.clone(),
            source,
        })?;
    }
    // The order of lines from different VMs is only as accurate as the VMs' clocks.
    lines.sort_by(|left, right| left.time.cmp(&right.time));
    for line in &lines {
        let reason = line.reason.as_deref().unwrap_or_default();
        let fields: Vec<String> = line
            .fields
            .iter()
            .map(|(name, value)| format!("{name}={}", field_text(value)))
            .collect();
        writeln!(
            output,
            "{}  {}  {}: {reason}  {}",
            line.time,
            line.vm,
            line.message,
            fields.join(" ")
        )?;
    }
    Ok(lines.len())
}

fn read_lines(request: &str, file: &Path, lines: &mut Vec<LogLine>) -> io::Result<()> {
    let reader: Box<dyn BufRead> = match file.to_str() {
        Some(STANDARD_INPUT) => Box::new(BufReader::new(io::stdin())),
        _ => Box::new(BufReader::new(File::open(file)?)),
    };
    for text in reader.lines() {
        let text = text?;
        // Only lines that contain the ID are parsed: a day's log has millions of lines, of which
        // few are about one request.
        let Some(start) = text.find('{').filter(|_| text.contains(request)) else {
            continue;
        };
        let line: Option<LogLine> = serde_json::from_str(&text[start..]).ok();
        lines.extend(line.filter(|line| line.request_id.as_deref() == Some(request)));
    }
    Ok(())
}

fn field_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
