//! Counters of the protocol.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// What a peer has counted since its start.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
        pub struct Counts {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counts {
            /// Names and values, in a fixed order.
            pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name),)*].into_iter()
            }
        }

        /// The counters behind [`Counts`].
        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $(pub(crate) $name: Counter,)*
        }

        impl Counters {
            pub(crate) fn read(&self) -> Counts {
                Counts { $($name: self.$name.get(),)* }
            }
        }
    };
}

counters! {
    /// Bytes sent on control connections.
    control_out,
    /// Bytes received on control connections.
    control_in,
    /// Bytes sent on relay connections.
    relay_out,
    /// Bytes received on relay connections.
    relay_in,
    /// Control messages sent.
    messages_out,
    /// Control messages received.
    messages_in,
    /// Control messages dropped before they were sent.
    messages_dropped,
    /// Connections made.
    connects,
    /// Connections that could not be made.
    connect_failures,
    /// Connections refused because the other side did not prove the fleet's secret.
    auth_failures,
    /// Connections refused because the other side is not the host that was meant.
    wrong_hosts,
    /// Connections refused because too many are open.
    connections_refused,
    /// Messages that were malformed or too large.
    malformed,
    /// Relays sent.
    relays_out,
    /// Relays received.
    relays_in,
    /// Relays refused because too many are in flight.
    relays_refused,
    /// Relays sent whose outcome was lost with the connection.
    relays_lost,
    /// Relays received whose caller went away first.
    relays_cancelled,
}

/// One counter.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn up(&self) {
        self.add(1);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
