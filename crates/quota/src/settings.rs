//! Settings of one host's quota machine.

use std::time::Duration;

use wagtail_types::{HostId, Incarnation, Share, Tokens, ZoneId};

use crate::drift::Drift;

const LEASE_TERM: Duration = Duration::from_secs(6);
const OUTAGE_TERM: Duration = Duration::from_secs(600);
const DRIFT_PPM: u32 = 10_000;
const GATHER_TIMEOUT: Duration = Duration::from_millis(250);
const LOAN_TERM: Duration = Duration::from_secs(3);
const PREFETCH_HORIZON: Duration = Duration::from_millis(100);
const GOSSIP_PERIOD: Duration = Duration::from_millis(500);
const MIN_LOAN: Tokens = Tokens::whole(5);
const MIN_PART: Tokens = Tokens::whole(8);

/// Settings of one host's quota machine; [`Settings::new`] fills in the defaults.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This host.
    pub me: HostId,
    /// The zone of this host.
    pub zone: ZoneId,
    /// This life of the host; it must be higher than every earlier one.
    pub incarnation: Incarnation,
    /// How long a lease lasts from before its last renewal was sent.
    pub lease_term: Duration,
    /// How long a zone without the table may go on with its leases.
    pub outage_term: Duration,
    /// How far any host's clock may run fast or slow.
    pub drift: Share,
    /// How long a request may wait for tokens of other hosts.
    pub gather_timeout: Duration,
    /// How long a loan of rate lasts.
    pub loan_term: Duration,
    /// How much demand is kept ready ahead of time.
    pub prefetch_horizon: Duration,
    /// How often hints are sent to a random host.
    pub gossip_period: Duration,
    /// The least burst that one shard of a team should hold.
    pub min_part: Tokens,
    /// The least burst that a loan of rate brings, and leaves to its lender.
    pub min_loan: Tokens,
    /// A fault built in on purpose, to show that the tests find it.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

impl Settings {
    /// The default settings of a host.
    pub fn new(me: HostId, zone: ZoneId, incarnation: Incarnation) -> Self {
        Self {
            me,
            zone,
            incarnation,
            lease_term: LEASE_TERM,
            outage_term: OUTAGE_TERM,
            drift: Share::from_ppm(DRIFT_PPM).unwrap_or_default(),
            gather_timeout: GATHER_TIMEOUT,
            loan_term: LOAN_TERM,
            prefetch_horizon: PREFETCH_HORIZON,
            gossip_period: GOSSIP_PERIOD,
            min_part: MIN_PART,
            min_loan: MIN_LOAN,
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }

    pub(crate) fn drift(&self) -> Drift {
        if self.has(Mutant::IgnoreDrift) {
            return Drift::new(Share::NONE);
        }
        Drift::new(self.drift)
    }

    #[cfg(feature = "mutants")]
    pub(crate) fn has(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    #[cfg(not(feature = "mutants"))]
    #[expect(clippy::unused_self, reason = "the same call as with the feature")]
    pub(crate) fn has(&self, _: Mutant) -> bool {
        false
    }
}

/// A fault built in on purpose, to show that the tests find it.
#[cfg_attr(
    not(feature = "mutants"),
    expect(unreachable_pub, reason = "public for tests only")
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A claimant waits for the bare term in place of the term plus the drift margin.
    IgnoreMargin,
    /// Tokens accrue by the local clock with no allowance for its drift.
    IgnoreDrift,
    /// A loan is credited even after it has expired.
    LateCredit,
    /// A shard taken after its lease expired starts full.
    FullAfterExpiry,
    /// A host spends on after its lease has expired.
    SpendExpired,
    /// The lender sends tokens without taking them from its own bucket.
    NoDebit,
    /// A repeated loan message is credited again.
    CreditTwice,
    /// A write whose answer was lost is taken as failed: a shard released with its tokens is kept.
    UnknownIsFailure,
    /// A host claims although it has promised the holder not to.
    BreakPromise,
    /// A returned loan is credited each time its message arrives.
    ReturnTwice,
    /// A loan may outlive the lease that it was made from.
    LoanOutlivesLease,
    /// A new spread over the shards is used before every shard has left the old one.
    HastySpread,
}
