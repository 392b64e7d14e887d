//! Open connections to endpoints that wait for their next request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use wagtail_steer::EndpointKey;

/// How long a connection may have been idle for its next request; endpoints close idle ones after
/// some seconds and say so in whole seconds, rounded.
const IDLE_MAX: Duration = Duration::from_secs(5);
/// The time before an endpoint's own limit at which a connection is no longer used.
const MARGIN: Duration = Duration::from_millis(1_500);
/// The most idle connections to one endpoint; a host rarely has more requests there at once.
const PER_ENDPOINT: usize = 6;

/// The sender of a connection.
pub(crate) type Sender = SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    until: Instant,
}

/// Idle connections by endpoint.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<EndpointKey, Vec<Idle>>>,
}

impl Pool {
    /// Takes the connection that was used last, if one is still good.
    pub(crate) fn take(&self, endpoint: EndpointKey, now: Instant) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&endpoint)?;
        list.retain(|i| i.until > now && i.sender.is_ready());
        list.pop().map(|i| i.sender)
    }

    /// Keeps a connection whose answer was read whole.
    pub(crate) fn put(
        &self,
        endpoint: EndpointKey,
        sender: Sender,
        keep: Option<Duration>,
        now: Instant,
    ) {
        let stay = keep.map_or(IDLE_MAX, |k| k.saturating_sub(MARGIN).min(IDLE_MAX));
        let mut idle = self.idle.borrow_mut();
        let list = idle.entry(endpoint).or_default();
        if list.len() < PER_ENDPOINT && !stay.is_zero() {
            list.push(Idle {
                sender,
                until: now + stay,
            });
        }
    }

    /// Closes connections that will not be used again.
    pub(crate) fn prune(&self, now: Instant) {
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|i| i.until > now && !i.sender.is_closed());
            !list.is_empty()
        });
    }

    /// Closes all connections to an endpoint.
    pub(crate) fn drop_endpoint(&self, endpoint: EndpointKey) {
        self.idle.borrow_mut().remove(&endpoint);
    }
}
