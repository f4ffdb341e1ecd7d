//! `hallpin schema`: prints a documented template of a file, with every default.

use std::fmt::Write;
use std::process::ExitCode;

use clap::ValueEnum;
use hallpin_fault_harness::Spec;
use hallpin_simulation::scenario::Scenario;
use schemars::{schema_for, Schema};
use serde::Serialize;
use serde_json::{Map, Value};

use crate::failure::Failure;

/// Kind of file.
#[derive(Clone, Copy, ValueEnum)]
enum Kind {
    /// A scenario for `hallpin emulate`
    Scenario,
    /// A fault scenario for `hallpin faults run`
    Faults,
}

/// Command-line options.
#[derive(clap::Args)]
pub struct Options {
    /// Kind of file
    kind: Kind,
    /// Prints the JSON Schema instead
    #[arg(long)]
    json: bool,
}

/// Prints the template or the JSON Schema.
pub fn run(options: &Options) -> Result<ExitCode, Failure> {
    let (schema, template) = match options.kind {
        Kind::Scenario => render(&schema_for!(Scenario), &Scenario::default()),
        Kind::Faults => render(&schema_for!(Spec), &Spec::default()),
    };
    print!("{}", if options.json { schema } else { template });
    Ok(ExitCode::SUCCESS)
}

/// Renders a schema as JSON, and as a template.
fn render(schema: &Schema, defaults: &impl Serialize) -> (String, String) {
    (format!("{:#}\n", schema.as_value()), template(schema.as_value(), defaults))
}

/// Renders a file with every default value, each field below a comment that describes it.
fn template(schema: &Value, defaults: &impl Serialize) -> String {
    // The defaults are of types that are read from TOML, so the conversion does not fail.
    let defaults = toml::Value::try_from(defaults).unwrap_or(toml::Value::Table(toml::Table::new()));
    let mut out = String::new();
    let writer = TemplateWriter { schema };
    writer.write_table(schema, Some(&defaults), "", &mut out);
    out
}

struct TemplateWriter<'a> {
    schema: &'a Value,
}

impl TemplateWriter<'_> {
    /// Resolves a `$ref` or the first alternative of an `anyOf`; returns any other node itself. Callers prefer the
    /// description of the referring node to that of the target.
    fn resolve<'v>(&'v self, node: &'v Value) -> &'v Value {
        let target = node.get("$ref").or_else(|| node.pointer("/anyOf/0/$ref")).and_then(Value::as_str);
        match target.and_then(|path| self.schema.pointer(path.trim_start_matches('#'))) {
            Some(found) => found,
            None => node.pointer("/anyOf/0").unwrap_or(node),
        }
    }

    fn write_table(&self, node: &Value, default: Option<&toml::Value>, path: &str, out: &mut String) {
        let empty = Map::new();
        let properties = node.get("properties").and_then(Value::as_object).unwrap_or(&empty);
        let mut tables = Vec::new();
        for (name, property) in properties {
            let resolved = self.resolve(property);
            let item = resolved.get("items").map(|items| self.resolve(items));
            let value = default.and_then(|d| d.get(name));
            if resolved.get("properties").is_some() {
                tables.push((name, property, resolved, value, false));
            } else if let Some(item) = item.filter(|item| item.get("properties").is_some()) {
                tables.push((name, property, item, value, true));
            } else {
                self.write_field(name, property, resolved, value, out);
            }
        }
        for (name, property, node, value, is_array) in tables {
            let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
            let about = description(property).or_else(|| description(node)).unwrap_or_default();
            let header = if is_array { format!("[[{path}]]") } else { format!("[{path}]") };
            match value {
                Some(toml::Value::Array(items)) if is_array && !items.is_empty() => {
                    for item in items {
                        let _ = write!(out, "\n# {about}\n{header}\n");
                        self.write_table(node, Some(item), &path, out);
                    }
                }
                None | Some(toml::Value::Array(_)) => {
                    let _ = write!(out, "\n# {about} None by default.\n# {header}\n");
                    self.write_table(node, None, &path, out);
                }
                Some(_) => {
                    let _ = write!(out, "\n# {about}\n{header}\n");
                    self.write_table(node, value, &path, out);
                }
            }
        }
    }

    fn write_field(
        &self,
        name: &str,
        property: &Value,
        resolved: &Value,
        value: Option<&toml::Value>,
        out: &mut String,
    ) {
        let about = description(property).unwrap_or_default();
        let _ = writeln!(out, "# {about}{}", self.value_hint(resolved));
        let _ = match value {
            Some(value) => writeln!(out, "{name} = {value}"),
            None => writeln!(out, "# {name} ="),
        };
    }

    fn value_hint(&self, node: &Value) -> String {
        if let Some(form) = node.get("x-form").and_then(Value::as_str) {
            return format!(" ({form})");
        }
        let variant_name =
            |of: &Value| of.get("const").and_then(Value::as_str).map(|name| format!("{name:?}"));
        if let Some(variants) = node.get("oneOf").and_then(Value::as_array) {
            let choices: Vec<String> = variants
                .iter()
                .filter_map(|v| {
                    Some(format!("\n#   {} {}", variant_name(v)?, description(v).unwrap_or_default()))
                })
                .collect();
            return format!(" One of:{}", choices.concat());
        }
        match node.get("type").map(Value::to_string).unwrap_or_default() {
            kind if kind.contains("boolean") => " (true or false)".into(),
            kind if kind.contains("integer") => " (a whole number)".into(),
            kind if kind.contains("number") => " (a number)".into(),
            kind if kind.contains("string") => " (a text)".into(),
            kind if kind.contains("array") => " (a list)".into(),
            _ => String::new(),
        }
    }
}

fn description(node: &Value) -> Option<String> {
    node.get("description").and_then(Value::as_str).map(|text| text.replace('\n', " "))
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The template parses as the default scenario, and every field has a description.
    #[test]
    fn the_template_is_a_valid_scenario_and_explains_every_field() {
        let text = template(schema_for!(Scenario).as_value(), &Scenario::default());
        assert_eq!(Scenario::parse(&text).unwrap(), Scenario::default(), "{text}");
        let unexplained = text.lines().find(|line| line.starts_with("# (") || *line == "#");
        assert_eq!(unexplained, None, "{text}");
        for field in ["fetch_timeout", "[[classes]]", "# [[incidents]]", "# same_address", "\"node-death\""] {
            assert!(text.contains(field), "{field}: {text}");
        }
    }

    #[test]
    fn the_template_of_a_fault_scenario_is_valid() {
        let text = template(schema_for!(Spec).as_value(), &Spec::default());
        let mut read = Spec::parse(&text).unwrap();
        // A parsed box also holds the position of its name in the file, which the defaults cannot have.
        read.boxes.clone_from(&Spec::default().boxes);
        assert_eq!(read, Spec::default(), "{text}");
        for field in ["[[boxes]]", "# [[faults]]", "drain_grace", "# planner_fetches"] {
            assert!(text.contains(field), "{field}: {text}");
        }
    }
}
