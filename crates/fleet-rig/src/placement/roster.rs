//! The operators' files on placement: each proxy has its own, in which other proxies stand at the links of that pair.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::SocketAddr;

use super::hops::Hop;
use crate::link::Link;

/// The zone of all proxies; its groups are stated.
const ZONE: &str = "here";
/// Sets for each proxy of a group: no set weighs more than a quarter of a proxy's load then, and none is split.
pub const SETS_PER_PROXY: usize = 4;

/// How many proxies there are, in how many groups.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub processes: usize,
    pub groups: usize,
}

impl Shape {
    /// Proxies in a group.
    pub fn group_size(self) -> usize {
        self.processes.div_ceil(self.groups.max(1))
    }

    /// Replica sets.
    pub fn sets(self) -> usize {
        SETS_PER_PROXY * self.group_size()
    }
}

/// What differs in one proxy's file from those of the others.
#[derive(Clone, Copy, Debug, Default)]
pub struct Variant {
    /// A proxy that the file leaves out.
    pub without: Option<usize>,
    /// The address of a proxy that the file alone knows, and that does not exist.
    pub ghost: Option<SocketAddr>,
}

/// The name of a proxy.
pub fn name(proxy: usize) -> String {
    format!("n{proxy}")
}

/// The file of proxy `own`, which listens for the others at `address`.
pub fn text(
    shape: Shape,
    own: usize,
    address: SocketAddr,
    links: &BTreeMap<Hop, Link>,
    variant: Variant,
) -> String {
    let most = shape.group_size();
    let mut text = format!("placement {{\ngroup_size {{ least: 2 most: {most} }}\n");
    let _ = writeln!(text, "zone {{ name: {ZONE:?} groups: {} }}", shape.groups);
    for proxy in (0..shape.processes).filter(|proxy| variant.without != Some(*proxy)) {
        let link = links.get(&Hop { from: own, to: proxy }).map(Link::addr);
        let at = if proxy == own { address } else { link.unwrap_or(address) };
        add_proxy(&mut text, &name(proxy), at);
    }
    if let Some(ghost) = variant.ghost {
        add_proxy(&mut text, "ghost", ghost);
    }
    for set in 1..=shape.sets() {
        let _ = writeln!(text, "set {{ cluster: {set} }}");
    }
    text + "}\n"
}

fn add_proxy(text: &mut String, name: &str, address: SocketAddr) {
    let _ = writeln!(text, "proxy {{ name: {name:?} zone: {ZONE:?} address: \"{address}\" }}");
}
