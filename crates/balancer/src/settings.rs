//! Reads the settings from JSON, in the form that both hosts receive them.

use std::collections::HashMap;

use serde_json::{Map, Value};

use crate::interface::{
    CacheMode, Class, ClassId, DeduplicationScope, Effect, Guarantees, Limits, Membership, Settings,
    SettingsError, Tenant, TenantId, WeightSource,
};

impl Settings {
    /// Reads the settings; unknown keys are ignored.
    ///
    /// # Errors
    /// Returns the first setting that is missing or invalid.
    pub fn from_json(json: &Value) -> Result<Self, SettingsError> {
        settings(json)
    }
}

/// Maps the names of classes and tenants to their indices in the settings.
#[derive(Clone, Debug, Default)]
pub struct NameIndex {
    classes: HashMap<String, ClassId>,
    tenants: HashMap<String, TenantId>,
}

impl NameIndex {
    /// The names in these settings.
    pub fn of(settings: &Settings) -> Self {
        let classes = settings.classes.iter().enumerate().map(|(i, c)| (c.name.clone(), ClassId(i)));
        let tenants = settings.tenants.iter().enumerate().map(|(i, t)| (t.name.clone(), TenantId(i)));
        NameIndex { classes: classes.collect(), tenants: tenants.collect() }
    }

    /// The class of this name. `None` is handled like the most restrictive class.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        self.classes.get(name).copied()
    }

    /// The tenant of this name.
    pub fn tenant(&self, name: &str) -> Option<TenantId> {
        self.tenants.get(name).copied()
    }
}

type Object = Map<String, Value>;

/// A nested object of the settings; `empty` where it is absent, so that each required setting in it is
/// reported as missing.
fn object<'a>(from: &'a Object, name: &str, empty: &'a Object) -> &'a Object {
    from.get(name).and_then(Value::as_object).unwrap_or(empty)
}

/// An optional setting of one JSON type; an error if the setting has another type.
fn optional<'a, T>(
    from: &'a Object,
    name: &str,
    expected: &'static str,
    read: impl Fn(&'a Value) -> Option<T>,
) -> Result<Option<T>, SettingsError> {
    let value = match from.get(name) {
        None | Some(Value::Null) => return Ok(None),
        Some(value) => value,
    };
    let wrong_type = || SettingsError::WrongType { setting: name.into(), expected, found: value.to_string() };
    read(value).map(Some).ok_or_else(wrong_type)
}

fn number(from: &Object, name: &str) -> Result<Option<f64>, SettingsError> {
    optional(from, name, "a number", Value::as_f64)
}

fn whole_number(from: &Object, name: &str) -> Result<Option<u64>, SettingsError> {
    optional(from, name, "a whole number", Value::as_u64)
}

fn boolean(from: &Object, name: &str) -> Result<Option<bool>, SettingsError> {
    optional(from, name, "true or false", Value::as_bool)
}

fn text<'a>(from: &'a Object, name: &str) -> Result<Option<&'a str>, SettingsError> {
    optional(from, name, "a text", Value::as_str)
}

fn list<'a>(from: &'a Object, name: &str) -> Result<Option<&'a Vec<Value>>, SettingsError> {
    optional(from, name, "a list", Value::as_array)
}

fn required<T>(setting: &str, value: Option<T>) -> Result<T, SettingsError> {
    value.ok_or_else(|| SettingsError::Missing { setting: setting.into() })
}

fn objects<'a>(
    setting: &'static str,
    values: &'a [Value],
) -> impl Iterator<Item = Result<&'a Object, SettingsError>> {
    values.iter().map(move |value| value.as_object().ok_or(SettingsError::NotObjects { setting }))
}

fn settings(json: &Value) -> Result<Settings, SettingsError> {
    let root = json.as_object().ok_or(SettingsError::NotAnObject)?;
    let empty = Object::new();
    let classes = required("grades", list(root, "grades")?)?;
    let classes = objects("grades", classes).map(|class| class.and_then(class_of));
    let classes = classes.collect::<Result<_, _>>()?;
    let tenants = list(root, "tenants")?.map_or(&[] as &[Value], Vec::as_slice);
    let tenants = objects("tenants", tenants).map(|tenant| tenant.and_then(tenant_of));
    let tenants = tenants.collect::<Result<_, _>>()?;
    let cache = cache_mode(root, object(root, "family-info", &empty))?;
    let balancers = required("balancers", whole_number(root, "balancers")?)?;
    Ok(Settings {
        balancers: balancers.try_into().map_err(|_| SettingsError::TooMany { setting: "balancers" })?,
        classes,
        tenants,
        membership: membership(root)?,
        cache,
        weights: match text(root, "weight-source")? {
            Some("nominal") => WeightSource::Nominal,
            Some("rough") => WeightSource::Rough,
            Some("live") => WeightSource::Live,
            _ => WeightSource::Off,
        },
        guarantees: guarantees(object(root, "guarantees", &empty))?,
        limits: limits(object(root, "limits", &empty))?,
        event_interval: number(root, "round-s")?.unwrap_or(0.0),
    })
}

fn membership(root: &Object) -> Result<Membership, SettingsError> {
    match required("membership-mode", text(root, "membership-mode")?)? {
        "pushed" => Ok(Membership::Pushed),
        "on_request" => Ok(Membership::OnRequest),
        other => Err(SettingsError::UnknownValue {
            setting: "membership-mode",
            expected: "pushed or on_request",
            found: other.into(),
        }),
    }
}

fn cache_mode(root: &Object, family: &Object) -> Result<CacheMode, SettingsError> {
    if text(family, "mode")? != Some("aside") {
        return Ok(CacheMode::Through);
    }
    let kind = required("family-info.origin-kind", number(family, "origin-kind")?)?;
    let kinds = list(root, "skus")?;
    let name = kinds.and_then(|kinds| kinds.get(kind.max(0.0) as usize)).and_then(Value::as_str);
    let origin_kind = required("skus (name of the origin's kind)", name)?.into();
    Ok(CacheMode::Aside { origin_kind })
}

fn tenant_of(from: &Object) -> Result<Tenant, SettingsError> {
    Ok(Tenant {
        name: required("tenants.name", text(from, "name")?)?.into(),
        quota: required("tenants.quota-per-s", number(from, "quota-per-s")?)?,
    })
}

fn class_of(from: &Object) -> Result<Class, SettingsError> {
    let deadline = required("grades.hard-limit-s", number(from, "hard-limit-s")?)?;
    Ok(Class {
        name: required("grades.name", text(from, "name")?)?.into(),
        latency_objective: number(from, "target-s")?.unwrap_or(deadline),
        deadline,
        priority_weight: number(from, "importance")?.unwrap_or(1.0),
        late_weight_share: number(from, "late-worth")?.unwrap_or(0.0),
        effect: match text(from, "effect")? {
            Some("free") => Effect::Idempotent,
            Some("guarded") => Effect::Deduplicated,
            _ => Effect::NonIdempotent,
        },
        deduplication_scope: match text(from, "group")? {
            Some("all") => DeduplicationScope::All,
            Some("zone") => DeduplicationScope::Zone,
            _ => DeduplicationScope::Cell,
        },
        deduplication_window: number(from, "key-ttl-s")?.unwrap_or(0.0),
        streamed: boolean(from, "streamed")?.unwrap_or(false),
    })
}

fn guarantees(from: &Object) -> Result<Guarantees, SettingsError> {
    let required_number = |name: &str| required(&format!("guarantees.{name}"), number(from, name)?);
    Ok(Guarantees {
        answer_grace: required_number("grace-to-answer-s")?,
        poll_interval: required_number("ask-every-s")?,
        initial_capacity_share: required_number("cold-from")?,
        slow_start_duration: required_number("ramp-time-s")?,
        drain_grace: required_number("drain-grace-s")?,
        overload_multiple: required_number("fall-multiple")?,
        overload_window: required_number("fall-s")?,
    })
}

fn limits(from: &Object) -> Result<Limits, SettingsError> {
    let mut limits = Limits::default();
    for (name, allowed) in [
        ("cancel", &mut limits.cancel),
        ("probes", &mut limits.health_checks),
        ("peers", &mut limits.peer_messages),
        ("parallel-tries", &mut limits.hedging),
        ("retry-after", &mut limits.retry_after),
    ] {
        *allowed = boolean(from, name)?.unwrap_or(*allowed);
    }
    limits.max_retry_after = number(from, "max-retry-after-s")?.unwrap_or(0.0);
    limits.connect_timeout = number(from, "dial-timeout-s")?.unwrap_or(0.0);
    let attempts = required("limits.max-attempts", whole_number(from, "max-attempts")?)?;
    let too_many = |_| SettingsError::TooMany { setting: "max-attempts" };
    limits.max_attempts = attempts.try_into().map_err(too_many)?;
    Ok(limits)
}
