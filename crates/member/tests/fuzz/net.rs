//! A simulated network of hosts in virtual time, with a table service that they poll.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use wagtail_member::{Effect, HostInfo, Input, Member, Message, Mode, Mutant, Settings};
use wagtail_types::{Epoch, HostId, Incarnation};

/// The longest time that a host takes to fetch the configuration of a new epoch.
const FETCH_MAX: Duration = Duration::from_secs(3);

pub(crate) struct Node {
    pub(crate) info: HostInfo,
    pub(crate) member: Option<Member>,
    pub(crate) incarnation: Incarnation,
    pub(crate) paused_until: Option<Instant>,
    pub(crate) sent_bytes: usize,
    pub(crate) sent: usize,
    pub(crate) received_bytes: usize,
    pub(crate) largest_message: usize,
    pub(crate) pauses: usize,
    next_poll: Instant,
    fetch: Option<(Instant, Epoch)>,
}

pub(crate) struct Net {
    pub(crate) now: Instant,
    pub(crate) nodes: Vec<Node>,
    /// The partition of each zone; messages between different partitions are lost.
    pub(crate) partitions: Vec<u8>,
    /// Whether the hosts of each zone can reach the table service.
    pub(crate) table_reachable: Vec<bool>,
    pub(crate) loss_percent: u32,
    /// The committed config epochs, each with the time of its commit.
    pub(crate) epochs: Vec<(Instant, Epoch)>,
    /// The member changes reported so far: when, by which host, and what.
    pub(crate) changes: Vec<(Instant, usize, wagtail_member::MemberChange)>,
    /// Returns the size of a message on the wire, in bytes.
    pub(crate) measure: fn(&Message) -> usize,
    mutant: Option<Mutant>,
    queue: BTreeMap<(Instant, u64), (usize, usize, Message)>,
    sequence: u64,
    last_incarnation: u64,
    rng: SmallRng,
    zones: usize,
}

impl Net {
    /// Creates and starts a fleet of `hosts` hosts, spread over `zones` zones with `per_region`
    /// zones in each region.
    pub(crate) fn new(
        hosts: usize,
        zones: usize,
        per_region: usize,
        seed: u64,
        mutant: Option<Mutant>,
    ) -> Self {
        let now = Instant::now();
        let mut net = Self {
            now,
            nodes: Vec::new(),
            partitions: vec![0; zones],
            table_reachable: vec![true; zones],
            loss_percent: 0,
            epochs: vec![(now, Epoch(1))],
            changes: Vec::new(),
            measure: Message::size,
            mutant,
            queue: BTreeMap::new(),
            sequence: 0,
            last_incarnation: 0,
            rng: SmallRng::seed_from_u64(seed),
            zones,
        };
        for index in 0..hosts {
            let zone = index % zones;
            let name = |prefix: &str, n: usize| format!("{prefix}{n}");
            net.nodes.push(Node {
                info: HostInfo::new(
                    format!("zone{zone}-h{index:03}").parse().expect("a host"),
                    name("zone", zone).parse().expect("a zone"),
                    name("region", zone / per_region).parse().expect("a region"),
                ),
                member: None,
                incarnation: Incarnation(0),
                paused_until: None,
                sent_bytes: 0,
                sent: 0,
                received_bytes: 0,
                largest_message: 0,
                pauses: 0,
                next_poll: now,
                fetch: None,
            });
        }
        (0..hosts).for_each(|index| net.start(index));
        net
    }

    pub(crate) fn zone(&self, index: usize) -> usize {
        index % self.zones
    }

    pub(crate) fn start(&mut self, index: usize) {
        self.last_incarnation += 1;
        let incarnation = Incarnation(self.last_incarnation);
        let mut settings = Settings::new(self.nodes[index].info.clone(), incarnation);
        settings.mutant = self.mutant;
        let mut member = Member::new(settings, self.last_incarnation, self.now);
        let hosts = self.nodes.iter().map(|node| node.info.clone()).collect();
        member.handle(self.now, Input::Hosts(hosts));
        let jitter = Duration::from_millis(self.rng.random_range(0..1000));
        let node = &mut self.nodes[index];
        node.incarnation = incarnation;
        node.paused_until = None;
        node.fetch = None;
        node.next_poll = self.now + jitter;
        node.member = Some(member);
        self.drain(index);
    }

    pub(crate) fn stop(&mut self, index: usize) {
        self.nodes[index].member = None;
        self.nodes[index].paused_until = None;
    }

    /// Returns whether a host is running and not paused.
    pub(crate) fn is_up(&self, index: usize) -> bool {
        self.nodes[index].member.is_some() && self.nodes[index].paused_until.is_none()
    }

    pub(crate) fn input(&mut self, index: usize, input: Input) {
        let now = self.now;
        if let Some(member) = self.nodes[index].member.as_mut() {
            member.handle(now, input);
        }
        self.drain(index);
    }

    pub(crate) fn commit(&mut self) {
        let last = self.epochs.last().map_or(Epoch(0), |head| head.1);
        self.epochs.push((self.now, last.next()));
    }

    /// Returns the latest config epoch committed at `at` or before.
    pub(crate) fn head(&self, at: Instant) -> Epoch {
        let earlier = self.epochs.iter().rev().find(|head| head.0 <= at);
        earlier.map_or(Epoch(0), |head| head.1)
    }

    pub(crate) fn connected(&self, a: usize, b: usize) -> bool {
        self.partitions[self.zone(a)] == self.partitions[self.zone(b)]
    }

    /// Advances virtual time by `time`.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(at) = self.next_event().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            self.process_due();
        }
        self.now = end;
    }

    fn next_wake_of(node: &Node) -> Option<Instant> {
        let member = node.member.as_ref()?;
        let due = [
            member.next_wake(),
            Some(node.next_poll),
            node.fetch.map(|f| f.0),
        ];
        let due = due.into_iter().flatten().min()?;
        Some(node.paused_until.map_or(due, |until| until))
    }

    fn next_event(&self) -> Option<Instant> {
        let wakes = self.nodes.iter().filter_map(Self::next_wake_of);
        let message = self.queue.keys().next().map(|key| key.0);
        wakes.chain(message).min()
    }

    fn process_due(&mut self) {
        for index in 0..self.nodes.len() {
            if Self::next_wake_of(&self.nodes[index]).is_some_and(|at| at <= self.now) {
                self.wake(index);
            }
        }
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (from, to, message) = entry.remove();
            self.deliver(from, to, message);
        }
    }

    fn wake(&mut self, index: usize) {
        let now = self.now;
        let zone = self.zone(index);
        let node = &mut self.nodes[index];
        node.paused_until = None;
        let Some(member) = node.member.as_mut() else {
            return;
        };
        member.tick(now);
        if let Some((_, epoch)) = node.fetch.take_if(|fetch| fetch.0 <= now) {
            member.handle(now, Input::Adopted(epoch));
        }
        if node.next_poll <= now {
            node.next_poll = now + Duration::from_secs(1);
            if self.table_reachable[zone] {
                let head = self.head(now);
                self.fetch(index, head);
                self.input(index, Input::TableContact { at: now, head });
            }
        }
        self.drain(index);
    }

    fn deliver(&mut self, from: usize, to: usize, message: Message) {
        // Messages that arrive during a pause wait in the socket buffer.
        if let Some(until) = self.nodes[to].paused_until {
            self.enqueue(until, from, to, message);
            return;
        }
        let node = &mut self.nodes[to];
        if node.member.is_none() {
            return;
        }
        node.received_bytes += (self.measure)(&message);
        self.fetch(to, message.sender.epoch);
        let from = self.nodes[from].info.host.clone();
        self.input(to, Input::Received { from, message });
    }

    /// Starts to fetch `epoch` unless the host has adopted it or another fetch is in flight.
    fn fetch(&mut self, index: usize, epoch: Epoch) {
        let node = &mut self.nodes[index];
        let view = node
            .member
            .as_ref()
            .and_then(|member| member.get(&node.info.host));
        if view.is_some_and(|view| view.epoch < epoch) && node.fetch.is_none() {
            let wait = self.rng.random_range(Duration::ZERO..FETCH_MAX);
            node.fetch = Some((self.now + wait, epoch));
        }
    }

    fn enqueue(&mut self, at: Instant, from: usize, to: usize, message: Message) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), (from, to, message));
    }

    fn drain(&mut self, index: usize) {
        loop {
            let node = &mut self.nodes[index];
            let Some(effect) = node.member.as_mut().and_then(Member::poll_effect) else {
                return;
            };
            match effect {
                Effect::Send { to, message } => self.transmit(index, &to, message),
                Effect::Changed(change) => self.changes.push((self.now, index, change)),
                Effect::Paused { .. } => node.pauses += 1,
                Effect::ModeChanged(_) | Effect::Replaced { .. } => {}
            }
        }
    }

    fn transmit(&mut self, from: usize, to: &HostId, message: Message) {
        let size = (self.measure)(&message);
        let node = &mut self.nodes[from];
        node.sent += 1;
        node.sent_bytes += size;
        node.largest_message = node.largest_message.max(size);
        let Some(to) = self.nodes.iter().position(|node| node.info.host == *to) else {
            return;
        };
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if lost || !self.connected(from, to) {
            return;
        }
        let millis = match (&self.nodes[from].info, &self.nodes[to].info) {
            (a, b) if a.zone == b.zone => 1,
            (a, b) if a.region == b.region => 2,
            _ => 20,
        };
        let delay = Duration::from_millis(millis + self.rng.random_range(0..=millis / 2));
        self.enqueue(self.now + delay, from, to, message);
    }
}

/// Returns the mode's label, without the time at which the host was cut off.
pub(crate) fn mode_label(mode: Mode) -> &'static str {
    match mode {
        Mode::Current => "current",
        Mode::PlatformOut => "platform-out",
        Mode::CutOff { .. } => "cut-off",
    }
}
