//! Membership: every host of an idle fleet, on links without loss.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_member::{Effect, HostInfo, Input, Member, Message, Settings};
use wagtail_peer::{Control, wire};
use wagtail_types::{Epoch, HostId, Incarnation};

use super::super::{SlopesError, resident_mb};
use super::{Retained, Size, Tally, Unit, host, memory_per_host, region, zone};

const TIME_STEP: Duration = Duration::from_millis(10);
const SETTLE_TIME: Duration = Duration::from_secs(30);
const MEASURED_TIME: Duration = Duration::from_secs(10);

struct Fleet {
    now: Instant,
    members: Vec<Member>,
    wake_times: Vec<Option<Instant>>,
    index: HashMap<HostId, usize>,
    in_flight: Vec<(usize, usize, Message)>,
    next_contact: Instant,
}

/// Measures membership. An event is a message sent; its cost includes a share of the ticks, table
/// contacts and received messages.
pub(super) fn unit(size: Size, seed: u64, retained: &mut Retained) -> Result<Unit, SlopesError> {
    let memory = resident_mb()?;
    let mut fleet = Fleet::new(size, seed);
    fleet.run(SETTLE_TIME);
    let tally = fleet.run(MEASURED_TIME);
    let memory = memory_per_host(memory, size.hosts)?;
    retained.push(Box::new(fleet));
    Ok(Unit {
        memory: Some(memory),
        ..tally.unit("membership", size, MEASURED_TIME)
    })
}

impl Fleet {
    fn new(size: Size, seed: u64) -> Self {
        let now = Instant::now();
        let info = |n| HostInfo::new(host(n), zone(n, size), region(n, size));
        let infos: Vec<_> = (0..size.hosts).map(info).collect();
        let member = |(n, own): (u64, &HostInfo)| {
            let settings = Settings::new(own.clone(), Incarnation(1));
            let mut member = Member::new(settings, seed + n, now);
            member.handle(now, Input::Hosts(infos.clone()));
            member
        };
        Self {
            now,
            members: (0..).zip(&infos).map(member).collect(),
            index: (0..size.hosts).map(|n| (host(n), n)).collect(),
            wake_times: vec![Some(now); size.hosts],
            in_flight: Vec::new(),
            next_contact: now,
        }
    }

    fn run(&mut self, time: Duration) -> Tally {
        let mut tally = Tally::default();
        let end = self.now + time;
        while self.now < end {
            self.now += TIME_STEP;
            self.step(&mut tally);
        }
        tally
    }

    fn step(&mut self, tally: &mut Tally) {
        let now = self.now;
        for (from, to, message) in std::mem::take(&mut self.in_flight) {
            let input = Input::Received {
                from: host(from),
                message,
            };
            tally.time(|| self.members[to].handle(now, input));
            self.deliver_effects(to, tally);
        }
        let contact = self.next_contact <= now;
        if contact {
            self.next_contact += Duration::from_secs(1);
        }
        for index in 0..self.members.len() {
            let due = self.wake_times[index].is_some_and(|at| at <= now);
            if !due && !contact {
                continue;
            }
            let member = &mut self.members[index];
            if contact {
                let (at, head) = (now, Epoch(1));
                tally.time(|| member.handle(now, Input::TableContact { at, head }));
            }
            if due {
                tally.time(|| member.tick(now));
            }
            self.deliver_effects(index, tally);
        }
    }

    fn deliver_effects(&mut self, from: usize, tally: &mut Tally) {
        self.wake_times[from] = self.members[from].next_wake();
        while let Some(effect) = self.members[from].poll_effect() {
            let Effect::Send { to, message } = effect else {
                continue;
            };
            tally.events += 1;
            tally.bytes += wire::encode(&Control::Member(message.clone())).len();
            self.in_flight.push((from, self.index[&to], message));
        }
    }
}
