//! Peer messages: cost of their codec, their size, and round trips over nng.

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use apricotdale_core::names::VmName;
use apricotdale_core::numbers::Offset;
use apricotdale_core::peer::Demand;
use apricotdale_core::peer::Heartbeat;
use apricotdale_core::peer::ModelDemand;
use apricotdale_core::peer::PeerHandler;
use apricotdale_core::peer::PeerLink;
use apricotdale_core::peer::PeerReply;
use apricotdale_core::peer::PeerRequest;
use apricotdale_core::peer::ReplicaLoad;
use apricotdale_peer::ClusterKey;
use apricotdale_peer::LinkOptions;
use apricotdale_peer::NngLink;
use apricotdale_peer::PeerCounters;
use apricotdale_peer::PeerServer;
use apricotdale_peer::ServerOptions;
use apricotdale_peer::frame;
use apricotdale_peer::frame::Envelope;

use crate::errors::Result;
use crate::fleet::engine_name;
use crate::fleet::model_name;
use crate::meter::process_us;
use crate::meter::resident_bytes;
use crate::meter::thread_us;
use crate::slope::Slope;
use crate::slope::Unit;

const MODELS: &[usize] = &[1, 10, 50, 200];
const ENGINES: &[usize] = &[1, 10, 50, 200];
const HEARTBEATS: &[usize] = &[250, 500, 1_000, 2_000];
const PEERS: &[usize] = &[16, 32, 64, 128];
const CODEC_RUNS: usize = 500;
const VM: &str = "vm-hall-a-17";
const TIMEOUT_MS: u64 = 10_000;

/// Handler that answers each heartbeat with the same heartbeat.
struct EchoHandler;

impl PeerHandler for EchoHandler {
    fn answer(&self, request: PeerRequest) -> PeerReply {
        match request {
            PeerRequest::Heartbeat(heartbeat) => PeerReply::Heartbeat(heartbeat),
            _ => PeerReply::DemandNoted,
        }
    }
}

/// Measures the time to encode and verify messages and their size, by messages, models and engines.
///
/// # Errors
///
/// If the cluster key is invalid.
pub fn codec() -> Result<Vec<Slope>> {
    let key = key()?;
    let encoded = |request: PeerRequest| frame::encode_request(&key, &envelope(request));
    let reply = |engines| frame::encode_reply(&key, &[0; 16], &loads(engines));
    Ok(vec![
        Slope::measure(
            "heartbeat_encode",
            Unit::CpuMicroseconds,
            "message",
            HEARTBEATS,
            |count| {
                let envelope = envelope(heartbeat());
                Ok(times_us(count, || {
                    black_box(frame::encode_request(&key, black_box(&envelope)));
                }))
            },
        )?,
        Slope::measure(
            "heartbeat_verify",
            Unit::CpuMicroseconds,
            "message",
            HEARTBEATS,
            |count| {
                let frame = encoded(heartbeat());
                Ok(times_us(count, || {
                    black_box(frame::decode_request(&key, black_box(&frame.bytes)).is_ok());
                }))
            },
        )?,
        Slope::measure(
            "heartbeat_size",
            Unit::Bytes,
            "message",
            HEARTBEATS,
            |count| Ok((count * encoded(heartbeat()).bytes.len()) as f64),
        )?,
        Slope::measure("demand_size", Unit::Bytes, "model", MODELS, |models| {
            Ok(encoded(demand(models)).bytes.len() as f64)
        })?,
        Slope::measure(
            "demand_encode",
            Unit::CpuMicroseconds,
            "model",
            MODELS,
            |models| {
                let envelope = envelope(demand(models));
                Ok(each_us(|| {
                    black_box(frame::encode_request(&key, black_box(&envelope)));
                }))
            },
        )?,
        Slope::measure(
            "demand_verify",
            Unit::CpuMicroseconds,
            "model",
            MODELS,
            |models| {
                let frame = encoded(demand(models));
                Ok(each_us(|| {
                    black_box(frame::decode_request(&key, black_box(&frame.bytes)).is_ok());
                }))
            },
        )?,
        Slope::measure(
            "load_reply_size",
            Unit::Bytes,
            "engine",
            ENGINES,
            |engines| Ok(reply(engines).len() as f64),
        )?,
        Slope::measure(
            "load_reply_verify",
            Unit::CpuMicroseconds,
            "engine",
            ENGINES,
            |engines| {
                let bytes = reply(engines);
                Ok(each_us(|| {
                    black_box(frame::decode_reply(&key, &[0; 16], black_box(&bytes)).is_ok());
                }))
            },
        )?,
    ])
}

/// Measures round trips over nng by heartbeats, and memory by connections. Both ends are in this
/// process, so a daemon, which is one end, needs about half.
///
/// # Errors
///
/// If a server can't be started, a heartbeat gets no reply, or the memory can't be read.
pub fn exchange() -> Result<Vec<Slope>> {
    let counters = Arc::new(PeerCounters::default());
    let server = server(&counters)?;
    let link = link(&counters)?;
    link.ask(server.address(), &heartbeat(), TIMEOUT_MS)?;
    let round_trips = Slope::measure(
        "heartbeat_round_trip_both_ends",
        Unit::CpuMicroseconds,
        "round_trip",
        HEARTBEATS,
        |count| {
            process_us(|| {
                for _ in 0..count {
                    link.ask(server.address(), &heartbeat(), TIMEOUT_MS)?;
                }
                Ok(())
            })
        },
    )?;
    let bytes = Slope::measure(
        "heartbeat_round_trip_message_bytes",
        Unit::Bytes,
        "round_trip",
        HEARTBEATS,
        |count| {
            let before = counters.sent_bytes.load(Ordering::SeqCst);
            for _ in 0..count {
                link.ask(server.address(), &heartbeat(), TIMEOUT_MS)?;
            }
            Ok((counters.sent_bytes.load(Ordering::SeqCst) - before) as f64)
        },
    )?;
    Ok(vec![round_trips, bytes, connections()?])
}

fn connections() -> Result<Slope> {
    let counters = Arc::new(PeerCounters::default());
    let link = link(&counters)?;
    let mut servers = Vec::new();
    Slope::measure(
        "peer_connection_both_ends_memory",
        Unit::Bytes,
        "peer",
        PEERS,
        |peers| {
            while servers.len() < peers {
                let server = server(&counters)?;
                link.ask(server.address(), &heartbeat(), TIMEOUT_MS)?;
                servers.push(server);
            }
            resident_bytes()
        },
    )
}

fn server(counters: &Arc<PeerCounters>) -> Result<PeerServer> {
    let options = ServerOptions {
        workers: 1,
        ..ServerOptions::default()
    };
    Ok(PeerServer::start(
        &options,
        key()?,
        Arc::new(EchoHandler),
        counters.clone(),
    )?)
}

fn link(counters: &Arc<PeerCounters>) -> Result<NngLink> {
    let options = LinkOptions {
        open_peers_max: 1_000,
        ..LinkOptions::default()
    };
    let vm = VmName::new(VM);
    Ok(NngLink::new(vm, 1, key()?, options, counters.clone()))
}

fn key() -> Result<ClusterKey> {
    Ok(ClusterKey::new(b"a key of 32 bytes for measuring.")?)
}

fn envelope(request: PeerRequest) -> Envelope {
    Envelope {
        sender: VmName::new(VM),
        process_id: u64::MAX / 3,
        sequence: 100_000,
        recipient: SocketAddr::from(([10, 20, 30, 40], 7100)),
        request,
    }
}

fn heartbeat() -> PeerRequest {
    PeerRequest::Heartbeat(Heartbeat {
        vm: VmName::new(VM),
        process_id: u64::MAX / 3,
        draining: false,
        replayed: Offset(1_234_567),
        digest: u64::MAX / 5,
        digest_at: Offset(1_234_000),
    })
}

fn demand(models: usize) -> PeerRequest {
    let line = |number| ModelDemand {
        model: model_name(number),
        arrived: 3,
        waiting: 2,
        running: 1,
        tightest_ms: Some(900),
    };
    PeerRequest::Demand(Demand {
        vm: VmName::new(VM),
        models: (0..models).map(line).collect(),
    })
}

fn loads(engines: usize) -> PeerReply {
    let load = |number| ReplicaLoad {
        engine: engine_name(number),
        running: 12,
        waiting: 3,
        slots: 32,
        age_ms: 800,
    };
    PeerReply::Replicas((0..engines).map(load).collect())
}

fn times_us(count: usize, mut work: impl FnMut()) -> f64 {
    thread_us(|| {
        for _ in 0..count {
            work();
        }
    })
}

fn each_us(work: impl FnMut()) -> f64 {
    times_us(CODEC_RUNS, work) / CODEC_RUNS as f64
}
