//! Measures the traffic and failure-detection time of membership in virtual time.
//!
//! `cargo run --release -p wagtail-member --example fleet [-- HOSTS...]`

#[path = "../tests/fuzz/net.rs"]
#[expect(
    dead_code,
    reason = "the fuzz test uses the rest of the simulated network"
)]
mod net;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use net::Net;
use wagtail_member::{Message, Settings, State};
use wagtail_peer::{Control, wire};
use wagtail_types::{Epoch, Incarnation};

const SETTLE: Duration = Duration::from_secs(120);
const QUIET: Duration = Duration::from_secs(60);
const BUSY: Duration = Duration::from_secs(180);
/// 970 changes a day.
const CHANGE_EVERY: Duration = Duration::from_secs(89);
const CRASHES: usize = 10;

fn main() {
    let requested: Vec<usize> = std::env::args()
        .skip(1)
        .filter_map(|arg| arg.parse().ok())
        .collect();
    let sizes = if requested.is_empty() {
        vec![10, 60, 180, 540]
    } else {
        requested
    };
    println!(
        "bytes: packed by the codec, with answer byte and packet headers\n\
         hosts zones interval | quiet: sent B/s msg/s recv B/s worst B/s | changes: sent B/s worst B/s \
         | confirmed by all zones | stopped host: p50 p99 max bound | stopped zone: p50 p99 max | false deaths | zone view age max \
         | run time per virtual host-second"
    );
    for hosts in sizes {
        measure(hosts);
    }
}

/// Returns the bytes of an encoded message and of the one-byte answer, each in its own packet.
fn wire_bytes(message: &Message) -> usize {
    const PACKET_HEADER_BYTES: usize = 40;
    const ANSWER_BYTES: usize = 1;
    let packed = wire::encode(&Control::Member(message.clone())).len();
    packed + ANSWER_BYTES + 2 * PACKET_HEADER_BYTES
}

/// Traffic of membership, as the mean over all hosts unless stated otherwise.
struct Traffic {
    /// Bytes sent per second.
    sent: f64,
    /// Messages sent per second.
    messages: f64,
    /// Bytes received per second.
    received: f64,
    /// Bytes sent and received per second by the host with the most traffic.
    worst: f64,
}

fn traffic(net: &mut Net, time: Duration) -> Traffic {
    let count = |net: &Net| -> Vec<(usize, usize, usize)> {
        let nodes = net.nodes.iter();
        nodes
            .map(|n| (n.sent_bytes, n.sent, n.received_bytes))
            .collect()
    };
    let before = count(net);
    net.run(time);
    let after = count(net);
    let seconds = time.as_secs_f64();
    let per = |f: fn(&(usize, usize, usize)) -> usize| {
        let sum: usize = before.iter().zip(&after).map(|(b, a)| f(a) - f(b)).sum();
        sum as f64 / seconds / before.len() as f64
    };
    let both = before
        .iter()
        .zip(&after)
        .map(|(b, a)| a.0 - b.0 + a.2 - b.2);
    Traffic {
        sent: per(|n| n.0),
        messages: per(|n| n.1),
        received: per(|n| n.2),
        worst: both.max().unwrap_or(0) as f64 / seconds,
    }
}

fn measure(hosts: usize) {
    let (zones, per_region) = if hosts > 60 { (9, 3) } else { (6, 2) };
    let started = Instant::now();
    let mut net = Net::new(hosts, zones, per_region, 3, None);
    net.measure = wire_bytes;
    net.run(SETTLE);
    let quiet = traffic(&mut net, QUIET);
    let false_before = count_deaths(&net, &[]);
    let changes = traffic_with_changes(&mut net);
    let confirmation_time = confirmation(&mut net);
    let age = zone_age(&net);
    let cost = started.elapsed();
    let simulated = (SETTLE + QUIET + BUSY).as_secs_f64() * hosts as f64;
    let (times, false_deaths) = detection(&mut net, hosts);
    let settings = Settings::new(net.nodes[0].info.clone(), Incarnation(0));
    let zone = zone_loss(&mut net);
    let of_zone = |percent: usize| zone[(zone.len() - 1) * percent / 100];
    let at = |percent: usize| times[(times.len() - 1) * percent / 100];
    println!(
        "{hosts} {zones} {:?} | {:.0} {:.1} {:.0} {:.0} | {:.0} {:.0} | {confirmation_time:.1?} \
         | {:.2?} {:.2?} {:.2?} {:.2?} | {:.1?} {:.1?} {:.1?} | {} | {age:.1?} | {:.1?}",
        settings.probe_interval(hosts),
        quiet.sent,
        quiet.messages,
        quiet.received,
        quiet.worst,
        changes.sent,
        changes.worst,
        at(50),
        at(99),
        at(100),
        settings.detection_timeout(hosts),
        of_zone(50),
        of_zone(99),
        of_zone(100),
        false_before + false_deaths,
        Duration::from_secs_f64(cost.as_secs_f64() / simulated),
    );
}

/// Measures traffic while configuration changes arrive at the rate of the growth target.
fn traffic_with_changes(net: &mut Net) -> Traffic {
    net.commit();
    let first = traffic(net, CHANGE_EVERY);
    net.commit();
    let second = traffic(net, BUSY.saturating_sub(CHANGE_EVERY));
    Traffic {
        sent: f64::midpoint(first.sent, second.sent),
        messages: f64::midpoint(first.messages, second.messages),
        received: f64::midpoint(first.received, second.received),
        worst: first.worst.max(second.worst),
    }
}

/// Measures how long after a commit one host sees it confirmed by every zone.
fn confirmation(net: &mut Net) -> Duration {
    const STEP: Duration = Duration::from_millis(100);
    const LONGEST: Duration = Duration::from_secs(120);
    net.commit();
    let (start, epoch): (Instant, Epoch) = (net.now, net.head(net.now));
    while net.now < start + LONGEST {
        net.run(STEP);
        let member = net.nodes[0].member.as_ref().expect("host 0 runs");
        let confirmation = member.confirmed(epoch, net.now);
        if confirmation.pending.is_empty() && confirmation.unheard.is_empty() {
            break;
        }
    }
    net.now - start
}

/// Returns the age of the oldest view that any host has of another zone.
fn zone_age(net: &Net) -> Duration {
    let members = net.nodes.iter().filter_map(|node| node.member.as_ref());
    let views = members.flat_map(|member| member.zones(net.now));
    views
        .map(|view| net.now - view.as_of)
        .max()
        .unwrap_or_default()
}

/// Counts the false deaths: reports that a host not among `stopped` is dead.
fn count_deaths(net: &Net, stopped: &[usize]) -> usize {
    let dead = net
        .changes
        .iter()
        .filter(|(_, _, c)| c.to == Some(State::Dead));
    dead.filter(|(_, _, c)| stopped.iter().all(|i| net.nodes[*i].info.host != c.host))
        .count()
}

/// Returns how long after `start` each running host declared each stopped host dead.
///
/// A stopped host that was not declared dead counts with `Duration::MAX`.
fn detection_times(net: &Net, start: Instant, stopped: &[usize]) -> Vec<Duration> {
    let mut declared_dead = HashMap::new();
    for (at, index, change) in &net.changes {
        if change.to == Some(State::Dead) {
            declared_dead
                .entry((*index, &change.host))
                .or_insert(*at - start);
        }
    }
    let others = (0..net.nodes.len()).filter(|index| net.is_up(*index));
    let pairs = others.flat_map(|index| stopped.iter().map(move |target| (index, *target)));
    let time =
        |(index, target): (usize, usize)| declared_dead.get(&(index, &net.nodes[target].info.host));
    pairs
        .map(|pair| time(pair).copied().unwrap_or(Duration::MAX))
        .collect()
}

/// Stops a whole zone at once and returns the sorted detection times.
fn zone_loss(net: &mut Net) -> Vec<Duration> {
    const LONGEST: Duration = Duration::from_secs(90);
    let stopped: Vec<usize> = (0..net.nodes.len())
        .filter(|index| net.zone(*index) == 1)
        .collect();
    net.changes.clear();
    let start = net.now;
    for index in &stopped {
        net.stop(*index);
    }
    net.run(LONGEST);
    let mut times = detection_times(net, start, &stopped);
    times.sort_unstable();
    times
}

/// Stops hosts one at a time and returns the sorted detection times and the number of false deaths.
fn detection(net: &mut Net, hosts: usize) -> (Vec<Duration>, usize) {
    let bound = Settings::new(net.nodes[0].info.clone(), Incarnation(0)).detection_timeout(hosts);
    let mut times = Vec::new();
    let mut false_deaths = 0;
    for trial in 0..CRASHES.min(hosts / 3) {
        let target = (trial * 7 + 1) % hosts;
        net.changes.clear();
        let start = net.now;
        net.stop(target);
        net.run(bound * 2);
        false_deaths += count_deaths(net, &[target]);
        times.extend(detection_times(net, start, &[target]));
        net.start(target);
        net.run(bound);
    }
    times.sort_unstable();
    (times, false_deaths)
}
