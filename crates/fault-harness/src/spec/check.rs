//! Validates what the schema cannot express: ranges of numbers, references to boxes, nodes and tenants, and shares
//! within 0 to 1.

use toml::Spanned;

use super::{Doing, Ends, Spec, When, Wrong};
use crate::relay::{Conditions, Site};

/// Maximum number of nodes in a scenario.
pub const MOST_NODES: u16 = 90;
/// Maximum number of boxes in a scenario.
const MOST_BOXES: usize = 100;

/// Which kinds of link ends a field may name.
#[derive(Clone, Copy, PartialEq)]
enum May {
    Node,
    Box,
    Any,
}

fn wrong(offset: usize, path: impl Into<String>, what: impl Into<String>) -> Wrong {
    Wrong { offset, path: path.into(), what: what.into() }
}

impl Spec {
    pub(super) fn check(&self, text: &str) -> Result<(), Wrong> {
        // Unspanned values have only a path: the error points to the first `key =` in the file with the path's last
        // segment.
        let find = |key: &str| text.find(&format!("{key} =")).unwrap_or(0);
        let plain = |ok: bool, path: &str, what: String| {
            let key = path.rsplit('.').next().unwrap_or(path);
            if ok {
                Ok(())
            } else {
                Err(wrong(find(key), path, what))
            }
        };
        plain(self.version == 1, "version", format!("1 expected, got {}", self.version))?;
        let nodes = self.nodes.count;
        let most = format!("1 to {MOST_NODES} expected, got {nodes}");
        plain((1..=MOST_NODES).contains(&nodes), "nodes.count", most)?;
        let late = format!("less than the {nodes} nodes expected, got {}", self.nodes.late);
        plain(self.nodes.late < nodes, "nodes.late", late)?;
        plain(!self.depots.is_empty(), "depots", "at least one name expected".into())?;
        let boxes = self.each_box().count();
        plain(
            (1..=MOST_BOXES).contains(&boxes),
            "boxes.count",
            format!("1 to {MOST_BOXES} boxes expected, got {boxes}"),
        )?;
        plain(!self.tenants.is_empty(), "tenants", "at least one expected".into())?;
        for (at, group) in self.boxes.iter().enumerate() {
            let depot = &group.depot;
            if !self.depots.contains(depot.as_ref()) {
                let what = format!("one of the depots {:?} expected, got {:?}", self.depots, depot.as_ref());
                return Err(wrong(depot.span().start, format!("boxes[{at}].depot"), what));
            }
            if let Some(of) = group.at.as_ref().filter(|of| usize::from(*of.as_ref()) >= boxes) {
                let what = format!("a box below {boxes} expected, got {}", of.as_ref());
                return Err(wrong(of.span().start, format!("boxes[{at}].at"), what));
            }
        }
        for tenant in &self.tenants {
            let named =
                !tenant.name.is_empty() && tenant.name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
            plain(named, "tenants.name", format!("letters, digits and - expected, got {:?}", tenant.name))?;
            let rate = tenant.rate.is_finite() && tenant.rate >= 0.0;
            plain(rate, "tenants.rate", format!("0 or more expected, got {}", tenant.rate))?;
            plain(tenant.keys > 0, "tenants.keys", "at least 1 expected".into())?;
            plain(share(tenant.writes), "tenants.writes", format!("0 to 1 expected, got {}", tenant.writes))?;
        }
        self.faults.iter().enumerate().try_for_each(|(at, fault)| {
            self.check_when(&fault.when, &format!("faults[{at}].when"))?;
            self.check_doing(&fault.doing, &format!("faults[{at}].do"))
        })
    }

    fn check_when(&self, when: &When, path: &str) -> Result<(), Wrong> {
        match when {
            When::At(_) | When::Later(_) => Ok(()),
            When::Attempts { of, .. } => self.site(of, May::Box, path),
            When::Told { node, .. } | When::Datagrams { from: node, .. } => self.site(node, May::Node, path),
            When::Ready(nodes) | When::Ended(nodes) => self.sites(nodes, May::Node, path),
        }
    }

    fn check_doing(&self, doing: &Doing, path: &str) -> Result<(), Wrong> {
        match doing {
            Doing::Kill(nodes) | Doing::Stop(nodes) | Doing::Pause(nodes) | Doing::Resume(nodes) => {
                self.sites(nodes, May::Node, path)
            }
            Doing::Start { nodes, .. } => self.sites(nodes, May::Node, path),
            Doing::Part(Ends { from, to })
            | Doing::Cut(Ends { from, to })
            | Doing::Reset(Ends { from, to }) => {
                self.sites(from, May::Any, path)?;
                self.sites(to, May::Any, path)
            }
            Doing::Link { from, to, conditions } => {
                self.sites(from, May::Any, path)?;
                self.sites(to, May::Any, path)?;
                let start = from.first().map_or(0, |site| site.span().start);
                let Conditions { drop, duplicate, reorder, .. } = conditions;
                let bad = [drop, duplicate, reorder].into_iter().find(|s| !share(**s));
                bad.map_or(Ok(()), |s| {
                    Err(wrong(start, path, format!("shares from 0 to 1 expected, got {s}")))
                })
            }
            Doing::BoxUp(boxes) | Doing::Join(boxes) | Doing::BoxDown(boxes) | Doing::Drain(boxes) => {
                self.sites(boxes, May::Box, path)
            }
            Doing::Heal | Doing::Silence(_) => Ok(()),
            Doing::Rate { tenant, factor } => {
                let known = self.tenants.iter().any(|t| t.name == *tenant.as_ref());
                match known && factor.is_finite() && *factor >= 0.0 {
                    true => Ok(()),
                    false => {
                        Err(wrong(tenant.span().start, path, "a tenant's name and a factor from 0 expected"))
                    }
                }
            }
            Doing::Garbage { to, .. } => self.site(to, May::Node, path),
        }
    }

    fn sites(&self, sites: &[Spanned<Site>], may: May, path: &str) -> Result<(), Wrong> {
        sites.iter().try_for_each(|site| self.site(site, may, path))
    }

    fn site(&self, site: &Spanned<Site>, may: May, path: &str) -> Result<(), Wrong> {
        let (nodes, boxes) = (usize::from(self.nodes.count), self.each_box().count());
        let known = match site.as_ref() {
            Site::Node(n) => may != May::Box && *n < nodes,
            Site::Box(b) => may != May::Node && *b < boxes,
            Site::List => may == May::Any,
        };
        let expected = match may {
            May::Node => format!("a node below n{nodes}"),
            May::Box => format!("a box below b{boxes}"),
            May::Any => format!("a node below n{nodes}, a box below b{boxes} or the list"),
        };
        match known {
            true => Ok(()),
            false => {
                Err(wrong(site.span().start, path, format!("{expected} expected, got {}", site.as_ref())))
            }
        }
    }
}

fn share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}
