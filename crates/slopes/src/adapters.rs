//! Calls to the platform and to engines over HTTP: the caller's processor time, and bytes.
//!
//! The bytes are those of HTTP. TCP and IP add 40 to 60 bytes of headers for each packet: about ten
//! packets for a call on a new connection, about three for a read on a persistent one.

use apricotdale_adapters::Adapters;
use apricotdale_adapters::Options;
use apricotdale_adapters::http_adapters;
use apricotdale_core::names::StreamName;
use apricotdale_core::numbers::Offset;

use crate::canned::CannedServer;
use crate::errors::Result;
use crate::meter::thread_us;
use crate::slope::Slope;
use crate::slope::Unit;

const CALLS: &[usize] = &[100, 200, 400, 800];
const LOAD_BODY: &str = r#"{"as_of_ms":1790000000000,"running":12,"waiting":3,"slots":32,
    "checkpoints":[{"model":"planner-lm-depot-0001","tier":"memory"}]}"#;
const STATUS_BODY: &str = r#"{"boot":4,"sequence":9,"capacity_bytes":80000000000,"checks_fence":true,
    "highest_fence":123456,"residents":[
    {"model":"planner-lm-depot-0001","residency":"loaded","bytes":17000000000,"fence":123450},
    {"model":"planner-lm-depot-0002","residency":"loaded","bytes":17000000000,"fence":123451},
    {"model":"planner-lm-depot-0003","residency":"loaded","bytes":17000000000,"fence":123452},
    {"model":"planner-lm-depot-0004","residency":"loaded","bytes":17000000000,"fence":123456}]}"#;
const EMPTY_READ_BODY: &str = r#"{"first":123000,"end":123456,"records":[]}"#;
const APPENDED_BODY: &str = r#"{"offset":123456}"#;
const RECORD_BYTES: usize = 300;

type Call = fn(&Adapters, &CannedServer) -> apricotdale_core::Result<()>;

/// Measures processor time and bytes by the number of calls.
///
/// # Errors
///
/// If a server can't be started or a call fails.
pub fn adapters() -> Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    slopes.extend(measure_call(
        ["log_append", "log_append_bytes"],
        "201 Created",
        APPENDED_BODY,
        append,
    )?);
    slopes.extend(measure_call(
        ["log_empty_read", "log_empty_read_bytes"],
        "200 OK",
        EMPTY_READ_BODY,
        read,
    )?);
    slopes.extend(measure_call(
        ["engine_status", "engine_status_bytes"],
        "200 OK",
        STATUS_BODY,
        status,
    )?);
    slopes.extend(measure_call(
        ["engine_load", "engine_load_bytes"],
        "200 OK",
        LOAD_BODY,
        load,
    )?);
    Ok(slopes)
}

fn measure_call(
    names: [&'static str; 2],
    answer: &str,
    body: &str,
    call: Call,
) -> Result<[Slope; 2]> {
    let server = CannedServer::start(answer, body)?;
    let address = server.address;
    let adapters = http_adapters(&Options::at(address, address, address));
    call(&adapters, &server)?;
    let cpu = Slope::measure(names[0], Unit::CpuMicroseconds, "call", CALLS, |calls| {
        let mut outcome = Ok(());
        let us = thread_us(|| {
            for _ in 0..calls {
                outcome = outcome.clone().and(call(&adapters, &server));
            }
        });
        outcome?;
        Ok(us)
    })?;
    let bytes = Slope::measure(names[1], Unit::Bytes, "call", CALLS, |calls| {
        let before = server.bytes();
        for _ in 0..calls {
            call(&adapters, &server)?;
        }
        Ok((server.bytes() - before) as f64)
    })?;
    Ok([cpu, bytes])
}

fn append(adapters: &Adapters, _: &CannedServer) -> apricotdale_core::Result<()> {
    let payload = [b'x'; RECORD_BYTES];
    let stream = StreamName::new("control");
    adapters.log.append(&stream, &payload).map(drop)
}

fn read(adapters: &Adapters, _: &CannedServer) -> apricotdale_core::Result<()> {
    let stream = StreamName::new("control");
    let read = adapters.log.read(&stream, Offset(123_456), 500, 0);
    read.map(drop)
}

fn status(adapters: &Adapters, engine: &CannedServer) -> apricotdale_core::Result<()> {
    adapters.reports.status(engine.address).map(drop)
}

fn load(adapters: &Adapters, engine: &CannedServer) -> apricotdale_core::Result<()> {
    adapters.reports.load_report(engine.address).map(drop)
}
