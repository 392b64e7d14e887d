//! Counters of the protocol.

use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts of a peer's events since its start.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
        pub struct Counts {
            $($(#[$doc])* pub $name: u64,)*
        }

        impl Counts {
            /// Returns the names and values, in a fixed order.
            pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> {
                [$((stringify!($name), self.$name),)*].into_iter()
            }
        }

        /// The live counters; [`Counts`] is a snapshot of them.
        #[derive(Debug, Default)]
        pub(crate) struct Counters {
            $(pub(crate) $name: Counter,)*
        }

        impl Counters {
            pub(crate) fn snapshot(&self) -> Counts {
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
    /// Connections opened by this host.
    connects,
    /// Failed attempts to open a connection.
    connect_failures,
    /// Connections refused because the other side did not prove that it knows the fleet's secret.
    auth_failures,
    /// Connections refused because a host with another name answered at the address.
    wrong_hosts,
    /// Incoming connections refused because too many are open.
    connections_refused,
    /// Received messages that were malformed or too large.
    malformed,
    /// Relays sent.
    relays_out,
    /// Relays received.
    relays_in,
    /// Relays refused because too many are in flight, in either direction.
    relays_refused,
    /// Relays sent that ended with the verdict `may-have-run`.
    relays_lost,
    /// Relays received whose caller went away before the handler finished.
    relays_cancelled,
}

/// A counter that several threads may raise.
#[derive(Debug, Default)]
pub(crate) struct Counter(AtomicU64);

impl Counter {
    pub(crate) fn add(&self, count: u64) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }

    pub(crate) fn increment(&self) {
        self.add(1);
    }

    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
