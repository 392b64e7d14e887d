//! Counters and gauges in the statsd format over UDP.

use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use wagtail_types::{HostId, ServiceId, TeamId, Verdict, ZoneId};

use crate::duty::Duty;

const PREFIX: &str = "wagtail";
/// Lines that may wait to be sent; further ones are dropped.
const QUEUE_LINES: usize = 65_536;

/// The host's counters and gauges.
#[derive(Debug)]
pub(crate) struct Metrics(StatsdClient);

impl Metrics {
    /// Creates a client that sends to `addr` or, without one, nowhere. Every line is tagged with
    /// the host and zone.
    pub(crate) fn new(
        addr: Option<SocketAddr>,
        host: &HostId,
        zone: &ZoneId,
    ) -> std::io::Result<Self> {
        let builder = match addr {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(addr) => {
                let local: SocketAddr = if addr.is_ipv4() {
                    (std::net::Ipv4Addr::UNSPECIFIED, 0).into()
                } else {
                    (std::net::Ipv6Addr::UNSPECIFIED, 0).into()
                };
                let socket = UdpSocket::bind(local)?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(addr, socket).map_err(std::io::Error::other)?;
                StatsdClient::builder(PREFIX, QueuingMetricSink::with_capacity(sink, QUEUE_LINES))
            }
        };
        let client = builder
            .with_tag("host", host.as_str())
            .with_tag("zone", zone.as_str())
            .build();
        Ok(Self(client))
    }

    /// Counts one finished request.
    pub(crate) fn request(&self, team: &TeamId, service: &ServiceId, failure: Option<&Verdict>) {
        let outcome = match failure {
            None => "answered",
            Some(Verdict::NotRun { reason, .. }) => reason.as_str(),
            Some(Verdict::MayHaveRun { cause }) => cause.as_str(),
        };
        self.0
            .count_with_tags("requests", 1)
            .with_tag("team", team.as_str())
            .with_tag("service", service.as_str())
            .with_tag("outcome", outcome)
            .send();
    }

    /// Counts the end of a duty.
    pub(crate) fn duty_ended(&self, duty: Duty) {
        self.0
            .count_with_tags("duties_ended", 1)
            .with_tag("kind", &duty.to_string())
            .send();
    }

    /// Counts a panic in a piece of work that was given up.
    pub(crate) fn panicked(&self, kind: &str) {
        self.0
            .count_with_tags("panics", 1)
            .with_tag("kind", kind)
            .send();
    }

    /// Counts one event.
    pub(crate) fn count(&self, name: &str) {
        self.0.count_with_tags(name, 1).send();
    }

    /// Sets a gauge.
    pub(crate) fn gauge(&self, name: &str, value: u64) {
        self.0.gauge_with_tags(name, value).send();
    }
}
