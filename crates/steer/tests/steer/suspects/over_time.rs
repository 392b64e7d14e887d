//! What hosts remember of such requests over hours, restarts and many other requests.

use std::time::Duration;

use wagtail_steer::{Outcome, ReportedEnd, SuspectCall, SuspectReport};
use wagtail_types::{Clock, HostId};

use super::Lone;
use super::fleet::{Fleet, Records, SECOND, fingerprint, wall};
use crate::support::name;

const HOUR: Duration = Duration::from_secs(3_600);
/// The number of times that a request may be sent after three endpoints have ended under it.
const SENDS_MAX: usize = 3;
/// The request that ends endpoints.
const DEADLY: u32 = 1_000;

/// Guards against a request that is sent again and again, as the ends of its first endpoints are forgotten
/// or as there is no total of its trials.
#[test]
fn a_request_that_goes_on_crashing_endpoints_is_sent_three_times_more_in_a_day() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(8, seed);
        fleet.deadly.insert(DEADLY);
        fleet.run(70.0, 0.03, 110 * SECOND);
        let after = fleet.most_sent_after_three();
        assert!(after <= SENDS_MAX, "seed {seed}: {after} sends in 110 s");
        for _ in 0..24 {
            fleet.wait(HOUR);
            fleet.run(70.0, 0.3, 2 * SECOND);
        }
        let after = fleet.most_sent_after_three();
        assert!(after <= SENDS_MAX, "seed {seed}: {after} sends in a day");
        for _ in 0..96 {
            fleet.wait(HOUR);
            fleet.run(70.0, 0.3, SECOND);
        }
        // One endpoint a day from then on.
        let after = fleet.most_sent_after_three();
        assert!(after <= SENDS_MAX + 4, "seed {seed}: {after} in five days");
    }
}

/// Guards against a request that is taken for a new one because callers repeat it less often than its ends
/// are remembered.
#[test]
fn a_request_that_is_asked_rarely_is_sent_three_times_more_in_a_day() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(8, seed);
        fleet.deadly.insert(DEADLY);
        for _ in 0..90 {
            fleet.wait(15 * 60 * SECOND);
            fleet.run(2.0, 1.0, SECOND);
        }
        let after = fleet.most_sent_after_three();
        assert!(after <= SENDS_MAX, "seed {seed}: {after} sends");
    }
}

/// Guards against hosts that forget with their processes which requests crash endpoints.
#[test]
fn hosts_that_restart_do_not_send_a_rejected_request_anew() {
    for seed in 0..4 {
        for hosts_at_once in [1, 8] {
            let mut fleet = Fleet::new(8, seed);
            fleet.deadly.insert(DEADLY);
            for _ in 0..10 {
                fleet.run(70.0, 0.03, 8 * SECOND);
                for first in (0..8).step_by(hosts_at_once) {
                    fleet.restart(first..first + hosts_at_once);
                    fleet.run(70.0, 0.03, SECOND / 2);
                }
            }
            let after = fleet.most_sent_after_three();
            let case = format!("seed {seed}, {hosts_at_once} at once");
            assert!(after <= SENDS_MAX, "{case}: {after} sends");
        }
    }
}

/// Guards against a caller who has the ends of a request forgotten by many others.
#[test]
fn other_requests_do_not_displace_what_is_known_of_one() {
    for ends in [2, 3] {
        let mut lone = Lone::new(8);
        lone.crash_repeatedly(1, ends);
        lone.clock.advance(SECOND);
        let now = lone.clock.now();
        let known = lone.host.review_suspects(now);
        for request in 0..10_000 {
            let report = SuspectReport {
                request: fingerprint(10_000 + request),
                ends: vec![ReportedEnd {
                    endpoint: request,
                    started: None,
                    ran_ms: 0,
                    age_ms: 0,
                }],
                survived_ms: None,
            };
            let host: HostId = name("h-1");
            lone.host.learn_suspects(&host, &[report], now);
        }
        assert_eq!(lone.host.review_suspects(now), known);
    }
}

/// Guards against requests that are rejected for good although they are sound, as endpoints crashed for
/// other reasons while they ran there.
#[test]
fn crashes_over_days_condemn_no_sound_request() {
    let (mut sent, mut rejected) = (0, 0);
    for seed in 0..4 {
        let mut fleet = Fleet::new(8, seed);
        for _ in 0..72 {
            fleet.wait(HOUR);
            fleet.run(70.0, 0.0, SECOND);
            fleet.crash_endpoints(3);
            fleet.run(70.0, 0.0, SECOND);
        }
        sent += fleet.sound_sent;
        rejected += fleet.sound_rejected;
    }
    assert!(rejected * 1_000 <= sent, "{rejected} of {sent}");
}

/// Lets a request end three endpoints, and its first trial become due.
fn rejected() -> Lone {
    let mut lone = Lone::new(8);
    lone.crash_repeatedly(1, 3);
    lone.serve_records();
    lone.clock.advance(10 * SECOND);
    lone.place(1, &[]).expect_err("no trial is claimed yet");
    lone
}

/// Guards against a trial that two hosts send, as the registry did not confirm the claim of one.
#[test]
fn a_trial_whose_claim_is_not_confirmed_is_not_sent() {
    let mut lone = rejected();
    let (time, now) = (wall(&lone.clock), lone.clock.now());
    let claim = lone.host.next_suspect_call(time, now).expect("a claim");
    assert!(matches!(claim, SuspectCall::Write { trial: true, .. }));
    lone.host.fail_suspect_call(&claim);
    lone.place(1, &[]).expect_err("not claimed");
    // The registry has it after all.
    assert!(lone.records.apply(&claim).is_some());
    lone.host
        .learn_suspect_records(lone.records.list(), lone.records.version(), time, now);
    lone.clock.advance(60 * SECOND);
    lone.place(1, &[]).expect_err("the next one is due later");
    let (wall, now) = (wall(&lone.clock), lone.clock.now());
    assert_eq!(lone.host.next_suspect_call(wall, now), None);
}

/// Guards against a trial that is lost because no endpoint could be reached.
#[test]
fn a_trial_that_could_not_be_sent_is_sent_later() {
    let mut lone = rejected();
    lone.serve_records();
    let trial = lone.place(1, &[]).expect("the trial");
    lone.finish(1, &trial, Outcome::Unreachable);
    let trial = lone.place(1, &[]).expect("the trial again");
    lone.finish(1, &trial, Outcome::Left);
    lone.place(1, &[]).expect_err("it was sent");
}

/// Guards against a request that seems sound because an endpoint failed it, or reached its deadline, before
/// it could crash.
#[test]
fn an_error_that_an_endpoint_answers_clears_no_request() {
    let mut lone = rejected();
    lone.serve_records();
    let trial = lone.place(1, &[]).expect("the trial");
    lone.finish_after(1, &trial, Outcome::Failed, Some(SECOND));
    lone.place(1, &[]).expect_err("it has not ended well");
}

/// Guards against a request that stays rejected although the operator has removed its record.
#[test]
fn a_request_whose_record_is_removed_is_trusted_again() {
    let mut lone = rejected();
    lone.serve_records();
    let (wall, now) = (wall(&lone.clock), lone.clock.now());
    let version = lone.records.version();
    lone.host
        .learn_suspect_records(Vec::new(), version, wall, now);
    assert!(lone.place(1, &[]).is_ok());
    assert!(lone.place(1, &[]).is_ok());
}

/// Guards against a read that is answered by a replica which lags behind, and seems to say that the record of
/// a request was removed.
#[test]
fn a_read_from_before_a_record_was_written_clears_no_request() {
    let mut lone = rejected();
    let before = lone.records.version();
    lone.serve_records();
    let (wall, now) = (wall(&lone.clock), lone.clock.now());
    lone.host
        .learn_suspect_records(Vec::new(), before, wall, now);
    assert!(lone.host.review_suspects(now).rejected == 1);
}

/// Guards against a popular request whose every placement costs more for ever, as it was at an endpoint that
/// crashed.
#[test]
fn a_request_that_ended_well_is_forgotten_although_it_is_asked() {
    let mut lone = Lone::new(8);
    lone.crash_repeatedly(1, 2);
    for _ in 0..30 {
        let choice = lone.place(1, &[]).expect("a run");
        lone.finish(1, &choice, Outcome::Answered);
        lone.clock.advance(5 * SECOND);
        lone.host.review_suspects(lone.clock.now());
    }
    let choice = lone.place(1, &[]).expect("a run");
    assert_eq!(choice.ended, None);
    assert!(!lone.host.knows_suspect(fingerprint(1)));
}

/// Guards against records that are lost when the registry is restored from an older copy.
#[test]
fn records_that_a_restored_registry_lacks_are_written_again() {
    let mut lone = rejected();
    lone.serve_records();
    let before = lone.records.list();
    lone.records = Records::default();
    let (wall, now) = (wall(&lone.clock), lone.clock.now());
    lone.host.registry_restored(now);
    let version = lone.records.version();
    lone.host
        .learn_suspect_records(Vec::new(), version, wall, now);
    lone.serve_records();
    let after = lone.records.list();
    assert_eq!(after[0].0, before[0].0);
}

/// Guards against a host that was cut off while others saw three endpoints end, and that nobody tells as all of
/// these have restarted since.
#[test]
fn a_host_that_has_heard_nothing_reads_the_records_after_its_first_end() {
    let mut records = Records::default();
    for (id, prefix) in [("h-1", "f"), ("h-2", "g")] {
        let mut lone = Lone::with_names(id, prefix, 8);
        lone.records = records;
        lone.crash_repeatedly(1, 2);
        lone.serve_records();
        records = lone.records;
    }
    let mut lone = Lone::new(8);
    lone.records = records;
    lone.clock.advance(60 * SECOND);
    lone.crash_repeatedly(1, 1);
    lone.serve_records();
    lone.place(1, &[])
        .expect_err("others have seen it end endpoints");
}

/// Guards against a record that is removed although another host has seen an end since the request ended well.
#[test]
fn a_record_with_ends_since_the_request_ended_well_is_not_removed() {
    let mut lone = rejected();
    lone.serve_records();
    let trial = lone.place(1, &[]).expect("the trial");
    lone.finish(1, &trial, Outcome::Answered);
    let mut other = Lone::with_names("h-1", "f", 8);
    other.clock.advance(60 * SECOND);
    other.records = std::mem::take(&mut lone.records);
    other.crash_repeatedly(1, 1);
    // Reads the record first, and then writes it.
    other.serve_records();
    other.serve_records();
    lone.records = other.records;
    lone.clock.advance(60 * SECOND);
    lone.serve_records();
    assert_eq!(lone.records.list().len(), 1);
}

/// Guards against a record that seems removed, as the registry was restored from a copy without it and has
/// given out its version again since.
#[test]
fn a_read_after_a_restore_clears_no_request() {
    let mut lone = rejected();
    lone.serve_records();
    let (wall, now) = (wall(&lone.clock), lone.clock.now());
    lone.host.registry_restored(now);
    let version = lone.records.version() + 1;
    lone.host
        .learn_suspect_records(Vec::new(), version, wall, now);
    assert_eq!(lone.host.review_suspects(now).rejected, 1);
    assert!(lone.host.has_suspect_calls());
}

/// Guards against records that stay in the registry for ever.
#[test]
fn records_of_requests_that_are_not_asked_are_removed() {
    let mut lone = rejected();
    lone.serve_records();
    lone.clock.advance(49 * HOUR);
    lone.host.review_suspects(lone.clock.now());
    let (wall, now) = (wall(&lone.clock), lone.clock.now());
    lone.host
        .learn_suspect_records(lone.records.list(), lone.records.version(), wall, now);
    lone.serve_records();
    assert!(lone.records.list().is_empty());
}
