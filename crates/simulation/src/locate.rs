//! Position of a field in a TOML text.

use toml::de::{DeTable, DeValue};

/// Byte offset of the value at a path such as `incidents[2].boxes`, or of the longest prefix of the path that exists.
pub(crate) fn offset(text: &str, path: &str) -> usize {
    let Ok(table) = DeTable::parse(text) else { return 0 };
    let mut found = 0;
    let mut current: Option<&DeValue> = None;
    let root = table.get_ref();
    for segment in path.split('.') {
        let (name, index) = match segment.split_once('[') {
            Some((name, rest)) => (name, rest.trim_end_matches(']').parse::<usize>().ok()),
            None => (segment, None),
        };
        let table = match current {
            None => Some(root),
            Some(DeValue::Table(table)) => Some(table),
            Some(_) => None,
        };
        let Some(value) = table.and_then(|table| table.get(name)) else { return found };
        found = value.span().start;
        let mut value = value.get_ref();
        if let (DeValue::Array(array), Some(index)) = (value, index) {
            let Some(element) = array.get(index) else { return found };
            found = element.span().start;
            value = element.get_ref();
        }
        current = Some(value);
    }
    found
}
