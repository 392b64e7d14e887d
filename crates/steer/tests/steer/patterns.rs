//! Load patterns of busy days, simulated over several hosts.

use std::time::{Duration, Instant};

use wagtail_steer::Load;
use wagtail_types::Clock;

use crate::simulation::{Simulation, Totals, WARM_RUN};
use crate::support::{TARGET_LATENCY, name, settings};

const WARM_UP: Duration = Duration::from_secs(6);
const SPAN: Duration = Duration::from_secs(20);

fn measure(
    simulation: &mut Simulation,
    objects: u32,
    rate: impl Fn(usize, f64) -> f64 + Copy,
) -> Totals {
    simulation.run(WARM_UP, objects, rate);
    simulation.totals = Totals::default();
    simulation.run(SPAN, objects, rate);
    simulation.totals
}

/// The window in which the share of requests that change their region is limited.
const WINDOW: Duration = Duration::from_secs(2);

/// Returns, by window, the share of some hosts' requests that ran in other regions.
fn remote_shares(
    simulation: &Simulation,
    start: Instant,
    selected: impl Fn(usize) -> bool,
) -> Vec<f64> {
    let mut counts: Vec<(f64, f64)> = Vec::new();
    for (at, host, region) in simulation
        .sent
        .iter()
        .filter(|(_, host, _)| selected(*host))
    {
        let window = at.duration_since(start).as_millis() / WINDOW.as_millis();
        let window = usize::try_from(window).expect("few windows");
        counts.resize(counts.len().max(window + 1), (0.0, 0.0));
        counts[window].0 += f64::from(u8::from(
            region != &simulation.hosts[*host].local_host().region,
        ));
        counts[window].1 += 1.0;
    }
    counts.into_iter().map(|(out, all)| out / all).collect()
}

fn fraction(count: u32, totals: &Totals) -> f64 {
    f64::from(count) / f64::from(totals.requests)
}

/// Guards against thrashing: endpoints cache fewer objects than are requested, and a run without a
/// warm object takes three times as long. Runs without warm objects would need 1.8 times the slots,
/// warm runs half of them; nine of ten answers must be in time.
#[test]
fn objects_stay_at_endpoints_where_they_are_warm() {
    let mut simulation = Simulation::new(&["a1", "a2"], &[("a1", 3), ("a2", 3)]);
    let totals = measure(&mut simulation, 90, |_, _| 25.0);
    assert!(fraction(totals.in_time, &totals) > 0.9, "{totals:?}");
}

/// At the start of a day no object is warm, and more requests for an object arrive while the first one
/// runs. They must join it at its endpoint, where the object is warm as soon as it runs; elsewhere they
/// would run as long as the first one. One late run per object is unavoidable; a fifth more may be due
/// to busy endpoints.
#[test]
fn first_requests_for_an_object_go_to_one_endpoint() {
    const SEEDS: u32 = 8;
    const OBJECTS: u32 = 24;
    let mut late = 0;
    for seed in 1..=u64::from(SEEDS) {
        let mut simulation = Simulation::new(&["a1"], &[("a1", 12)]);
        simulation.seed = seed;
        simulation.run(Duration::from_secs(6), OBJECTS, |_, _| 30.0);
        late += simulation.totals.late;
    }
    let unavoidable = SEEDS * OBJECTS;
    assert!(late * 5 <= unavoidable * 6, "{late} of {unavoidable}");
}

/// From its start a region has many more requests than its slots carry. Warming an object takes the slots of
/// three warm runs, so that hosts must not go on warming until nothing else runs: after two seconds, four
/// fifths of the slots' warm runs must be answered in time.
#[test]
fn an_overloaded_region_does_not_warm_further_objects() {
    let mut in_time = 0;
    for seed in 1..=8 {
        let mut simulation = Simulation::new(&["a1", "a2"], &[("a1", 1), ("a2", 1)]);
        simulation.seed = seed;
        simulation.run(Duration::from_secs(2), 45, |_, _| 60.0);
        simulation.totals = Totals::default();
        simulation.run(SPAN, 45, |_, _| 60.0);
        in_time += simulation.totals.in_time;
    }
    let capacity = 8.0 * 6.0 / WARM_RUN.as_secs_f64() * SPAN.as_secs_f64();
    assert!(
        f64::from(in_time) > 0.8 * capacity,
        "{in_time} of {capacity}"
    );
}

/// All hosts restart near full load and lose their state, while the endpoints keep their warm
/// objects. The first runs say nothing about run times without a warm object, but requests must
/// find the endpoints where their objects are warm again. Nine tenths of the earlier rate of timely
/// answers must be back after a few seconds.
#[test]
fn restarted_hosts_find_warm_objects() {
    for seed in 1..=8 {
        let zones = ["a1", "a2", "a1", "a2"];
        let mut simulation = Simulation::new(&zones, &[("a1", 5), ("a2", 5)]);
        simulation.seed = seed;
        let before = measure(&mut simulation, 120, |_, _| 30.0);
        simulation.restart_hosts();
        let after = measure(&mut simulation, 120, |_, _| 30.0);
        let (before, after) = (
            fraction(before.in_time, &before),
            fraction(after.in_time, &after),
        );
        assert!(after > 0.9 * before, "{seed}: {before:.3}, then {after:.3}");
    }
}

/// One region has a third of the slots that its callers need, another three times what its own
/// callers need. Together the slots suffice, so that the excess must spill over.
#[test]
fn a_small_region_uses_the_slots_of_a_large_one() {
    let mut simulation = Simulation::new(&["a1", "b1"], &[("a1", 6), ("b1", 1)]);
    let totals = measure(&mut simulation, 24, |_, _| 28.0);
    assert!(fraction(totals.in_time, &totals) > 0.8, "{totals:?}");
}

/// A burst exceeds all slots. What is accepted must be answered in time, so that the rest must be
/// rejected at once rather than queued.
#[test]
fn a_burst_is_rejected_rather_than_queued() {
    let mut simulation = Simulation::new(&["a1", "a2"], &[("a1", 3), ("a2", 3)]);
    simulation.run(WARM_UP, 24, |_, _| 25.0);
    simulation.totals = Totals::default();
    // Twice the throughput of warm runs on all slots: 18 slots, 192 ms each.
    simulation.run(SPAN, 24, |_, _| 93.0);
    let totals = simulation.totals;
    let answered = totals.in_time + totals.late;
    let capacity = 18.0 / 0.192 * SPAN.as_secs_f64();
    assert!(
        f64::from(totals.in_time) > 0.8 * f64::from(answered),
        "{totals:?}"
    );
    assert!(
        f64::from(answered) > 0.8 * capacity,
        "{totals:?} of {capacity}"
    );
}

/// A third of the endpoints refuse four of ten requests in spite of free slots. The others have
/// room for all, so that at most one request in twenty should meet a refusal; without weighing
/// refusals it would be one in seven.
#[test]
fn endpoints_that_refuse_despite_free_slots_receive_less() {
    let mut simulation = Simulation::new(&["a1", "a2"], &[("a1", 3), ("a2", 3)]);
    simulation.set_refusal_rate(2, 0.4);
    let totals = measure(&mut simulation, 60, |_, _| 15.0);
    assert!(fraction(totals.shed, &totals) < 0.05, "{totals:?}");
    assert!(fraction(totals.rejected, &totals) < 0.005, "{totals:?}");
}

/// Endpoints refuse more than half of all requests in spite of free slots. A caller that meets only
/// refusals comes back once, early enough to be answered in time; a full endpoint asks for a longer
/// wait the longer its queue is.
#[test]
fn callers_refused_despite_a_free_slot_can_return_in_time() {
    let load = |running, waiting| Load {
        running,
        waiting,
        slots: 3,
    };
    // The wait is extended by up to a half, and the caller needs two round trips to come back.
    let returns = load(2, 0).retry_after().mul_f64(1.5) + Duration::from_millis(10);
    assert!(returns + WARM_RUN < TARGET_LATENCY, "{returns:?}");
    let full = [0, 3, 9].map(|waiting| load(3, waiting).retry_after());
    assert!(full.is_sorted() && full[0] < full[2], "{full:?}");
    assert!(full[0] > load(2, 0).retry_after(), "{full:?}");
}

/// A burst finds all slots busy for a moment. A caller that is refused comes back once, and must not be
/// told to stay away until its answer is late anyway: when slots are about to become free, it must be
/// able to return and be answered in time.
#[test]
fn callers_refused_in_a_burst_can_return_in_time() {
    let mut simulation = Simulation::new(&["a1", "a2"], &[("a1", 3), ("a2", 3)]);
    simulation.run(WARM_UP, 24, |_, _| 25.0);
    simulation.waits.clear();
    simulation.run(Duration::from_secs(2), 24, |_, _| 120.0);
    let in_time = |wait: &&Duration| wait.mul_f64(1.5) + WARM_RUN < TARGET_LATENCY;
    let count = simulation.waits.iter().filter(in_time).count();
    assert!(!simulation.waits.is_empty());
    assert!(
        count * 2 > simulation.waits.len(),
        "{count} of {}",
        simulation.waits.len()
    );
}

/// Two regions' demand swings by half in opposite phase, so that each exceeds its own slots in turn
/// and must use the other's.
#[test]
fn regions_with_opposite_load_waves_share_their_slots() {
    let mut simulation = Simulation::new(&["a1", "b1"], &[("a1", 3), ("b1", 3)]);
    let wave = |host: usize, at: f64| {
        let phase = if host == 0 { 0.0 } else { std::f64::consts::PI };
        30.0 * (1.0 + 0.55 * (at / 18.0 * std::f64::consts::PI + phase).sin())
    };
    let totals = measure(&mut simulation, 24, wave);
    assert!(fraction(totals.in_time, &totals) > 0.8, "{totals:?}");
}

/// A team that only a remote region may serve must find endpoints there where its objects become
/// warm like all others, also while the slots there are busy.
#[test]
fn a_team_pinned_to_a_remote_region_is_served_like_others() {
    let mut simulation = Simulation::new(&["a1", "b1"], &[("a1", 3), ("b1", 3)]);
    simulation.permitted_regions = vec![Vec::new(), vec![crate::support::name("a")]];
    let totals = measure(
        &mut simulation,
        24,
        |host, _| if host == 0 { 30.0 } else { 10.0 },
    );
    assert!(fraction(totals.in_time, &totals) > 0.8, "{totals:?}");
}

/// Traffic starts at once in a region with room for a third of it. In a large fleet hosts receive
/// the demand late, and weights move while the first requests run. From one window to the next, at
/// most the allowed share may change its region. A few hundred requests scatter, so that the mean
/// over many seeds is checked.
#[test]
fn initial_demand_shifts_between_regions_gradually() {
    const SEEDS: u32 = 8;
    for digest_steps in [80, 160, 240, 320] {
        let mut shares = [0.0; 4];
        for seed in 1..=u64::from(SEEDS) {
            let zones = ["a1", "a2", "a1", "a2", "a1", "a2", "b1"];
            let mut simulation = Simulation::new(&zones, &[("a1", 3), ("b1", 9)]);
            simulation.seed = seed;
            simulation.digest_steps = digest_steps;
            let start = simulation.clock.now();
            simulation.run(4 * WINDOW, 24, |host, _| if host < 6 { 15.0 } else { 5.0 });
            let remote_shares = remote_shares(&simulation, start, |host| host < 6);
            for (sum, fraction) in shares.iter_mut().zip(remote_shares) {
                *sum += fraction / f64::from(SEEDS);
            }
        }
        for pair in shares.windows(2) {
            assert!(pair[1] - pair[0] <= 0.15, "{digest_steps}: {shares:?}");
        }
        assert!(shares[3] > 0.2, "{digest_steps}: {shares:?}");
    }
}

/// Traffic starts at once in a region with a tenth of the slots that its callers need, and some of them may
/// run nowhere else. If the region takes requests until the demand is known, its endpoints fill up and it
/// rejects many in the next window; the same number of requests elsewhere is then a larger share of what
/// runs. From one window to the next, at most the allowed share may change its region.
#[test]
fn initial_rejections_by_a_small_region_shift_no_requests() {
    const SEEDS: u32 = 4;
    const HOSTS: usize = 28;
    const PINNED_EVERY: usize = 7;
    for rate in [6.0, 10.0] {
        let mut shares = [0.0; 4];
        for seed in 1..=u64::from(SEEDS) {
            let mut zones = ["a1"; HOSTS].to_vec();
            zones.extend(["b1"; 4]);
            let mut simulation = Simulation::new(&zones, &[("a1", 10), ("b1", 50)]);
            simulation.seed = seed;
            simulation.fan_out = Some(settings().fan_out);
            for host in (0..HOSTS).step_by(PINNED_EVERY) {
                simulation.permitted_regions[host] = vec![name("a")];
            }
            simulation.run(2 * WINDOW, 0, |_, _| 0.0);
            let start = simulation.clock.now();
            simulation.run(4 * WINDOW, 500, |_, _| rate);
            let remote_shares = remote_shares(&simulation, start, |host| host < HOSTS);
            for (sum, fraction) in shares.iter_mut().zip(remote_shares) {
                *sum += fraction / f64::from(SEEDS);
            }
        }
        for pair in shares.windows(2) {
            assert!((pair[1] - pair[0]).abs() <= 0.15, "{rate}: {shares:?}");
        }
    }
}

/// Half of a region's endpoints ask for a pause of some seconds, and come back. The region's slots are
/// missing meanwhile, but from one window to the next at most the allowed share of its requests may
/// change their region.
#[test]
fn a_pause_of_many_endpoints_shifts_requests_gradually() {
    const SEEDS: u32 = 8;
    let mut shares = [0.0; 6];
    for seed in 1..=u64::from(SEEDS) {
        let zones = ["a1", "a2", "a1", "a2", "b1", "b2", "b1", "b2"];
        let mut simulation = Simulation::new(&zones, &[("a1", 6), ("b1", 6)]);
        simulation.seed = seed;
        simulation.run(4 * WINDOW, 24, |_, _| 10.0);
        simulation.sent.clear();
        let start = simulation.clock.now();
        simulation.run(WINDOW, 24, |_, _| 10.0);
        simulation.pause(3, 2 * WINDOW);
        simulation.run(5 * WINDOW, 24, |_, _| 10.0);
        let remote_shares = remote_shares(&simulation, start, |host| host < 4);
        for (sum, fraction) in shares.iter_mut().zip(remote_shares) {
            *sum += fraction / f64::from(SEEDS);
        }
    }
    for pair in shares.windows(2) {
        assert!((pair[1] - pair[0]).abs() <= 0.15, "{shares:?}");
    }
}

/// Callers of a large region may be served only in a small one, whose own callers may run anywhere.
/// Those must make room, as there are enough slots elsewhere, as fast as requests may change their
/// region. With one endpoint in the small region single runs scatter, so that the mean over many
/// seeds is checked.
#[test]
fn unrestricted_requests_make_room_for_pinned_ones() {
    const SEEDS: u32 = 12;
    let mut all = Totals::default();
    let mut moved: Vec<f64> = Vec::new();
    for seed in 1..=u64::from(SEEDS) {
        let mut simulation = Simulation::new(&["a1", "b1"], &[("a1", 6), ("b1", 1)]);
        simulation.seed = seed;
        simulation.permitted_regions = vec![vec![crate::support::name("b")], Vec::new()];
        let start = simulation.clock.now();
        let rate = |host, _| if host == 0 { 9.0 } else { 14.0 };
        // The share moves from none to all in steps of 0.15 per window, of which weights use a
        // part.
        simulation.run(12 * WINDOW, 24, rate);
        for (i, fraction) in remote_shares(&simulation, start, |host| host == 1)
            .into_iter()
            .enumerate()
        {
            moved.resize(moved.len().max(i + 1), 0.0);
            moved[i] += fraction / f64::from(SEEDS);
        }
        let totals = measure(&mut simulation, 24, rate);
        all.requests += totals.requests;
        all.in_time += totals.in_time;
    }
    assert!(fraction(all.in_time, &all) > 0.8, "{all:?}");
    for pair in moved.windows(2) {
        assert!(pair[1] - pair[0] <= 0.15, "{moved:?}");
    }
}
