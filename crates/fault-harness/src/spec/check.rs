//! Validates what the schema cannot express: ranges of numbers, references to boxes, nodes and tenants, and shares
//! within 0 to 1.

use toml::Spanned;

use super::{Action, ConfigError, Ends, Spec, When};
use crate::relay::{Conditions, Site};

/// Maximum number of nodes in a scenario.
pub const MAX_NODES: u16 = 90;
/// Maximum number of boxes in a scenario.
const MAX_BOXES: usize = 100;

/// Which kinds of link ends a field may name.
#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Node,
    Box,
    Any,
}

fn error(offset: usize, path: impl Into<String>, what: impl Into<String>) -> ConfigError {
    ConfigError { offset, path: path.into(), what: what.into() }
}

impl Spec {
    pub(super) fn check(&self, text: &str) -> Result<(), ConfigError> {
        // Values without a span have only a path: the error points to the first `key =` in the file where `key` is the
        // path's last segment.
        let find = |key: &str| text.find(&format!("{key} =")).unwrap_or(0);
        let check = |ok: bool, path: &str, what: String| {
            let key = path.rsplit('.').next().unwrap_or(path);
            if ok {
                Ok(())
            } else {
                Err(error(find(key), path, what))
            }
        };
        check(self.version == 1, "version", format!("1 expected, got {}", self.version))?;
        let nodes = self.nodes.count;
        let expected = format!("1 to {MAX_NODES} expected, got {nodes}");
        check((1..=MAX_NODES).contains(&nodes), "nodes.count", expected)?;
        let late = format!("less than the {nodes} nodes expected, got {}", self.nodes.late);
        check(self.nodes.late < nodes, "nodes.late", late)?;
        check(!self.depots.is_empty(), "depots", "at least one name expected".into())?;
        let boxes = self.each_box().count();
        check(
            (1..=MAX_BOXES).contains(&boxes),
            "boxes.count",
            format!("1 to {MAX_BOXES} boxes expected, got {boxes}"),
        )?;
        check(!self.tenants.is_empty(), "tenants", "at least one expected".into())?;
        for (at, group) in self.boxes.iter().enumerate() {
            let depot = &group.depot;
            if !self.depots.contains(depot.as_ref()) {
                let what = format!("one of the depots {:?} expected, got {:?}", self.depots, depot.as_ref());
                return Err(error(depot.span().start, format!("boxes[{at}].depot"), what));
            }
            if let Some(of) = group.at.as_ref().filter(|of| usize::from(*of.as_ref()) >= boxes) {
                let what = format!("a box below {boxes} expected, got {}", of.as_ref());
                return Err(error(of.span().start, format!("boxes[{at}].at"), what));
            }
        }
        for tenant in &self.tenants {
            let is_valid_name =
                !tenant.name.is_empty() && tenant.name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-');
            check(
                is_valid_name,
                "tenants.name",
                format!("letters, digits and - expected, got {:?}", tenant.name),
            )?;
            let rate = tenant.rate.is_finite() && tenant.rate >= 0.0;
            check(rate, "tenants.rate", format!("0 or more expected, got {}", tenant.rate))?;
            check(tenant.keys > 0, "tenants.keys", "at least 1 expected".into())?;
            check(share(tenant.writes), "tenants.writes", format!("0 to 1 expected, got {}", tenant.writes))?;
        }
        self.faults.iter().enumerate().try_for_each(|(at, fault)| {
            self.check_when(&fault.when, &format!("faults[{at}].when"))?;
            self.check_action(&fault.action, &format!("faults[{at}].do"))
        })
    }

    fn check_when(&self, when: &When, path: &str) -> Result<(), ConfigError> {
        match when {
            When::At(_) | When::Later(_) => Ok(()),
            When::Attempts { of, .. } => self.site(of, Kind::Box, path),
            When::Told { node, .. } | When::Datagrams { from: node, .. } => self.site(node, Kind::Node, path),
            When::Ready(nodes) | When::Ended(nodes) => self.sites(nodes, Kind::Node, path),
        }
    }

    fn check_action(&self, action: &Action, path: &str) -> Result<(), ConfigError> {
        match action {
            Action::Kill(nodes) | Action::Stop(nodes) | Action::Pause(nodes) | Action::Resume(nodes) => {
                self.sites(nodes, Kind::Node, path)
            }
            Action::Start { nodes, .. } => self.sites(nodes, Kind::Node, path),
            Action::Part(Ends { from, to })
            | Action::Cut(Ends { from, to })
            | Action::Reset(Ends { from, to }) => {
                self.sites(from, Kind::Any, path)?;
                self.sites(to, Kind::Any, path)
            }
            Action::Link { from, to, conditions } => {
                self.sites(from, Kind::Any, path)?;
                self.sites(to, Kind::Any, path)?;
                let start = from.first().map_or(0, |site| site.span().start);
                let Conditions { drop, duplicate, reorder, .. } = conditions;
                let invalid = [drop, duplicate, reorder].into_iter().find(|s| !share(**s));
                invalid.map_or(Ok(()), |s| {
                    Err(error(start, path, format!("shares from 0 to 1 expected, got {s}")))
                })
            }
            Action::BoxUp(boxes) | Action::Join(boxes) | Action::BoxDown(boxes) | Action::Drain(boxes) => {
                self.sites(boxes, Kind::Box, path)
            }
            Action::Heal | Action::Silence(_) => Ok(()),
            Action::Rate { tenant, factor } => {
                let known = self.tenants.iter().any(|t| t.name == *tenant.as_ref());
                match known && factor.is_finite() && *factor >= 0.0 {
                    true => Ok(()),
                    false => {
                        Err(error(tenant.span().start, path, "a tenant's name and a factor from 0 expected"))
                    }
                }
            }
            Action::Garbage { to, .. } => self.site(to, Kind::Node, path),
        }
    }

    fn sites(&self, sites: &[Spanned<Site>], kind: Kind, path: &str) -> Result<(), ConfigError> {
        sites.iter().try_for_each(|site| self.site(site, kind, path))
    }

    fn site(&self, site: &Spanned<Site>, kind: Kind, path: &str) -> Result<(), ConfigError> {
        let (nodes, boxes) = (usize::from(self.nodes.count), self.each_box().count());
        let known = match site.as_ref() {
            Site::Node(n) => kind != Kind::Box && *n < nodes,
            Site::Box(b) => kind != Kind::Node && *b < boxes,
            Site::List => kind == Kind::Any,
        };
        let expected = match kind {
            Kind::Node => format!("a node below n{nodes}"),
            Kind::Box => format!("a box below b{boxes}"),
            Kind::Any => format!("a node below n{nodes}, a box below b{boxes} or the list"),
        };
        match known {
            true => Ok(()),
            false => {
                Err(error(site.span().start, path, format!("{expected} expected, got {}", site.as_ref())))
            }
        }
    }
}

fn share(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}
