//! Membership: every host of a quiet fleet on a link without loss.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_member::{Effect, HostInfo, Input, Member, Message, Settings};
use wagtail_peer::{Control, wire};
use wagtail_types::{Epoch, HostId, Incarnation};

use super::super::{SlopesError, resident};
use super::{Kept, Size, Tally, Unit, host, memory_each, region, zone};

const STEP: Duration = Duration::from_millis(10);
const SETTLE: Duration = Duration::from_secs(30);
const TIME: Duration = Duration::from_secs(10);

struct Fleet {
    now: Instant,
    members: Vec<Member>,
    wakes: Vec<Option<Instant>>,
    index: HashMap<HostId, usize>,
    under_way: Vec<(usize, usize, Message)>,
    next_contact: Instant,
}

/// An event is a message sent, with the ticks and the messages received that led to it.
pub(super) fn unit(size: Size, seed: u64, kept: &mut Kept) -> Result<Unit, SlopesError> {
    let memory = resident()?;
    let mut fleet = Fleet::new(size, seed);
    fleet.run(SETTLE);
    let tally = fleet.run(TIME);
    let memory = memory_each(memory, size.hosts)?;
    kept.push(Box::new(fleet));
    Ok(Unit {
        memory: Some(memory),
        ..tally.unit("membership", size, TIME)
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
            wakes: vec![Some(now); size.hosts],
            under_way: Vec::new(),
            next_contact: now,
        }
    }

    fn run(&mut self, time: Duration) -> Tally {
        let mut tally = Tally::default();
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.step(&mut tally);
        }
        tally
    }

    fn step(&mut self, tally: &mut Tally) {
        let now = self.now;
        for (from, to, message) in std::mem::take(&mut self.under_way) {
            let input = Input::Received {
                from: host(from),
                message,
            };
            tally.run(|| self.members[to].handle(now, input));
            self.drain(to, tally);
        }
        let contact = self.next_contact <= now;
        if contact {
            self.next_contact += Duration::from_secs(1);
        }
        for index in 0..self.members.len() {
            let due = self.wakes[index].is_some_and(|at| at <= now);
            if !due && !contact {
                continue;
            }
            let member = &mut self.members[index];
            if contact {
                let (at, head) = (now, Epoch(1));
                tally.run(|| member.handle(now, Input::TableContact { at, head }));
            }
            if due {
                tally.run(|| member.tick(now));
            }
            self.drain(index, tally);
        }
    }

    fn drain(&mut self, from: usize, tally: &mut Tally) {
        self.wakes[from] = self.members[from].next_wake();
        while let Some(effect) = self.members[from].poll_effect() {
            let Effect::Send { to, message } = effect else {
                continue;
            };
            tally.events += 1;
            tally.bytes += wire::encode(&Control::Member(message.clone())).len();
            self.under_way.push((from, self.index[&to], message));
        }
    }
}
