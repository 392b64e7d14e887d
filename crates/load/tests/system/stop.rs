//! A graceful stop must not cut off a request that is in flight.

use std::time::Duration;

use wagtail_entryd::Lookup;
use wagtail_load::client::{Call, CallOutcome};
use wagtail_standin::endpoint::{Fault, Faults};

use crate::fixture::{Fixture, KEY, READS, block_on, quiet};

#[test]
fn a_graceful_stop_completes_requests_in_flight_and_lookups_omit_the_host() {
    block_on(async {
        let mut fixture = Fixture::start(&quiet(), &[]).await;
        let [first, second] = fixture.addrs();
        let late = Faults::every(Fault::Late { ms: 500 });
        fixture.endpoint(READS).set_faults(late);
        let host = fixture.fleet.hosts.remove("entry-1").expect("it runs");
        let call = Call::read(READS, KEY);
        let (reply, stopped) = tokio::join!(fixture.caller.call(first, &call), async {
            while fixture
                .endpoint(READS)
                .log()
                .count(wagtail_standin::endpoint::Outcome::Running)
                == 0
            {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            host.stop().await
        });
        assert_eq!(reply.outcome, CallOutcome::Answer);
        stopped.expect("no request was cut");
        let lookup: Lookup = fixture
            .caller
            .json(http::Method::GET, second, "/v1/lookup")
            .await
            .expect("an answer");
        assert!(
            lookup.hosts.iter().all(|h| h.address != first),
            "still listed"
        );
        let refused = fixture.caller.call(first, &call).await;
        assert!(
            matches!(refused.outcome, CallOutcome::Unreached { .. }),
            "{}",
            refused.outcome
        );
    });
}
