//! The best that a deployment allows on a day without faults: offered work against slots, with
//! perfect knowledge of both.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::time::Duration;

/// The step of the calculation, in seconds; small against the swings of a day.
const STEP_S: f64 = 1.0;

/// A deployment: what is asked, and what can run it.
#[derive(Debug)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// The services.
    pub services: Vec<Capacity>,
    /// The kinds of requests.
    pub kinds: Vec<Kind>,
    /// The days.
    pub days: Vec<Day>,
}

/// What a service can run.
#[derive(Debug, Clone)]
pub struct Capacity {
    /// The service.
    pub service: String,
    /// Slots by region.
    pub slots: BTreeMap<String, u32>,
    /// Objects that all endpoints together keep warm.
    pub keeps: u32,
}

/// A kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// The place of its service in [`Plan::services`].
    pub service: usize,
    /// The time in which an answer has its full worth.
    pub aim: Duration,
    /// The worth of an answer in time.
    pub worth: f64,
    /// The worth of a late one.
    pub late: f64,
    /// The running time where the endpoint does not know the object.
    pub plain: Duration,
    /// The running time where it does.
    pub warm: Duration,
    /// Objects in each region.
    pub objects: u32,
}

/// A day's demand.
#[derive(Debug)]
pub struct Day {
    /// Its name.
    pub name: String,
    /// Its length.
    pub length: Duration,
    /// What is asked, by zone.
    pub sources: Vec<Source>,
}

/// The demand of a zone.
#[derive(Debug)]
pub struct Source {
    /// The region of the zone.
    pub region: String,
    /// Requests a second of each kind, in the order of [`Plan::kinds`], on average.
    pub rates: Vec<f64>,
    /// How far demand swings around its average, as a part of it.
    pub swing: f64,
    /// The period of the swing.
    pub period: Duration,
    /// Where in its period the swing starts, as a part of it.
    pub phase: f64,
}

/// What a day asks of one service.
#[derive(Debug, Clone, PartialEq)]
pub struct Use {
    /// The service.
    pub service: String,
    /// Its slots.
    pub slots: f64,
    /// Slots at work at the busiest time if no endpoint knew an object.
    pub plain: f64,
    /// The same if all did.
    pub warm: f64,
    /// The part of the objects that endpoints can keep.
    pub keeps: f64,
}

/// The best of one day.
#[derive(Debug)]
pub struct Bound {
    /// The day.
    pub day: String,
    /// The use of each service.
    pub uses: Vec<Use>,
    /// The part of all worth that can be earned where every region may run everything.
    pub together: f64,
    /// The same where each region runs its own requests only.
    pub alone: f64,
    /// The part of the worth of each kind, regions together.
    pub kinds: Vec<(String, f64)>,
}

/// Works out the best of a day.
pub fn bound(plan: &Plan, day: &Day) -> Bound {
    let regions: BTreeSet<&str> = day.sources.iter().map(|s| s.region.as_str()).collect();
    let all: Vec<&str> = regions.iter().copied().collect();
    let (earned, offered) = earn(plan, day, &all);
    let mut alone = 0.0;
    for region in &all {
        alone += sum(&earn(plan, day, &[region]).0);
    }
    let total = sum(&offered).max(f64::MIN_POSITIVE);
    let kinds = plan.kinds.iter().zip(earned.iter().zip(&offered));
    Bound {
        day: day.name.clone(),
        uses: uses(plan, day),
        together: sum(&earned) / total,
        alone: alone / total,
        kinds: kinds
            .map(|(k, (e, o))| (k.name.clone(), e / o.max(f64::MIN_POSITIVE)))
            .collect(),
    }
}

fn sum(values: &[f64]) -> f64 {
    values.iter().sum()
}

/// Requests a second of a kind from some regions at a time.
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

/// The part of a service's objects that all its endpoints together can keep.
fn keeps(plan: &Plan, service: usize, regions: usize) -> f64 {
    let of = plan.kinds.iter().filter(|k| k.service == service);
    let objects: f64 = of.map(|k| f64::from(k.objects) * regions as f64).sum();
    if objects > 0.0 {
        (f64::from(plan.services[service].keeps) / objects).min(1.0)
    } else {
        1.0
    }
}

/// A kind's share of a step.
struct Share<'a> {
    index: usize,
    kind: &'a Kind,
    /// Requests at endpoints that know the object, and at others.
    warm: f64,
    plain: f64,
}

impl Share<'_> {
    fn work(&self) -> f64 {
        self.warm * self.kind.warm.as_secs_f64() + self.plain * self.kind.plain.as_secs_f64()
    }

    fn worth(&self) -> f64 {
        let each = |run: Duration| {
            if run <= self.kind.aim {
                self.kind.worth
            } else {
                self.kind.late
            }
        };
        self.warm * each(self.kind.warm) + self.plain * each(self.kind.plain)
    }
}

/// The worth that requests of some regions can earn on their slots, and what they offer, by kind.
fn earn(plan: &Plan, day: &Day, regions: &[&str]) -> (Vec<f64>, Vec<f64>) {
    let mut earned = vec![0.0; plan.kinds.len()];
    let mut offered = earned.clone();
    let mut asked = earned.clone();
    let mut at = 0.0;
    while at < day.length.as_secs_f64() {
        for (index, capacity) in plan.services.iter().enumerate() {
            let kept = keeps(plan, index, regions.len());
            let of = plan.kinds.iter().enumerate();
            let mut shares: Vec<Share<'_>> = of
                .filter(|(_, kind)| kind.service == index)
                .map(|(i, kind)| {
                    let count = rate(day, i, regions, at + STEP_S / 2.0) * STEP_S;
                    let objects = f64::from(kind.objects) * regions.len() as f64;
                    let first = news(objects, asked[i] + count) - news(objects, asked[i]);
                    asked[i] += count;
                    offered[i] += count * kind.worth;
                    let warm = (count - first) * kept;
                    Share {
                        index: i,
                        kind,
                        warm,
                        plain: count - warm,
                    }
                })
                .collect();
            // Slot time goes to what earns most by it.
            let value = |s: &Share<'_>| s.worth() / s.work().max(f64::MIN_POSITIVE);
            shares.sort_by(|a, b| value(b).total_cmp(&value(a)));
            let mut left = slots(capacity, regions) * STEP_S;
            for share in shares {
                let work = share.work();
                let part = if work > left { left / work } else { 1.0 };
                left -= work * part;
                earned[share.index] += share.worth() * part;
            }
        }
        at += STEP_S;
    }
    (earned, offered)
}

/// How many of some objects have been asked for after so many requests, drawn evenly.
fn news(objects: f64, asked: f64) -> f64 {
    if objects > 0.0 {
        objects * (1.0 - (-asked / objects).exp())
    } else {
        0.0
    }
}

fn uses(plan: &Plan, day: &Day) -> Vec<Use> {
    let regions: BTreeSet<&str> = day.sources.iter().map(|s| s.region.as_str()).collect();
    let regions: Vec<&str> = regions.into_iter().collect();
    let steps = (day.length.as_secs_f64() / STEP_S).ceil();
    let peak = |service: usize, run: &dyn Fn(&Kind) -> Duration| {
        let mut most: f64 = 0.0;
        let mut at = 0.0;
        while at < steps {
            let kinds = plan.kinds.iter().enumerate();
            let work = kinds
                .filter(|(_, k)| k.service == service)
                .map(|(i, k)| rate(day, i, &regions, at * STEP_S) * run(k).as_secs_f64());
            most = most.max(work.sum());
            at += 1.0;
        }
        most
    };
    plan.services
        .iter()
        .enumerate()
        .map(|(i, capacity)| Use {
            service: capacity.service.clone(),
            slots: slots(capacity, &regions),
            plain: peak(i, &|k| k.plain),
            warm: peak(i, &|k| k.warm),
            keeps: keeps(plan, i, regions.len()),
        })
        .collect()
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: {:.3} of the worth, {:.3} if each region runs its own only",
            self.day, self.together, self.alone
        )?;
        for used in &self.uses {
            writeln!(
                f,
                "  {}: {:.0} slots, {:.0} at work at the peak where objects are known, {:.0} where not; \
                 {:.0} % of the objects can be kept",
                used.service,
                used.slots,
                used.warm,
                used.plain,
                used.keeps * 100.0
            )?;
        }
        let kinds: BTreeMap<_, _> = self.kinds.iter().map(|(n, c)| (n, c)).collect();
        for (name, credit) in kinds {
            writeln!(f, "  {name}: {credit:.3}")?;
        }
        Ok(())
    }
}
