//! The configuration records of a deployment.

use serde_json::json;
use wagtail_config::RawRecord;
use wagtail_types::Tokens;

use super::{Layout, Team};
use crate::fleet::digest;

impl Layout {
    /// Returns the records of the deployment; addresses are placeholders until it starts.
    pub fn records(&self) -> Vec<RawRecord> {
        let mut records = self.topology();
        for service in &self.services {
            records.push(raw(
                1,
                "service",
                service.name,
                json!({
                    "class": service.class, "idempotent": service.idempotent,
                    "weight": service.weight, "deadline_ms": 2_000,
                }),
            ));
            for index in 0..service.endpoints {
                let (name, zone) = self.endpoint(service, index);
                records.push(raw(
                    1,
                    "endpoint",
                    &name,
                    json!({
                        "service": service.name, "zone": zone, "addr": "127.0.0.1:1",
                        "slots": service.slots, "connections": service.connections,
                    }),
                ));
            }
        }
        records.extend(self.teams.iter().map(|team| self.team(team, &[team.key()])));
        records
    }

    /// Returns the record of a team with these keys.
    pub fn team(&self, team: &Team, keys: &[String]) -> RawRecord {
        let services: Vec<_> = self.services.iter().map(|s| s.name).collect();
        let keys: Vec<_> = keys.iter().map(|key| digest(key)).collect();
        raw(
            2,
            "team",
            &team.name,
            json!({
                "rate": team.rate, "burst": team.burst.micros() / Tokens::ONE.micros(),
                "keys": keys, "services": services,
            }),
        )
    }

    fn topology(&self) -> Vec<RawRecord> {
        let mut records = Vec::new();
        let zones: Vec<_> = (0..self.hosts.len()).map(|z| self.zone(z)).collect();
        for (index, region) in self.regions.iter().enumerate() {
            let millis = |to: &&str| {
                let delay = if to == region {
                    self.zone_delay
                } else {
                    self.region_delay
                };
                ((*to).to_owned(), json!(delay.as_secs_f64() * 1_000.0))
            };
            let delays: serde_json::Map<_, _> = self.regions.iter().map(millis).collect();
            records.push(raw(1, "region", region, json!({ "delay_ms": delays })));
            let mut order = zones.clone();
            order.rotate_left(2 * index);
            records.push(raw(1, "site", region, json!({ "zones": order })));
            let block = format!("198.51.{index}.0/24 {region}");
            records.push(raw(
                1,
                "blocks",
                &index.to_string(),
                json!({ "blocks": [block] }),
            ));
        }
        for (index, zone) in zones.iter().enumerate() {
            let region = self.regions[index / 2];
            records.push(raw(1, "zone", zone, json!({ "region": region })));
        }
        for (name, zone) in self.host_names() {
            records.push(raw(
                1,
                "host",
                &name,
                json!({
                    "zone": zone, "api": "127.0.0.1:1", "peer": "127.0.0.1:2",
                }),
            ));
        }
        records
    }
}

/// Returns a record in the form that an operator writes.
pub(crate) fn raw(schema: u32, kind: &str, name: &str, body: serde_json::Value) -> RawRecord {
    RawRecord {
        kind: kind.to_owned(),
        name: name.to_owned(),
        schema,
        body,
    }
}
