//! Errors in a configuration name the field.

use super::*;

#[test]
fn errors_name_the_field() {
    let good = r#"{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1","settings":{},
        "limits":{"memory_mb":48,"sockets":384},"operator":"127.0.0.1:2"}"#;
    assert!(Config::parse(good.as_bytes()).is_ok());
    for (from, to, field) in [
        ("\"127.0.0.1:0\"", "\"here\"", "listen"),
        ("\"127.0.0.1:1\"", "7", "discovery"),
        ("\"127.0.0.1:2\"", "\"127.0.0.1\"", "operator"),
        ("48", "-1", "limits.memory_mb"),
        ("48", "0", "limits.memory_mb"),
        ("384", "\"x\"", "limits.sockets"),
        ("384", "32", "limits.sockets"),
    ] {
        let error = Config::parse(good.replace(from, to).as_bytes()).err().expect(field);
        assert!(error.starts_with(&format!("{field}: ")), "{error}");
    }
}
