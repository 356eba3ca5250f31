//! An engine answers before it has read a long body, without a length, and crashes in the middle of
//! its answer. Does the caller get the part as if it were whole?

use std::collections::HashMap;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use apricotdale_review_standins_2::BROKEN;
use apricotdale_review_standins_2::Record;
use apricotdale_review_standins_2::Vm;
use apricotdale_review_standins_2::VmPlan;
use apricotdale_review_standins_2::give_up;
use apricotdale_review_standins_2::has_trouble;
use apricotdale_standins::platform::Caller;
use apricotdale_standins::platform::Site;
use apricotdale_standins::platform::SiteOptions;
use apricotdale_standins::platform::SiteRequest;
use serde_json::json;
use socket2::Domain;
use socket2::Socket;
use socket2::Type;

/// Names of header fields, one `key=name` a line.
const WIRE: &str = include_str!("../../wire.txt");

/// `max_body_bytes` of the configuration.
const MAX_BODY_BYTES: usize = 4_194_304;

/// Size of the request's body.
const BODY_BYTES: usize = 1_000_000;

/// Size of the engine's answer, and of the part that it sends before it has read the body.
const ANSWER_BYTES: usize = 800;
const FIRST_BYTES: usize = 300;

/// Packets and window of an engine's connections.
const SEGMENT_BYTES: u32 = 1_448;
const WINDOW_BYTES: usize = 32 * 1024;

/// Engines of the service. One of four crashes.
const ENGINES: usize = 4;

fn name(key: &str) -> &'static str {
    let mut names = WIRE.lines().filter_map(|line| line.split_once('='));
    let found = names.find(|(known, _)| *known == key);
    found.map_or_else(|| give_up("a name is missing"), |(_, name)| name)
}

/// Reads a head, and returns its first line, its fields and what has been read behind it.
fn read_head(stream: &mut TcpStream) -> Option<(String, HashMap<String, String>, usize)> {
    let mut bytes = Vec::new();
    let mut part = [0_u8; 4096];
    loop {
        let end = bytes.windows(4).position(|it| it == b"\r\n\r\n");
        if let Some(end) = end {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = text.lines();
            let first = lines.next()?.to_owned();
            let fields = lines.filter_map(|line| {
                let (name, value) = line.split_once(':')?;
                Some((name.to_ascii_lowercase(), value.trim().to_owned()))
            });
            return Some((first, fields.collect(), bytes.len() - end - 4));
        }
        match stream.read(&mut part) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&part[..count]),
        }
    }
}

/// Body of the engine's answer.
fn answer_body() -> Vec<u8> {
    (0..ANSWER_BYTES).map(|at| b'a' + (at % 23) as u8).collect()
}

fn serve(mut stream: TcpStream, instance: &str) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    loop {
        let (first, fields, mut read) = read_head(&mut stream)?;
        let own = name("instance");
        if !first.starts_with("POST") {
            let text = format!("HTTP/1.1 200 OK\r\n{own}: {instance}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(text.as_bytes()).ok()?;
            continue;
        }
        let id = fields.get(&name("id").to_ascii_lowercase())?.clone();
        let length: usize = fields.get("content-length")?.parse().ok()?;
        println!("run {id}");
        let (id_name, signature) = (name("id"), name("signature"));
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id_name}: {id}\r\n{signature}: {instance}.{id}.{ANSWER_BYTES}\r\n\
             Content-Type: application/octet-stream\r\nConnection: close\r\n\r\n"
        );
        let body = answer_body();
        stream.write_all(head.as_bytes()).ok()?;
        stream.write_all(&body[..FIRST_BYTES]).ok()?;
        println!("first {id}");
        // The engine works on the rest of the answer, and reads the body later.
        thread::sleep(Duration::from_millis(400));
        let mut part = vec![0_u8; 65_536];
        while read < length {
            match stream.read(&mut part) {
                Ok(0) | Err(_) => return None,
                Ok(count) => read += count,
            }
        }
        stream.write_all(&body[FIRST_BYTES..]).ok()?;
        println!("whole {id}");
        stream.shutdown(Shutdown::Write).ok()?;
        let _ = stream.read(&mut part);
        return Some(());
    }
}

/// Listens with packets and a window as links between machines have them. Those of loopback hold
/// megabytes.
fn listen() -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_tcp_mss(SEGMENT_BYTES)?;
    socket.set_recv_buffer_size(WINDOW_BYTES)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    socket.listen(128)?;
    Ok(socket.into())
}

/// Runs as an engine: prints its address, and what it does with each request.
fn run_engine(instance: String) {
    let listener = listen().unwrap_or_else(|error| give_up(&error.to_string()));
    match listener.local_addr() {
        Ok(address) => println!("at {address}"),
        Err(error) => give_up(&error.to_string()),
    }
    for stream in listener.incoming().flatten() {
        let instance = instance.clone();
        thread::spawn(move || serve(stream, &instance));
    }
}

struct Engine {
    process: Child,
}

impl Drop for Engine {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn start_engine(instance: &str, lines: mpsc::Sender<(usize, String)>, index: usize) -> Engine {
    let program = std::env::current_exe().unwrap_or_else(|error| give_up(&error.to_string()));
    let process = Command::new(program)
        .arg("engine")
        .arg(instance)
        .stdout(Stdio::piped())
        .spawn();
    let mut process = process.unwrap_or_else(|error| give_up(&error.to_string()));
    if let Some(output) = process.stdout.take() {
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = lines.send((index, line));
            }
        });
    }
    Engine { process }
}

fn main() {
    if std::env::args().nth(1).as_deref() == Some("engine") {
        return run_engine(std::env::args().nth(2).unwrap_or_default());
    }
    let record = Record::create();
    let options = SiteOptions {
        instances: 0,
        timeout_ms: 4_000,
        ..SiteOptions::default()
    };
    let site = Site::start(options).unwrap_or_else(|error| give_up(&error.to_string()));
    site.reconfigure(2, |it| {
        it["limits"]["max_body_bytes"] = json!(MAX_BODY_BYTES)
    });
    let (sender, lines) = mpsc::channel();
    let mut engines = Vec::new();
    for index in 0..ENGINES {
        let instance = format!("b-{index}");
        engines.push(start_engine(&instance, sender.clone(), index));
        let (_, line) = lines
            .recv_timeout(Duration::from_secs(10))
            .unwrap_or_else(|_| give_up("an engine does not start"));
        let address = line.trim_start_matches("at ").to_owned();
        let entry = json!({
            "service": "plain", "address": address, "zone": "zone-a", "version": "v1", "slots": 6,
            "state": "ready", "cold_remaining_ms": 0, "sequence": 1,
        });
        let store = &site.store_endpoints[0];
        store.put(name("topic"), &instance, entry.to_string().as_bytes());
        record.note(&format!("engine {instance} at {address}"));
    }
    let mut vm = Vm::start(&VmPlan {
        name: "front-zone-a-1".to_owned(),
        zone: "zone-a".to_owned(),
        ip: "127.0.0.11".parse().expect("a loopback address"),
        store: site.store_addresses[0],
        fence_required: true,
    });
    vm.wait_ready();
    thread::sleep(Duration::from_millis(4_000));
    let callers = vm.callers;
    let (id, whole) = ("c1", answer_body());
    let asked = thread::spawn(move || {
        let mut caller = Caller::connect(callers, Duration::from_secs(6)).ok()?;
        let request = SiteRequest::book(id)
            .with_timeout_ms(4_000)
            .with_body(&vec![b'x'; BODY_BYTES]);
        caller.send(&request.bytes()).ok()?;
        caller.answer().ok()
    });
    record.say(&format!(
        "request {id} with a body of {BODY_BYTES} bytes is sent"
    ));
    let mut ran_at = None;
    while let Ok((index, line)) = lines.recv_timeout(Duration::from_secs(5)) {
        record.say(&format!("engine b-{index}: {line}"));
        if line.starts_with("first") {
            ran_at = Some(index);
            break;
        }
    }
    let Some(index) = ran_at else {
        give_up("no engine got the request");
    };
    if has_trouble() {
        thread::sleep(Duration::from_millis(100));
        record.say(&format!("engine b-{index} crashes (SIGKILL)"));
        let _ = engines[index].process.kill();
    }
    let answer = asked.join().ok().flatten();
    thread::sleep(Duration::from_millis(200));
    while let Ok((index, line)) = lines.try_recv() {
        record.say(&format!("engine b-{index}: {line}"));
    }
    let (status, is_complete, length, is_signed) = match &answer {
        None => (0, false, 0, false),
        Some(it) => (it.status(), it.complete, it.body.len(), it.is_signed()),
    };
    record.say(&format!(
        "the caller gets status {status}, complete {is_complete}, signed {is_signed}, {length} of {ANSWER_BYTES} bytes"
    ));
    let is_whole = answer.is_some_and(|it| it.body == whole);
    let is_success = is_complete && (200..300).contains(&status);
    drop(engines);
    vm.end();
    if !has_trouble() && !(is_success && is_whole) {
        give_up("the answer is not whole without the disruption");
    }
    std::process::exit(if is_success && !is_whole { BROKEN } else { 0 });
}
