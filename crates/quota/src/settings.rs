//! Settings of one host's [`Quota`](crate::Quota).

use std::time::Duration;

use wagtail_types::{HostId, Incarnation, Share, Tokens, ZoneId};

use crate::drift::Drift;

const LEASE_TERM: Duration = Duration::from_secs(6);
const OUTAGE_TERM: Duration = Duration::from_secs(600);
const DRIFT_PPM: u32 = 10_000;
const BORROW_TIMEOUT: Duration = Duration::from_millis(250);
const LOAN_TERM: Duration = Duration::from_secs(3);
const PREFETCH_HORIZON: Duration = Duration::from_millis(100);
const GOSSIP_PERIOD: Duration = Duration::from_millis(500);
const MIN_LOAN: Tokens = Tokens::whole(5);
const MIN_ALLOCATION: Tokens = Tokens::whole(8);

/// Holds the settings of one host's [`Quota`](crate::Quota); [`Settings::new`] fills in defaults.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Local host.
    pub host: HostId,
    /// Zone of the local host.
    pub zone: ZoneId,
    /// Incarnation of the local host; must be higher than that of every earlier run.
    pub incarnation: Incarnation,
    /// Duration of a lease, counted from when its last renewal was sent.
    pub lease_term: Duration,
    /// How long a zone that cannot reach the table may keep its leases.
    pub outage_term: Duration,
    /// Bound on how much faster or slower than real time any host's clock may run.
    pub drift: Share,
    /// How long a request may wait for tokens from peers.
    pub borrow_timeout: Duration,
    /// Duration of a loan that includes rate.
    pub loan_term: Duration,
    /// Span of future demand for which tokens are fetched ahead of time.
    pub prefetch_horizon: Duration,
    /// Interval at which hints are sent to a random peer.
    pub gossip_period: Duration,
    /// Smallest burst that one shard of a team should hold.
    pub min_allocation: Tokens,
    /// Smallest burst that a loan of rate brings; the lender keeps at least as much, or nothing.
    pub min_loan: Tokens,
    /// Deliberate fault that the tests must detect.
    #[cfg(feature = "mutants")]
    pub mutant: Option<Mutant>,
}

impl Settings {
    /// Returns the default settings of a host.
    pub fn new(host: HostId, zone: ZoneId, incarnation: Incarnation) -> Self {
        Self {
            host,
            zone,
            incarnation,
            lease_term: LEASE_TERM,
            outage_term: OUTAGE_TERM,
            drift: Share::from_ppm(DRIFT_PPM).unwrap_or_default(),
            borrow_timeout: BORROW_TIMEOUT,
            loan_term: LOAN_TERM,
            prefetch_horizon: PREFETCH_HORIZON,
            gossip_period: GOSSIP_PERIOD,
            min_allocation: MIN_ALLOCATION,
            min_loan: MIN_LOAN,
            #[cfg(feature = "mutants")]
            mutant: None,
        }
    }

    pub(crate) fn drift(&self) -> Drift {
        if self.has_mutant(Mutant::IgnoreDrift) {
            return Drift::new(Share::NONE);
        }
        Drift::new(self.drift)
    }

    #[cfg(feature = "mutants")]
    pub(crate) fn has_mutant(&self, mutant: Mutant) -> bool {
        self.mutant == Some(mutant)
    }

    #[cfg(not(feature = "mutants"))]
    #[expect(clippy::unused_self, reason = "the same call as with the feature")]
    pub(crate) fn has_mutant(&self, _: Mutant) -> bool {
        false
    }
}

/// Deliberate fault that the tests must detect.
#[cfg_attr(
    not(feature = "mutants"),
    expect(unreachable_pub, reason = "public for tests only")
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutant {
    /// A claimant waits for the lease term without the margin for clock drift.
    IgnoreMargin,
    /// Tokens accrue by the local clock without an allowance for its drift.
    IgnoreDrift,
    /// A loan is credited even after it has expired.
    LateCredit,
    /// A shard claimed after its lease expired starts with a full bucket.
    FullAfterExpiry,
    /// A host keeps spending after its lease has expired.
    SpendExpired,
    /// A lender sends tokens without debiting its own bucket.
    NoDebit,
    /// A repeated loan message is credited again.
    CreditTwice,
    /// A write with a lost answer counts as failed, so a host keeps the tokens that it released.
    UnknownIsFailure,
    /// A host claims a shard although it has promised the holder not to.
    BreakPromise,
    /// A returned loan is credited each time its message arrives.
    ReturnTwice,
    /// A loan may outlast the lease that backs it.
    LoanOutlivesLease,
    /// A new spread over the shards is used before every shard has stopped using the old one.
    UnconfirmedSpread,
}
