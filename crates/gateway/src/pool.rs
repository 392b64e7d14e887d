//! A pool of idle connections to endpoints.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use wagtail_steer::EndpointKey;

use crate::connect::Link;

/// The longest idle time after which a connection is still reused; endpoints close idle connections
/// after some seconds.
const IDLE_MAX: Duration = Duration::from_secs(5);
/// The time before the endpoint's announced limit at which a connection is no longer reused;
/// endpoints announce the limit in whole seconds, rounded.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(1_500);
/// The maximum number of idle connections per endpoint; a host rarely has more requests there at
/// once.
const PER_ENDPOINT_MAX: usize = 6;

/// A connection to an endpoint.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) link: Link,
    /// When it was opened.
    pub(crate) opened: Instant,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires: Instant,
}

/// The idle connections, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<EndpointKey, Vec<Idle>>>,
}

impl Pool {
    /// Takes the most recently used connection, if one is still usable.
    pub(crate) fn take(&self, endpoint: EndpointKey, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&endpoint)?;
        list.retain(|i| i.expires > now && i.connection.link.is_ready());
        list.pop().map(|i| i.connection)
    }

    /// Returns a connection to the pool; its last response must have been read completely.
    /// `keep_alive` is the time that the endpoint announced.
    pub(crate) fn put(
        &self,
        endpoint: EndpointKey,
        connection: Connection,
        keep_alive: Option<Duration>,
        now: Instant,
    ) {
        let lifetime = keep_alive.map_or(IDLE_MAX, |k| {
            k.saturating_sub(KEEP_ALIVE_MARGIN).min(IDLE_MAX)
        });
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(endpoint).or_default();
        if list.len() < PER_ENDPOINT_MAX && !lifetime.is_zero() {
            list.push(Idle {
                connection,
                expires: now + lifetime,
            });
        }
    }

    /// Closes connections that have expired or that the endpoint has closed.
    pub(crate) fn prune(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|i| i.expires > now && !i.connection.link.is_closed());
            !list.is_empty()
        });
    }

    /// Closes all idle connections to an endpoint.
    pub(crate) fn drop_endpoint(&self, endpoint: EndpointKey) {
        self.idle.borrow_mut().remove(&endpoint);
    }
}
