//! The queue of one service: start-time fair queueing across teams.
//!
//! The requests of a team stay in order. The tag of a request is the virtual time at which it
//! would start if every team with queued requests had slots in proportion to its weight; the
//! request with the lowest tag starts first. A request that cannot start in time is refused on
//! arrival.

mod forecast;

use std::cmp::Ordering;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::key::{TeamKey, Ticket};
use crate::mutant::{Fault, Mutant};
use crate::settings::QueueSettings;

#[derive(Debug)]
pub(crate) struct Queue {
    settings: QueueSettings,
    flows: Vec<Flow>,
    virtual_time: f64,
    len: usize,
    arrivals: u64,
    fault: Fault,
}

#[derive(Debug)]
struct Flow {
    team: Option<TeamKey>,
    /// The virtual time at which the last request of the team would end.
    finish: f64,
    waiting: VecDeque<QueuedRequest>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: Ticket,
    pub(crate) latest_start: Instant,
    /// The virtual start time.
    tag: f64,
    /// The virtual duration, which is the inverse of the weight.
    cost: f64,
    /// The arrival number, which breaks ties between equal tags.
    arrival: u64,
}

/// A request to be queued.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) team: Option<TeamKey>,
    pub(crate) weight: f64,
    pub(crate) latest_start: Instant,
}

/// The estimated times at which slots become free.
#[derive(Debug, Clone)]
pub(crate) struct Availability {
    /// The expected time until each slot is free, shortest first.
    pub(crate) free_in: Vec<Duration>,
    /// The mean duration of one request.
    pub(crate) mean: Duration,
}

/// The reason why a request cannot be queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// The request could not start in time.
    TooLate,
    /// The queue of the team or of the service is full.
    QueueFull,
}

impl Availability {
    /// Returns the expected wait behind `ahead` other requests; `None` if no slot will become free.
    pub(crate) fn wait(&self, ahead: usize) -> Option<Duration> {
        let turn = ahead.checked_rem(self.free_in.len())?;
        let rounds = u32::try_from(ahead / self.free_in.len()).unwrap_or(u32::MAX);
        Some(self.free_in[turn] + self.mean.saturating_mul(rounds))
    }
}

impl Queue {
    pub(crate) fn new(settings: QueueSettings, fault: Fault) -> Self {
        Self {
            settings,
            flows: Vec::new(),
            virtual_time: 0.0,
            len: 0,
            arrivals: 0,
            fault,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the latest time at which a request may start: it must not be queued longer than the
    /// longest wait of the settings, nor start when it could not end before its deadline.
    pub(crate) fn latest_start(&self, now: Instant, deadline: Instant, mean: Duration) -> Instant {
        let latest = deadline.checked_sub(mean).unwrap_or(now);
        latest.min(now + self.settings.max_wait)
    }

    /// Counts a request that starts without being queued.
    pub(crate) fn count_immediate(&mut self, team: Option<TeamKey>, weight: f64) {
        let start = self.virtual_time;
        let flow = self.flow(team);
        let tag = flow.finish.max(start);
        flow.finish = tag + 1.0 / weight;
        self.virtual_time = tag;
    }

    /// Queues a request and returns its ticket, and that of the request evicted for it, if any.
    pub(crate) fn push(
        &mut self,
        now: Instant,
        candidate: &Candidate,
        availability: &Availability,
        ticket: impl FnOnce() -> Ticket,
    ) -> Result<(Ticket, Option<Ticket>), Rejection> {
        let wait = self
            .expected_wait(now, candidate.team, availability)
            .ok_or(Rejection::TooLate)?;
        if now + wait > candidate.latest_start {
            return Err(Rejection::TooLate);
        }
        let own = self.flow(candidate.team).waiting.len();
        if own >= self.settings.team_len {
            return Err(Rejection::QueueFull);
        }
        let evicted = self.make_room(own)?;
        let ticket = ticket();
        self.append(candidate, ticket);
        Ok((ticket, evicted))
    }

    fn append(&mut self, candidate: &Candidate, ticket: Ticket) {
        let start = self.virtual_time;
        self.arrivals += 1;
        let arrival = self.arrivals;
        let flow = self.flow(candidate.team);
        let tag = flow.finish.max(start);
        let cost = 1.0 / candidate.weight;
        flow.finish = tag + cost;
        flow.waiting.push_back(QueuedRequest {
            ticket,
            latest_start: candidate.latest_start,
            tag,
            cost,
            arrival,
        });
        self.len += 1;
    }

    /// If the service's queue is full, evicts the last request of the team with the longest queue.
    fn make_room(&mut self, own: usize) -> Result<Option<Ticket>, Rejection> {
        if self.len < self.settings.total_len {
            return Ok(None);
        }
        let longest = self.flows.iter_mut().max_by_key(|flow| flow.waiting.len());
        let flow = longest
            .filter(|flow| flow.waiting.len() > own + 1)
            .ok_or(Rejection::QueueFull)?;
        let evicted = flow.waiting.pop_back().map(|last| {
            flow.finish = last.tag;
            last.ticket
        });
        self.len -= 1;
        Ok(evicted)
    }

    /// Removes the request that is to start next.
    pub(crate) fn pop(&mut self) -> Option<QueuedRequest> {
        let heads = self.flows.iter().enumerate();
        let heads = heads.filter_map(|(at, flow)| Some((at, flow.waiting.front()?)));
        let first = heads.min_by(|(_, a), (_, b)| a.start_order(b));
        let at = first.map(|(at, _)| at)?;
        let flow = &mut self.flows[at];
        let first = flow.waiting.pop_front()?;
        self.virtual_time = self.virtual_time.max(first.tag);
        self.len -= 1;
        Some(first)
    }

    /// Removes a request whose latest start time has passed.
    pub(crate) fn expired(&mut self, now: Instant) -> Option<Ticket> {
        let ignore_expiry = self.fault.is(Mutant::StartExpired);
        self.remove_first(|waiting| waiting.latest_start < now && !ignore_expiry)
    }

    /// Removes any one request.
    pub(crate) fn remove_any(&mut self) -> Option<Ticket> {
        self.remove_first(|_| true)
    }

    pub(crate) fn remove(&mut self, ticket: Ticket) -> bool {
        self.remove_first(|waiting| waiting.ticket == ticket)
            .is_some()
    }

    fn remove_first(&mut self, matches: impl Fn(&QueuedRequest) -> bool) -> Option<Ticket> {
        let virtual_time = self.virtual_time;
        for flow in &mut self.flows {
            if let Some(at) = flow.waiting.iter().position(&matches) {
                self.len -= 1;
                return flow.remove(at, virtual_time);
            }
        }
        None
    }

    /// Returns the earliest of the latest start times.
    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        let waiting = self.flows.iter().flat_map(|flow| &flow.waiting);
        waiting.map(|waiting| waiting.latest_start).min()
    }

    /// Drops flows that have nothing queued and whose finish tag is no later than that of a new
    /// flow.
    pub(crate) fn drop_idle_flows(&mut self) {
        let virtual_time = self.virtual_time;
        self.flows
            .retain(|flow| !flow.waiting.is_empty() || flow.finish > virtual_time);
        if self.flows.is_empty() {
            self.virtual_time = 0.0;
        }
    }

    fn position(&self, team: Option<TeamKey>) -> Option<usize> {
        let team = team.filter(|_| !self.fault.is(Mutant::Fifo));
        self.flows.iter().position(|flow| flow.team == team)
    }

    fn flow(&mut self, team: Option<TeamKey>) -> &mut Flow {
        let known = self.position(team);
        let at = known.unwrap_or(self.flows.len());
        if known.is_none() {
            self.flows.push(Flow {
                team: team.filter(|_| !self.fault.is(Mutant::Fifo)),
                finish: 0.0,
                waiting: VecDeque::new(),
            });
        }
        &mut self.flows[at]
    }
}

impl QueuedRequest {
    fn start_order(&self, other: &Self) -> Ordering {
        let tags = self.tag.total_cmp(&other.tag);
        tags.then(self.arrival.cmp(&other.arrival))
    }
}

impl Flow {
    /// Removes a request; the tags of those behind it move up, so that the team is not charged for
    /// it.
    fn remove(&mut self, at: usize, virtual_time: f64) -> Option<Ticket> {
        let removed = self.waiting.remove(at)?;
        for later in self.waiting.range_mut(at..) {
            later.tag = (later.tag - removed.cost).max(virtual_time.min(later.tag));
        }
        self.finish -= removed.cost;
        Some(removed.ticket)
    }
}
