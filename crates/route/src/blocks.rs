//! Longest-prefix table from client addresses to sites.

use std::collections::BTreeMap;
use std::net::IpAddr;

use ipnet::IpNet;

/// The index of a site in the caller's numbering; `u16::MAX` is reserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SiteKey(pub u16);

/// Marks ranges without a site, so that a range needs two bytes for its site.
const NO_SITE: SiteKey = SiteKey(u16::MAX);

/// A longest-prefix table over IPv4 and IPv6 blocks.
///
/// Blocks are grouped in named parts that are replaced one at a time. If two parts contain the
/// same block, the part whose name sorts last wins.
///
/// ```
/// use wagtail_route::{PrefixTable, SiteKey};
///
/// let mut blocks = PrefixTable::default();
/// let nets = [("10.0.0.0/8", 1), ("10.1.0.0/16", 2)];
/// let nets = nets.map(|(net, site)| (net.parse().unwrap(), SiteKey(site)));
/// blocks.replace("west", &nets);
///
/// assert_eq!(blocks.site("10.2.0.1".parse().unwrap()), Some(SiteKey(1)));
/// assert_eq!(blocks.site("10.1.0.1".parse().unwrap()), Some(SiteKey(2)));
/// assert_eq!(blocks.site("11.0.0.1".parse().unwrap()), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct PrefixTable {
    parts: BTreeMap<String, BlockSet>,
    v4: Ranges<u32>,
    v6: Ranges<u128>,
}

/// The blocks of one named part.
#[derive(Debug, Clone, Default)]
struct BlockSet {
    v4: Nets<u32>,
    v6: Nets<u128>,
}

/// The blocks of a part for one address family, as given, stored in columns to avoid padding.
#[derive(Debug, Clone, Default)]
struct Nets<A> {
    firsts: Box<[A]>,
    lens: Box<[u8]>,
    sites: Box<[SiteKey]>,
}

#[derive(Debug, Clone, Copy)]
struct Block<A> {
    first: A,
    last: A,
    site: SiteKey,
}

impl PrefixTable {
    /// Replaces one part; an empty list removes it.
    pub fn replace(&mut self, part: &str, nets: &[(IpNet, SiteKey)]) {
        self.parts.remove(part);
        if !nets.is_empty() {
            self.parts.insert(part.to_owned(), BlockSet::new(nets));
        }
        self.v4 = Ranges::new(self.parts.values().flat_map(|p| p.v4.iter()));
        self.v6 = Ranges::new(self.parts.values().flat_map(|p| p.v6.iter()));
    }

    /// Returns the site of the longest block that contains `addr`.
    pub fn site(&self, addr: IpAddr) -> Option<SiteKey> {
        match addr.to_canonical() {
            IpAddr::V4(addr) => self.v4.find(addr.to_bits()),
            IpAddr::V6(addr) => self.v6.find(addr.to_bits()),
        }
    }

    /// Returns the number of blocks in all parts.
    pub fn len(&self) -> usize {
        self.parts.values().map(|p| p.v4.len() + p.v6.len()).sum()
    }

    /// Returns whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the heap memory of the table, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let parts = self.parts.values();
        let raw = parts.map(|p| p.v4.heap_bytes() + p.v6.heap_bytes());
        raw.sum::<usize>() + self.v4.heap_bytes() + self.v6.heap_bytes()
    }
}

impl BlockSet {
    fn new(nets: &[(IpNet, SiteKey)]) -> Self {
        let v4 = nets.iter().filter_map(|(net, site)| match net {
            IpNet::V4(net) => Some((net.network().to_bits(), net.prefix_len(), *site)),
            IpNet::V6(_) => None,
        });
        let v6 = nets.iter().filter_map(|(net, site)| match net {
            IpNet::V4(_) => None,
            IpNet::V6(net) => Some((net.network().to_bits(), net.prefix_len(), *site)),
        });
        Self {
            v4: Nets::new(v4),
            v6: Nets::new(v6),
        }
    }
}

impl<A: Addr> Nets<A> {
    fn new(nets: impl Iterator<Item = (A, u8, SiteKey)> + Clone) -> Self {
        Self {
            firsts: nets.clone().map(|(first, _, _)| first).collect(),
            lens: nets.clone().map(|(_, len, _)| len).collect(),
            sites: nets.map(|(_, _, site)| site).collect(),
        }
    }

    fn len(&self) -> usize {
        self.firsts.len()
    }

    fn iter(&self) -> impl Iterator<Item = Block<A>> {
        let columns = self.firsts.iter().zip(&self.lens).zip(&self.sites);
        columns.map(|((first, len), site)| Block {
            first: *first,
            last: first.block_end(*len),
            site: *site,
        })
    }

    fn heap_bytes(&self) -> usize {
        size_of_val(&*self.firsts) + size_of_val(&*self.lens) + size_of_val(&*self.sites)
    }
}

trait Addr: Copy + Ord {
    fn successor(self) -> Option<Self>;
    fn high_bits(self) -> usize;
    /// Returns the last address of the block that starts here and has this prefix length.
    fn block_end(self, len: u8) -> Self;
}

impl Addr for u32 {
    fn successor(self) -> Option<Self> {
        self.checked_add(1)
    }

    fn high_bits(self) -> usize {
        (self >> 16) as usize
    }

    fn block_end(self, len: u8) -> Self {
        self | u32::MAX.checked_shr(u32::from(len)).unwrap_or(0)
    }
}

impl Addr for u128 {
    fn successor(self) -> Option<Self> {
        self.checked_add(1)
    }

    fn high_bits(self) -> usize {
        (self >> 112) as usize
    }

    fn block_end(self, len: u8) -> Self {
        self | u128::MAX.checked_shr(u32::from(len)).unwrap_or(0)
    }
}

/// Disjoint ranges, each from its start to the start of the next.
#[derive(Debug, Clone, Default)]
struct Ranges<A> {
    starts: Box<[A]>,
    sites: Box<[SiteKey]>,
    /// The index of the first range that starts at or after each value of the leading 16 bits.
    index: Box<[u32]>,
}

impl<A: Addr> Ranges<A> {
    /// Number of values of the leading 16 address bits, by which look-ups are narrowed.
    const INDEX_SIZE: usize = 1 << 16;

    fn new(blocks: impl Iterator<Item = Block<A>>) -> Self {
        let mut blocks: Vec<_> = blocks.collect();
        if blocks.is_empty() {
            return Self {
                starts: Box::default(),
                sites: Box::default(),
                index: Box::default(),
            };
        }
        blocks.sort_by(|a, b| a.first.cmp(&b.first).then(b.last.cmp(&a.last)));
        let (starts, sites) = flatten(&blocks);
        let index = (0..=Self::INDEX_SIZE)
            .map(|top| starts.partition_point(|start| start.high_bits() < top))
            .map(|at| u32::try_from(at).unwrap_or(u32::MAX))
            .collect();
        Self {
            starts: starts.into(),
            sites: sites.into(),
            index,
        }
    }

    fn find(&self, addr: A) -> Option<SiteKey> {
        let top = addr.high_bits();
        let low = *self.index.get(top)? as usize;
        let high = *self.index.get(top + 1)? as usize;
        let within = self.starts[low..high].partition_point(|start| *start <= addr);
        let site = self.sites[(low + within).checked_sub(1)?];
        (site != NO_SITE).then_some(site)
    }

    fn heap_bytes(&self) -> usize {
        size_of_val(&*self.starts) + size_of_val(&*self.sites) + size_of_val(&*self.index)
    }
}

/// Flattens nested blocks, sorted by start with outer blocks first, into disjoint ranges.
fn flatten<A: Addr>(blocks: &[Block<A>]) -> (Vec<A>, Vec<SiteKey>) {
    let mut out = RangeBuilder {
        starts: Vec::with_capacity(blocks.len()),
        sites: Vec::with_capacity(blocks.len()),
    };
    let mut open: Vec<Block<A>> = Vec::new();
    for &block in blocks {
        close_ended(&mut open, &mut out, |outer| outer.last < block.first);
        out.push(block.first, block.site);
        open.push(block);
    }
    close_ended(&mut open, &mut out, |_| true);
    (out.starts, out.sites)
}

fn close_ended<A: Addr>(
    open: &mut Vec<Block<A>>,
    out: &mut RangeBuilder<A>,
    ended: impl Fn(&Block<A>) -> bool,
) {
    while let Some(block) = open.pop_if(|block| ended(block)) {
        if let Some(next) = block.last.successor() {
            out.push(next, open.last().map_or(NO_SITE, |outer| outer.site));
        }
    }
}

struct RangeBuilder<A> {
    starts: Vec<A>,
    sites: Vec<SiteKey>,
}

impl<A: Addr> RangeBuilder<A> {
    fn push(&mut self, start: A, site: SiteKey) {
        if self.starts.last() == Some(&start) {
            self.starts.pop();
            self.sites.pop();
        }
        if self.sites.last().is_some_and(|last| *last == site) {
            return;
        }
        self.starts.push(start);
        self.sites.push(site);
    }
}
