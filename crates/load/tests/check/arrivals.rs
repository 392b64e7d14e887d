//! Arrivals depend on the profile and the seed only.

use std::time::Duration;

use wagtail_load::arrivals::{Profile, arrivals};
use wagtail_load::deployment::Deployment;
use wagtail_load::mix::Mix;

const LONG: Duration = Duration::from_secs(200);

fn mix() -> Mix {
    Deployment::Tender.layout().mix()
}

fn near(count: usize, expected: f64) {
    let (count, slack) = (count as f64, 4.0 * expected.sqrt());
    assert!((count - expected).abs() <= slack, "{count} for {expected}");
}

#[test]
fn arrivals_depend_on_the_seed() {
    let profile = Profile::steady(Duration::from_secs(2));
    assert_eq!(arrivals(&mix(), &profile, 7), arrivals(&mix(), &profile, 7));
    assert_ne!(arrivals(&mix(), &profile, 7), arrivals(&mix(), &profile, 8));
}

#[test]
fn counts_follow_load_shares_and_skew() {
    let (mix, profile) = (mix(), Profile::steady(LONG));
    let due = arrivals(&mix, &profile, 3);
    let all = mix.load() * profile.load * LONG.as_secs_f64();
    near(due.len(), all);
    near(
        due.iter().filter(|a| a.team == 0).count(),
        all * mix.teams[0].share,
    );
    let lookups = all * mix.classes[0].load / mix.load();
    near(due.iter().filter(|a| a.class == 0).count(), lookups);
    near(
        due.iter().filter(|a| a.first_host).count(),
        all * profile.skew,
    );
    assert!(due.is_sorted_by_key(|a| a.at));
    assert!(due.iter().all(|a| a.at < LONG));
    let keyed = |a: &&wagtail_load::arrivals::Arrival| a.keyed || a.repeated;
    assert!(
        due.iter()
            .filter(keyed)
            .all(|a| !mix.classes[a.class].idempotent && a.keyed)
    );
}

#[test]
fn a_surge_changes_the_arrivals_of_one_team_only() {
    let (mix, calm) = (mix(), Profile::steady(LONG));
    let surge = Profile {
        surge: Some((2, 5.0)),
        ..calm.clone()
    };
    let (calm, surge) = (arrivals(&mix, &calm, 3), arrivals(&mix, &surge, 3));
    let of_team = |due: &[wagtail_load::arrivals::Arrival], team| {
        due.iter()
            .filter(|a| a.team == team)
            .copied()
            .collect::<Vec<_>>()
    };
    near(
        of_team(&surge, 2).len(),
        5.0 * mix.load() * 0.5 * mix.teams[2].share * LONG.as_secs_f64(),
    );
    for team in (0..mix.teams.len()).filter(|team| *team != 2) {
        assert_eq!(of_team(&surge, team), of_team(&calm, team));
    }
}

#[test]
fn a_team_without_a_share_sends_nothing() {
    let mut mix = mix();
    mix.teams[0].share = 0.0;
    let due = arrivals(&mix, &Profile::steady(LONG), 3);
    assert!(due.iter().all(|a| a.team != 0));
}
