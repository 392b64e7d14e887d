//! Measures the cost of the protocol: bytes on the wire by message type, latency of relays, and
//! throughput of bodies.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::join_all;
use http::{HeaderMap, Method, StatusCode};
use http_body_util::BodyExt;
use tokio::sync::Notify;
use wagtail_member::{Body as MemberBody, Message, Sender, State};
use wagtail_peer::{
    Body, BoxFuture, Control, Counts, Handler, Peer, RelayAnswer, RelayHead, RelayRole, Settings,
    full_body,
};
use wagtail_types::{AttemptId, Epoch, HostId, Incarnation, Verdict};

/// Signals each control message and answers each relay with the request's body.
struct Echo(Notify);

impl Handler for Echo {
    fn control(&self, _: &HostId, _: Incarnation, _: Control) {
        self.0.notify_one();
    }

    fn relay(
        &self,
        _: HostId,
        _: RelayHead,
        body: Body,
    ) -> BoxFuture<Result<RelayAnswer, Verdict>> {
        Box::pin(async {
            Ok(RelayAnswer {
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                body,
            })
        })
    }
}

fn host(name: &str) -> HostId {
    name.parse().expect("a host name")
}

fn start(name: &str, handler: Arc<Echo>) -> Peer {
    let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let secret = "a secret for one process".parse().expect("a secret");
    let settings = Settings::new(host(name), Incarnation(1), listen, secret);
    Peer::start(settings, handler, tokio::runtime::Handle::current()).expect("starts")
}

fn head() -> RelayHead {
    RelayHead {
        attempt: AttemptId(1),
        role: RelayRole::Owner,
        method: Method::GET,
        path: "/substances/50-00-0".to_owned(),
        headers: HeaderMap::new(),
        service: "substances".parse().expect("a service"),
        team: Some("lead".parse().expect("a team")),
        deadline: Some(Duration::from_secs(1)),
        idempotent: true,
        key: None,
        fingerprint: None,
        tried: Vec::new(),
    }
}

fn probe(seq: u64) -> Control {
    Control::Member(Message {
        body: MemberBody::Probe { seq, after: None },
        sender: Sender {
            incarnation: Incarnation(1),
            version: 1,
            state: State::Alive,
            epoch: Epoch(1_000),
            free: 36,
            contact: Some(Duration::from_millis(300)),
        },
        fresh: None,
        adoption: None,
        zones: Vec::new(),
        deltas: Vec::new(),
    })
}

fn control_bytes(counts: Counts) -> u64 {
    counts.control_in + counts.control_out
}

fn relay_bytes(counts: Counts) -> u64 {
    counts.relay_in + counts.relay_out
}

/// Sends a control message and waits until it has arrived.
async fn send(entry: &Peer, owner: &Echo, message: Control) {
    entry.send(&host("owner"), message);
    owner.0.notified().await;
}

/// Relays a request and returns the time until its whole answer has arrived.
async fn relay(entry: &Peer, body: Bytes) -> Duration {
    let start = Instant::now();
    let answer = entry
        .relay(&host("owner"), head(), full_body(body.clone()))
        .await;
    let echoed = answer
        .expect("answers")
        .body
        .collect()
        .await
        .expect("whole")
        .to_bytes();
    assert_eq!(echoed.len(), body.len());
    start.elapsed()
}

fn quantile(times: &mut [Duration], quantile: f64) -> f64 {
    times.sort();
    let last = times.len() - 1;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "an index within the list"
    )]
    let index = (last as f64 * quantile).round() as usize;
    times[index].as_secs_f64() * 1_000_000.0
}

#[tokio::main]
async fn main() {
    const MESSAGES: u64 = 1_000;
    const BATCHES: usize = 200;
    const CONCURRENT: usize = 64;
    const LARGE_BODY_BYTES: usize = 64 * 1024 * 1024;

    let handler = Arc::new(Echo(Notify::new()));
    let owner = start("owner", handler.clone());
    let entry = start("entry", Arc::new(Echo(Notify::new())));
    entry.set_addresses(HashMap::from([(host("owner"), owner.addr())]));

    send(&entry, &handler, probe(0)).await;
    let first = control_bytes(entry.counts());
    for seq in 1..=MESSAGES {
        send(&entry, &handler, probe(seq)).await;
    }
    let each = (control_bytes(entry.counts()) - first) / MESSAGES;
    println!(
        "control: {first} bytes for the connection and first probe, then {each} bytes per probe, sum \
         of both directions"
    );

    relay(&entry, Bytes::new()).await;
    let before = relay_bytes(entry.counts());
    let mut sequential = Vec::new();
    for _ in 0..MESSAGES {
        sequential.push(relay(&entry, Bytes::from_static(&[7; 100])).await);
    }
    let each = (relay_bytes(entry.counts()) - before) / MESSAGES;
    println!(
        "relay: {before} bytes for the connection and first relay, then {each} bytes per relay with \
         100-byte bodies, sum of both directions"
    );
    let (p50, p99) = (
        quantile(&mut sequential, 0.5),
        quantile(&mut sequential, 0.99),
    );
    println!("relay, sequential: p50 {p50:.0} us, p99 {p99:.0} us");

    let start = Instant::now();
    let mut times = Vec::new();
    for _ in 0..BATCHES {
        let batch = (0..CONCURRENT).map(|_| relay(&entry, Bytes::from_static(&[7; 100])));
        times.extend(join_all(batch).await);
    }
    let rate = times.len() as f64 / start.elapsed().as_secs_f64();
    let (p50, p99) = (quantile(&mut times, 0.5), quantile(&mut times, 0.99));
    println!("relay, {CONCURRENT} concurrent: {rate:.0}/s, p50 {p50:.0} us, p99 {p99:.0} us");

    let elapsed = relay(&entry, vec![7; LARGE_BODY_BYTES].into()).await;
    let rate = LARGE_BODY_BYTES as f64 / 1_000_000.0 / elapsed.as_secs_f64();
    println!("64 MiB body, echoed: {rate:.0} MB/s in each direction");
}
