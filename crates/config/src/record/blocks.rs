//! Client blocks, split over several records so that a change of one block rewrites only a small
//! record.

use std::collections::{BTreeMap, BTreeSet};

use ipnet::IpNet;
use serde::Deserialize;
use serde_json::Value;
use wagtail_types::{RecordId, SiteId};

use super::Validator;
use crate::ConfigError;

/// Maps a block of client addresses to a site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// The prefix of the client addresses.
    pub net: IpNet,
    /// The site that the clients belong to.
    pub site: SiteId,
}

/// Holds one part of the client blocks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blocks {
    /// The name of the part.
    pub part: RecordId,
    /// The blocks, ordered by address and prefix length, without duplicates.
    pub list: Box<[Block]>,
    /// The sites that the blocks map to.
    pub sites: BTreeSet<SiteId>,
}

impl Blocks {
    /// The most blocks that one part may hold.
    pub const MAX: usize = 1_000;
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct BlocksBody {
    blocks: Vec<String>,
}

pub(super) fn blocks(validator: &Validator<'_>, body: &Value) -> Result<Blocks, ConfigError> {
    let raw: BlocksBody = validator.parse(body)?;
    validator.require(
        raw.blocks.len() <= Blocks::MAX,
        "blocks",
        "at most 1000 blocks are allowed",
    )?;
    let mut seen: BTreeMap<IpNet, usize> = BTreeMap::new();
    let mut sites: BTreeSet<SiteId> = BTreeSet::new();
    let mut list = Vec::with_capacity(raw.blocks.len());
    for (index, line) in raw.blocks.iter().enumerate() {
        let field = format!("blocks[{index}]");
        let block = parse_block(line, &mut sites).map_err(|e| validator.value_error(&field, &e))?;
        if let Some(first) = seen.insert(block.net, index) {
            return Err(validator.value_error(
                &field,
                &format!("the block is already listed at index {first}"),
            ));
        }
        list.push(block);
    }
    list.sort_by_key(|b| b.net);
    Ok(Blocks {
        part: validator.id()?,
        list: list.into(),
        sites,
    })
}

/// Parses `PREFIX SITE`. Equal site names share one allocation.
fn parse_block(line: &str, sites: &mut BTreeSet<SiteId>) -> Result<Block, String> {
    let expected = "a form like 10.0.0.0/8 site was expected";
    let (net, site) = line.split_once(' ').ok_or(expected)?;
    let net: IpNet = net.parse().map_err(|_| expected)?;
    if net.trunc() != net {
        return Err("address bits are set beyond the prefix length".to_owned());
    }
    let site: SiteId = site
        .parse()
        .map_err(|e: wagtail_types::ParseError| e.to_string())?;
    if let Some(known) = sites.get(&site) {
        let site = known.clone();
        return Ok(Block { net, site });
    }
    sites.insert(site.clone());
    Ok(Block { net, site })
}
