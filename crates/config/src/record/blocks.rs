//! Client blocks, cut into parts so that a change of one block moves one small record.

use std::collections::{BTreeMap, BTreeSet};

use ipnet::IpNet;
use serde::Deserialize;
use serde_json::Value;
use wagtail_types::{RecordId, SiteId};

use super::Source;
use crate::ConfigError;

/// A client block and the site that it maps to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Block {
    /// The addresses.
    pub net: IpNet,
    /// The site.
    pub site: SiteId,
}

/// One part of the client blocks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Blocks {
    /// The number of the part.
    pub part: RecordId,
    /// The blocks, ordered by address and prefix length, none twice.
    pub list: Box<[Block]>,
    /// The sites that occur.
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

pub(super) fn blocks(source: &Source<'_>, body: &Value) -> Result<Blocks, ConfigError> {
    let raw: BlocksBody = source.read(body)?;
    source.require(
        raw.blocks.len() <= Blocks::MAX,
        "blocks",
        "more than 1000 blocks",
    )?;
    let mut seen: BTreeMap<IpNet, usize> = BTreeMap::new();
    let mut sites: BTreeSet<SiteId> = BTreeSet::new();
    let mut list = Vec::with_capacity(raw.blocks.len());
    for (at, line) in raw.blocks.iter().enumerate() {
        let field = format!("blocks[{at}]");
        let block = block(line, &mut sites).map_err(|e| source.value(&field, &e))?;
        if let Some(first) = seen.insert(block.net, at) {
            return Err(source.value(&field, &format!("the block stands at {first} too")));
        }
        list.push(block);
    }
    list.sort_by_key(|b| b.net);
    Ok(Blocks {
        part: source.id()?,
        list: list.into(),
        sites,
    })
}

/// Reads `prefix site`; equal site names share their text.
fn block(line: &str, sites: &mut BTreeSet<SiteId>) -> Result<Block, String> {
    let form = "a form like 10.0.0.0/8 site was expected";
    let (net, site) = line.split_once(' ').ok_or(form)?;
    let net: IpNet = net.parse().map_err(|_| form)?;
    if net.trunc() != net {
        return Err("address bits are set past the prefix".to_owned());
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
