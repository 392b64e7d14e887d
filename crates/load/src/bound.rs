//! The upper bound of the worth that a deployment can earn on a day without faults: offered work
//! against slots, with perfect knowledge of both.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The time step of the calculation, in seconds; small compared with the swings of a day.
const STEP_S: f64 = 1.0;

/// A deployment with its demand and its capacity.
#[derive(Debug)]
pub struct Plan {
    /// The name of the deployment.
    pub name: String,
    /// The capacity of each service.
    pub services: Vec<Capacity>,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// The days to calculate.
    pub days: Vec<Day>,
}

/// The capacity of a service.
#[derive(Debug, Clone)]
pub struct Capacity {
    /// The name of the service.
    pub service: String,
    /// The slots in each region.
    pub slots: BTreeMap<String, u32>,
    /// The number of objects that all endpoints together can keep warm.
    pub warm_objects: u32,
}

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    /// The name of the kind.
    pub name: String,
    /// The index of its service in [`Plan::services`].
    pub service: usize,
    /// The latency up to which an answer has its full worth.
    pub target_latency: Duration,
    /// The worth of an answer within the target latency.
    pub worth: f64,
    /// The worth of a later answer.
    pub late_worth: f64,
    /// The service time at an endpoint that does not hold the object.
    pub cold_time: Duration,
    /// The service time at an endpoint that holds the object warm.
    pub warm_time: Duration,
    /// The number of objects in each region.
    pub objects: u32,
}

/// The demand of a day.
#[derive(Debug)]
pub struct Day {
    /// The name of the day.
    pub name: String,
    /// The time span that is calculated.
    pub length: Duration,
    /// The demand of each zone.
    pub sources: Vec<Source>,
}

/// The demand of a zone.
#[derive(Debug)]
pub struct Source {
    /// The region of the zone.
    pub region: String,
    /// The mean requests per second of each kind, in the order of [`Plan::kinds`].
    pub rates: Vec<f64>,
    /// The amplitude of the swing as a fraction of the mean.
    pub swing: f64,
    /// The period of the swing; zero for constant demand.
    pub period: Duration,
    /// The phase at the start as a fraction of the period.
    pub phase: f64,
}

/// The load that a day puts on one service.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceUse {
    /// The name of the service.
    pub service: String,
    /// The slots of the service.
    pub slots: f64,
    /// The slots in use at the peak if every request met a cold object.
    pub cold_peak: f64,
    /// The slots in use at the peak if every request met a warm object.
    pub warm_peak: f64,
    /// The fraction of the objects that endpoints can keep warm.
    pub warm_fraction: f64,
}

/// The upper bound for one day.
#[derive(Debug)]
pub struct Bound {
    /// The name of the day.
    pub day: String,
    /// The load of each service.
    pub uses: Vec<ServiceUse>,
    /// The fraction of the offered worth that can be earned if every region may run every request.
    pub pooled: f64,
    /// The same fraction if each region runs only its own requests.
    pub per_region: f64,
    /// The fraction of the worth of each kind, if every region may run every request.
    pub kinds: Vec<(String, f64)>,
}

/// Calculates the upper bound of a day.
pub fn bound(plan: &Plan, day: &Day) -> Bound {
    let regions: BTreeSet<&str> = day.sources.iter().map(|s| s.region.as_str()).collect();
    let all: Vec<&str> = regions.iter().copied().collect();
    let (earned, offered) = earned_worth(plan, day, &all);
    let mut per_region = 0.0;
    for region in &all {
        per_region += sum(&earned_worth(plan, day, &[region]).0);
    }
    let total = sum(&offered).max(f64::MIN_POSITIVE);
    let kinds = plan.kinds.iter().zip(earned.iter().zip(&offered));
    Bound {
        day: day.name.clone(),
        uses: uses(plan, day),
        pooled: sum(&earned) / total,
        per_region: per_region / total,
        kinds: kinds
            .map(|(k, (e, o))| (k.name.clone(), e / o.max(f64::MIN_POSITIVE)))
            .collect(),
    }
}

fn sum(values: &[f64]) -> f64 {
    values.iter().sum()
}

/// Returns the requests per second of a kind from some regions at a time in seconds.
fn rate(day: &Day, kind: usize, regions: &[&str], at: f64) -> f64 {
    let sources = day.sources.iter();
    let rates = sources
        .filter(|s| regions.contains(&s.region.as_str()))
        .map(|s| {
            let period = s.period.as_secs_f64();
            let turns = if period > 0.0 { at / period } else { 0.0 };
            let wave = ((turns + s.phase) * std::f64::consts::TAU).sin();
            s.rates[kind] * (1.0 + s.swing * wave)
        });
    rates.sum::<f64>().max(0.0)
}

fn slots(capacity: &Capacity, regions: &[&str]) -> f64 {
    let slots = capacity.slots.iter();
    let usable = slots.filter(|(r, _)| regions.contains(&r.as_str()));
    usable.map(|(_, count)| f64::from(*count)).sum()
}

/// Returns the fraction of a service's objects that all its endpoints together can keep warm.
fn warm_fraction(plan: &Plan, service: usize, regions: usize) -> f64 {
    let kinds = plan.kinds.iter().filter(|k| k.service == service);
    let objects: f64 = kinds.map(|k| f64::from(k.objects) * regions as f64).sum();
    if objects > 0.0 {
        (f64::from(plan.services[service].warm_objects) / objects).min(1.0)
    } else {
        1.0
    }
}

/// The requests of one kind in one time step.
struct KindLoad<'a> {
    index: usize,
    kind: &'a Kind,
    /// Requests at endpoints that hold the object warm.
    warm: f64,
    /// Requests at other endpoints.
    cold: f64,
}

impl KindLoad<'_> {
    fn work(&self) -> f64 {
        self.warm * self.kind.warm_time.as_secs_f64()
            + self.cold * self.kind.cold_time.as_secs_f64()
    }

    fn worth(&self) -> f64 {
        let each = |run: Duration| {
            if run <= self.kind.target_latency {
                self.kind.worth
            } else {
                self.kind.late_worth
            }
        };
        self.warm * each(self.kind.warm_time) + self.cold * each(self.kind.cold_time)
    }
}

/// Returns, by kind, the worth that requests of some regions can earn on the slots of these regions,
/// and the worth that they offer.
fn earned_worth(plan: &Plan, day: &Day, regions: &[&str]) -> (Vec<f64>, Vec<f64>) {
    let mut earned = vec![0.0; plan.kinds.len()];
    let mut offered = earned.clone();
    let mut requested = earned.clone();
    let mut at = 0.0;
    while at < day.length.as_secs_f64() {
        for (index, capacity) in plan.services.iter().enumerate() {
            let kept = warm_fraction(plan, index, regions.len());
            let kinds = plan.kinds.iter().enumerate();
            let mut loads: Vec<KindLoad<'_>> = kinds
                .filter(|(_, kind)| kind.service == index)
                .map(|(i, kind)| {
                    let count = rate(day, i, regions, at + STEP_S / 2.0) * STEP_S;
                    let objects = f64::from(kind.objects) * regions.len() as f64;
                    let first = distinct_objects(objects, requested[i] + count)
                        - distinct_objects(objects, requested[i]);
                    requested[i] += count;
                    offered[i] += count * kind.worth;
                    let warm = (count - first) * kept;
                    KindLoad {
                        index: i,
                        kind,
                        warm,
                        cold: count - warm,
                    }
                })
                .collect();
            // Slot time goes first to the kind that earns the most worth per slot time.
            let value = |s: &KindLoad<'_>| s.worth() / s.work().max(f64::MIN_POSITIVE);
            loads.sort_by(|a, b| value(b).total_cmp(&value(a)));
            let mut left = slots(capacity, regions) * STEP_S;
            for load in loads {
                let work = load.work();
                let part = if work > left { left / work } else { 1.0 };
                left -= work * part;
                earned[load.index] += load.worth() * part;
            }
        }
        at += STEP_S;
    }
    (earned, offered)
}

/// Returns the expected number of distinct objects after `requests` requests drawn uniformly from
/// `objects`.
fn distinct_objects(objects: f64, requests: f64) -> f64 {
    if objects > 0.0 {
        objects * (1.0 - (-requests / objects).exp())
    } else {
        0.0
    }
}

fn uses(plan: &Plan, day: &Day) -> Vec<ServiceUse> {
    let regions: BTreeSet<&str> = day.sources.iter().map(|s| s.region.as_str()).collect();
    let regions: Vec<&str> = regions.into_iter().collect();
    let steps = (day.length.as_secs_f64() / STEP_S).ceil();
    let peak = |service: usize, run: &dyn Fn(&Kind) -> Duration| {
        let mut max: f64 = 0.0;
        let mut at = 0.0;
        while at < steps {
            let kinds = plan.kinds.iter().enumerate();
            let work = kinds
                .filter(|(_, k)| k.service == service)
                .map(|(i, k)| rate(day, i, &regions, at * STEP_S) * run(k).as_secs_f64());
            max = max.max(work.sum());
            at += 1.0;
        }
        max
    };
    plan.services
        .iter()
        .enumerate()
        .map(|(i, capacity)| ServiceUse {
            service: capacity.service.clone(),
            slots: slots(capacity, &regions),
            cold_peak: peak(i, &|k| k.cold_time),
            warm_peak: peak(i, &|k| k.warm_time),
            warm_fraction: warm_fraction(plan, i, regions.len()),
        })
        .collect()
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: {:.3} of the worth, {:.3} if each region runs its own only",
            self.day, self.pooled, self.per_region
        )?;
        for used in &self.uses {
            writeln!(
                f,
                "  {}: {:.0} slots, {:.0} at work at the peak where objects are known, {:.0} where not; \
                 {:.0} % of the objects can be kept",
                used.service,
                used.slots,
                used.warm_peak,
                used.cold_peak,
                used.warm_fraction * 100.0
            )?;
        }
        let kinds: BTreeMap<_, _> = self.kinds.iter().map(|(n, c)| (n, c)).collect();
        for (name, part) in kinds {
            writeln!(f, "  {name}: {part:.3}")?;
        }
        Ok(())
    }
}
