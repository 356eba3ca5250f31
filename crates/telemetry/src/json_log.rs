//! Logger that writes JSON lines.
//!
//! `simplelog` has no JSON format, but accepts other loggers that implement its trait
//! `SharedLogger`. [`JsonLogger`] implements it, and `simplelog`'s `CombinedLogger` installs the
//! logger.

use std::fs::OpenOptions;
use std::io;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::SystemTime;

use apricotdale_core::names::VmName;
use apricotdale_core::names::ZoneName;
use log::Log;
use log::Metadata;
use log::Record;
use log::kv;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde::Serialize;
use serde_json::Map;
use simplelog::CombinedLogger;
use simplelog::Config;
use simplelog::LevelFilter;
use simplelog::SharedLogger;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

use crate::errors::Error;
use crate::errors::Result;
use crate::line_writer::LineWriter;

/// Key of a log record that holds the request ID.
const REQUEST_ID_KEY: &str = "request_id";

/// Key of a log record that holds the machine-readable reason.
const REASON_KEY: &str = "reason";

/// Level filter, origin and queue size of a logger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// Name of the VM, written into every line.
    pub vm: VmName,
    /// Availability zone of the VM, written into every line.
    pub zone: ZoneName,
    /// Maximum number of lines that wait to be written. Further lines are dropped and counted.
    pub queued_lines: usize,
}

impl LogOptions {
    /// Returns options with level `info` and a queue of 8192 lines.
    pub fn new(vm: VmName, zone: ZoneName) -> Self {
        Self {
            level: LevelFilter::Info,
            vm,
            zone,
            queued_lines: 8_192,
        }
    }
}

/// Logger that writes each record as one line of JSON.
///
/// The keys `request_id` and `reason` of a record become fields of the line. All other keys go into
/// the nested object `fields`, so that none of them can overwrite a field of the line.
pub struct JsonLogger {
    options: LogOptions,
    lines: LineWriter,
}

#[derive(Serialize)]
struct Line<'a> {
    time: String,
    level: &'a str,
    vm: &'a VmName,
    availability_zone: &'a ZoneName,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<serde_json::Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<serde_json::Value>,
    message: String,
    module: &'a str,
    #[serde(skip_serializing_if = "Map::is_empty")]
    fields: Map<String, serde_json::Value>,
}

impl JsonLogger {
    /// Returns a logger that writes lines to `writer` on a thread of its own.
    ///
    /// # Errors
    ///
    /// [`Error::Thread`] if the thread can't be started.
    pub fn new(options: LogOptions, writer: Box<dyn Write + Send>) -> Result<Self> {
        let lines = LineWriter::start(writer, options.queued_lines)?;
        Ok(Self { options, lines })
    }

    /// Returns the counter of dropped lines, which later drops increase.
    pub fn dropped(&self) -> Arc<AtomicU64> {
        self.lines.dropped()
    }

    fn line(&self, record: &Record<'_>) -> Vec<u8> {
        let mut fields = Fields(Map::new());
        // `Fields` never returns an error. If a source fails, the keys read until then are logged.
        let _ = record.key_values().visit(&mut fields);
        let mut fields = fields.0;
        let line = Line {
            time: timestamp(SystemTime::now()),
            level: record.level().as_str(),
            vm: &self.options.vm,
            availability_zone: &self.options.zone,
            request_id: fields.remove(REQUEST_ID_KEY),
            reason: fields.remove(REASON_KEY),
            message: record.args().to_string(),
            module: record.target(),
            fields,
        };
        let mut bytes =
            serde_json::to_vec(&line).expect("a log line has only types that JSON can represent");
        bytes.push(b'\n');
        bytes
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.options.level
    }

    fn log(&self, record: &Record<'_>) {
        if self.enabled(record.metadata()) {
            self.lines.write(self.line(record));
        }
    }

    fn flush(&self) {
        // `Log::flush` has no result, so lines that are still unwritten can't be reported.
        let _ = self.lines.flush();
    }
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.options.level
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        self.0.insert(key.as_str().to_owned(), json_value(&value));
        Ok(())
    }
}

fn json_value(value: &Value<'_>) -> serde_json::Value {
    if let Some(number) = value.to_u64() {
        return number.into();
    }
    if let Some(number) = value.to_i64() {
        return number.into();
    }
    if let Some(flag) = value.to_bool() {
        return flag.into();
    }
    match value.to_f64().and_then(serde_json::Number::from_f64) {
        Some(number) => number.into(),
        None => value.to_string().into(),
    }
}

fn timestamp(now: SystemTime) -> String {
    OffsetDateTime::from(now)
        .format(&Rfc3339)
        .expect("the year of the clock has four digits")
}

/// Opens a log file for appending, or returns standard error if there is no path.
///
/// # Errors
///
/// [`Error::Open`] if the file can't be opened.
pub fn open_log(path: Option<&Path>) -> Result<Box<dyn Write + Send>> {
    let Some(path) = path else {
        return Ok(Box::new(io::stderr()));
    };
    let file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .map_err(Error::Open)?;
    Ok(Box::new(file))
}

/// Installs a [`JsonLogger`] as the logger of the program, and returns its counter of dropped
/// lines.
///
/// # Errors
///
/// [`Error::Installed`] if the program has a logger already, [`Error::Thread`] if the writing
/// thread can't be started.
pub fn init_logs(options: LogOptions, writer: Box<dyn Write + Send>) -> Result<Arc<AtomicU64>> {
    let logger = JsonLogger::new(options, writer)?;
    let dropped = logger.dropped();
    CombinedLogger::init(vec![Box::new(logger)]).map_err(Error::Installed)?;
    Ok(dropped)
}
