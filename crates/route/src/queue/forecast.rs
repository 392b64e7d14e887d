//! Simulation of the queue that estimates start times, assuming that nothing else arrives.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::key::TeamKey;
use crate::queue::{Availability, Flow, Queue};

/// A simulation of the queue in which each request takes the mean duration.
struct Forecast<'a> {
    now: Instant,
    flows: &'a [Flow],
    cursors: Vec<Cursor>,
    /// The time until each slot is free, shortest first.
    slots: VecDeque<Duration>,
    mean: Duration,
}

/// The progress of the simulation through the queue of one team.
#[derive(Debug, Clone, Copy, Default)]
struct Cursor {
    next: usize,
    /// The summed cost of expired requests, by which the tags of the others move up.
    shift: f64,
}

/// The request that starts next.
#[derive(Debug, Clone, Copy)]
struct Head {
    flow: usize,
    tag: f64,
    arrival: u64,
}

impl Queue {
    /// Returns the time until a request of this team that arrived now would start; `None` if no
    /// slot will become free.
    pub(crate) fn expected_wait(
        &self,
        now: Instant,
        team: Option<TeamKey>,
        availability: &Availability,
    ) -> Option<Duration> {
        let own = self.position(team);
        let finish = own.map_or(0.0, |at| self.flows[at].finish);
        let mut forecast = Forecast::new(self, now, availability);
        loop {
            let (time, head) = forecast.peek()?;
            let shift = own.map_or(0.0, |at| forecast.cursors[at].shift);
            let tag = (finish - shift).max(self.virtual_time);
            match head.filter(|head| head.tag <= tag) {
                Some(head) => forecast.start_next(head, time),
                None => return Some(time),
            }
        }
    }

    /// Returns the time until the first request of this team has left the queue.
    pub(crate) fn first_departure(
        &self,
        now: Instant,
        team: Option<TeamKey>,
        availability: &Availability,
    ) -> Option<Duration> {
        let own = self.position(team)?;
        let mut forecast = Forecast::new(self, now, availability);
        loop {
            let (time, head) = forecast.peek()?;
            if forecast.cursors[own].next > 0 {
                return Some(time);
            }
            let head = head?;
            forecast.start_next(head, time);
            if head.flow == own {
                return Some(time);
            }
        }
    }

    /// Returns the time until the queue is empty and a slot is free.
    pub(crate) fn time_to_empty(
        &self,
        now: Instant,
        availability: &Availability,
    ) -> Option<Duration> {
        let mut forecast = Forecast::new(self, now, availability);
        loop {
            let (time, head) = forecast.peek()?;
            match head {
                Some(head) => forecast.start_next(head, time),
                None => return Some(time),
            }
        }
    }
}

impl<'a> Forecast<'a> {
    fn new(queue: &'a Queue, now: Instant, availability: &Availability) -> Self {
        Self {
            now,
            flows: &queue.flows,
            cursors: vec![Cursor::default(); queue.flows.len()],
            slots: availability.free_in.iter().copied().collect(),
            mean: availability.mean,
        }
    }

    /// Returns the next time at which a slot is free, and the request that takes it.
    fn peek(&mut self) -> Option<(Duration, Option<Head>)> {
        let time = *self.slots.front()?;
        let at = self.now + time;
        let flows = self.flows.iter().zip(&mut self.cursors).enumerate();
        let heads = flows.filter_map(|(flow, (queued, cursor))| {
            let (tag, arrival) = cursor.head(queued, at)?;
            Some(Head { flow, tag, arrival })
        });
        let order = |a: &Head, b: &Head| {
            let tags = a.tag.total_cmp(&b.tag);
            tags.then(a.arrival.cmp(&b.arrival))
        };
        let head = heads.min_by(order);
        Some((time, head))
    }

    fn start_next(&mut self, head: Head, time: Duration) {
        self.cursors[head.flow].next += 1;
        self.slots.pop_front();
        self.slots.push_back(time + self.mean);
    }
}

impl Cursor {
    /// Returns the tag and arrival number of the first request that has not expired.
    fn head(&mut self, flow: &Flow, at: Instant) -> Option<(f64, u64)> {
        while let Some(waiting) = flow.waiting.get(self.next) {
            if waiting.latest_start >= at {
                return Some((waiting.tag - self.shift, waiting.arrival));
            }
            self.shift += waiting.cost;
            self.next += 1;
        }
        None
    }
}
