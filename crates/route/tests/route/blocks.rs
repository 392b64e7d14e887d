//! The longest-prefix table returns the same sites as a linear scan of all blocks.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use proptest::prelude::*;
use wagtail_route::{PrefixTable, SiteKey};

use crate::support::config;

type BlockSet = Vec<(IpNet, SiteKey)>;

/// Returns one of few distinct addresses, so that blocks nest, touch and repeat.
fn addr(bits: u8, v6: bool, high: bool) -> IpAddr {
    let edge = if high { u32::MAX << 8 } else { 0 };
    if v6 {
        let edge = if high { u128::MAX << 8 } else { 0 };
        Ipv6Addr::from_bits(edge | u128::from(bits)).into()
    } else {
        Ipv4Addr::from_bits(edge | u32::from(bits)).into()
    }
}

fn net(addr: IpAddr, short: u8) -> IpNet {
    match addr {
        IpAddr::V4(a) => IpNet::V4(Ipv4Net::new(a, 32 - short).expect("a valid length")),
        IpAddr::V6(a) => IpNet::V6(Ipv6Net::new(a, 128 - short).expect("a valid length")),
    }
    .trunc()
}

fn any_addr() -> impl Strategy<Value = IpAddr> {
    (any::<u8>(), any::<bool>(), any::<bool>()).prop_map(|(bits, v6, high)| addr(bits, v6, high))
}

fn block_set() -> impl Strategy<Value = BlockSet> {
    let block = (any_addr(), 0..=9_u8, 0..5_u16);
    let block = block.prop_map(|(addr, short, site)| (net(addr, short), SiteKey(site)));
    prop::collection::vec(block, 0..12)
}

/// Returns the site of the longest block; of equal blocks, the last one of the last part wins.
fn scan(parts: &[BlockSet; 3], addr: IpAddr) -> Option<SiteKey> {
    let holds = |(net, _): &&(IpNet, SiteKey)| net.contains(&addr);
    let best = parts.iter().flatten().filter(holds);
    best.max_by_key(|(net, _)| net.prefix_len())
        .map(|(_, site)| *site)
}

proptest! {
    #![proptest_config(config(400))]

    #[test]
    fn lookups_match_a_linear_scan(
        changes in prop::collection::vec((0..3_usize, block_set()), 1..6),
        seen in prop::collection::vec(any_addr(), 40),
    ) {
        let mut blocks = PrefixTable::default();
        let mut parts = [BlockSet::new(), BlockSet::new(), BlockSet::new()];
        for (index, part) in changes {
            blocks.replace(["x", "y", "z"][index], &part);
            parts[index] = part;
            for addr in &seen {
                prop_assert_eq!(blocks.site(*addr), scan(&parts, *addr), "{}", addr);
            }
        }
    }
}

#[test]
fn a_mapped_address_is_an_ipv4_address() {
    let mut blocks = PrefixTable::default();
    blocks.replace("x", &[(net(addr(7, false, false), 0), SiteKey(3))]);
    let mapped: IpAddr = "::ffff:0.0.0.7".parse().expect("an address");
    assert_eq!(blocks.site(mapped), Some(SiteKey(3)));
}
