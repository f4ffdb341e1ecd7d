//! The plane's metrics in the output of `show-stat`; `docs/operators/processes.md` describes each.

use hallpin_control_plane::counters::{cause_name, Counters};
use hallpin_membership::envelope::Rejection;
use hallpin_membership::names::Moment;
use hallpin_membership::view::View;
use hallpin_placement::{Placement, PlacementState};
use hallpin_quota::{Budgets, Resource, TenantIndex};

use super::usage::Usage;
use crate::metrics::{append_line, escape_label};

/// All causes of refusals, in the order of their metrics.
const REFUSAL_CAUSES: [Rejection; 9] = [
    Rejection::TooLong,
    Rejection::Truncated,
    Rejection::Foreign,
    Rejection::Version,
    Rejection::Kind,
    Rejection::Corrupt,
    Rejection::Realm,
    Rejection::UnknownPeer,
    Rejection::Payload,
];

/// All states of placement agreement, with their values of the label `state`.
const PLACEMENT_STATES: [(PlacementState, &str); 4] = [
    (PlacementState::InForce, "in_force"),
    (PlacementState::Preparing, "preparing"),
    (PlacementState::LeaseExpired, "out"),
    (PlacementState::CatchingUp, "catching_up"),
];

/// Writes the metrics of the placement table in force and of this node's state towards it.
pub fn write_placement(out: &mut String, placement: &Placement, now: Moment) {
    let id = placement.in_force().map(|table| table.id()).unwrap_or_default();
    append_line(out, format_args!("app_table_epoch {}", id.epoch));
    append_line(out, format_args!("app_table_version {}", id.version));
    let state = placement.state(now);
    for (listed_state, name) in PLACEMENT_STATES {
        append_line(
            out,
            format_args!("app_table_state{{state=\"{name}\"}} {}", u8::from(listed_state == state)),
        );
    }
    append_line(out, format_args!("app_table_coordinator {}", u8::from(placement.is_coordinator(now))));
    let totals = placement.metrics();
    append_line(out, format_args!("app_table_switches_total {}", totals.switches));
    append_line(out, format_args!("app_table_outs_total {}", totals.lease_expirations));
    append_line(out, format_args!("app_table_lists_refused_total {}", totals.lists_rejected));
}

/// Writes the connection quota of all boxes together by tenant, and its use.
pub fn write_budgets(
    out: &mut String,
    budgets: &Budgets,
    resources: &[Resource],
    usage: &mut Usage,
    now: Moment,
) {
    for (index, tenant) in (0..).zip(budgets.in_force().tenants()) {
        let (index, name) = (TenantIndex(index), escape_label(&tenant.name));
        let allotted: u64 = resources
            .iter()
            .map(|resource| u64::from(budgets.allotment(now, *resource, index).max_uses))
            .sum();
        append_line(out, format_args!("app_budget_part{{tenant=\"{name}\"}} {allotted}"));
        let rejected = usage.rejected_total.get(&index).unwrap_or(&0);
        append_line(out, format_args!("app_budget_refused_total{{tenant=\"{name}\"}} {rejected}"));
    }
    let (open, used) = usage.counts(now);
    append_line(out, format_args!("app_budget_open {open}"));
    append_line(out, format_args!("app_budget_in_use {used}"));
    append_line(out, format_args!("app_budget_cut_total {}", usage.cut_total));
    append_line(out, format_args!("app_budget_contracts {}", budgets.in_force().revision));
}

/// Writes the metrics of membership and datagrams; `lost` counts datagrams that the socket did not accept.
pub fn write_plane(out: &mut String, view: &View, counters: &Counters, lost: u64) {
    append_line(out, format_args!("app_peers_alive {}", view.alive().count()));
    append_line(out, format_args!("app_peers_configured {}", view.configured));
    append_line(out, format_args!("app_peers_cut_off {}", u8::from(view.cut_off)));
    let directions = [
        ("in", counters.received),
        ("out", counters.sent.saturating_sub(lost)),
        ("held_back", counters.held_back + counters.unsendable),
        ("lost", lost),
    ];
    for (direction, count) in directions {
        append_line(out, format_args!("app_plane_datagrams_total{{way=\"{direction}\"}} {count}"));
    }
    for cause in REFUSAL_CAUSES {
        let (name, count) = (cause_name(cause), counters.refused_for(cause));
        append_line(out, format_args!("app_plane_refused_total{{why=\"{name}\"}} {count}"));
    }
}
