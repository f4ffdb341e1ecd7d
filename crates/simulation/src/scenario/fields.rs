//! Fields that each kind of fault event has in a scenario file.

use super::{IncidentFile, IncidentKind};

/// Checks that a fault event has all required fields of its kind and no foreign ones.
pub(super) fn check_fields(incident: &IncidentFile) -> Result<(), (&'static str, String)> {
    use IncidentKind as K;
    let (boxes, nodes) = (incident.kind.targets_boxes(), incident.kind.targets_nodes());
    let in_steps = matches!(incident.kind, K::NodeRestart | K::NodeDeath | K::Replace | K::Kill);
    let by_factor = matches!(incident.kind, K::Slow | K::Heavy | K::PlannerSlow | K::Burst | K::Shift);
    let of_clients = matches!(incident.kind, K::Impatient | K::Hasty | K::SlowWriters);
    let by_share = of_clients
        || matches!(incident.kind, K::Heavy | K::Erring | K::LostAnswers | K::Resets | K::LostMessages);
    let of_depot = matches!(incident.kind, K::CutOff | K::Shift);
    let has_depot = incident.depot.is_some() && incident.kind != K::Join;
    for (field, is_there, belongs) in [
        ("boxes", incident.boxes.is_some(), boxes),
        ("part", incident.part.is_some(), (boxes && incident.kind != K::Join) || nodes),
        ("nodes", incident.nodes.is_some(), nodes),
        ("factor", incident.factor.is_some(), by_factor || incident.kind == K::Impatient),
        ("share", incident.share.is_some(), by_share || incident.kind == K::Burst),
        ("class", incident.class.is_some(), incident.kind == K::Heavy),
        (
            "depot",
            incident.depot.is_some(),
            (boxes && incident.kind != K::Join) || nodes || of_depot || incident.kind == K::LateList,
        ),
        (
            "by",
            incident.by.is_some(),
            matches!(incident.kind, K::LateList | K::Hasty | K::SlowWriters | K::SilentWatch),
        ),
        ("kill", incident.kill.is_some(), incident.kind == K::NodeRestart),
        ("lasts", incident.lasts.is_some(), incident.kind != K::SilentWatch),
        ("one_way", incident.one_way.is_some(), matches!(incident.kind, K::Partition | K::CutOff)),
        ("depots", incident.depots.is_some(), incident.kind == K::Partition),
        ("keys", incident.keys.is_some(), incident.kind == K::Burst),
        ("each", incident.each.is_some(), in_steps),
        ("steps", incident.steps.is_some(), in_steps),
        ("rounds", incident.rounds.is_some(), matches!(incident.kind, K::Replace | K::Hasty)),
        ("same_address", incident.same_address.is_some(), incident.kind == K::Replace),
    ] {
        if is_there && !belongs {
            return Err((field, format!("does not belong to an incident of this kind, {:?}", incident.kind)));
        }
    }
    for (field, is_there, needed) in [
        ("boxes", incident.boxes.is_some() || incident.part.is_some() || has_depot, boxes),
        ("nodes", incident.nodes.is_some() || incident.part.is_some() || has_depot, nodes),
        ("factor", incident.factor.is_some(), by_factor),
        ("share", incident.share.is_some(), by_share),
        ("by", incident.by.is_some(), matches!(incident.kind, K::LateList | K::Hasty | K::SlowWriters)),
        ("depot", incident.depot.is_some(), of_depot),
        ("depots", incident.depots.is_some(), incident.kind == K::Partition),
        (
            "lasts",
            incident.lasts.is_some(),
            matches!(incident.kind, K::Drain | K::Replace | K::Heavy | K::Kill),
        ),
    ] {
        if needed && !is_there {
            return Err((field, format!("expected for an incident of this kind, {:?}", incident.kind)));
        }
    }
    Ok(())
}
