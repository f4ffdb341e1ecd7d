//! Tests of the scenario file: an invalid one is reported with its position, its field and what was expected.

use hallpin_fault_harness::Spec;

fn parse_error(text: &str) -> String {
    let error = Spec::parse(text).expect_err(text);
    error.to_string()
}

#[test]
fn invalid_values_are_reported_with_their_position() {
    for (text, position, what) in [
        ("version = 2\n", "1:1: version: ", "1 expected, got 2"),
        ("version = 1\ncolour = 3\n", "2:1: ", "unknown field `colour`"),
        ("[nodes]\ncount = 0\n", "2:1: nodes.count: ", "1 to 90 expected, got 0"),
        (
            "[[boxes]]\ndepot = \"b\"\n",
            "2:9: boxes[0].depot: ",
            "one of the depots [\"a\"] expected, got \"b\"",
        ),
        ("[[boxes]]\ncount = 2\nat = 2\n", "3:6: boxes[0].at: ", "a box below 2 expected, got 2"),
        ("length = \"2 parsecs\"\n", "1:10: length: ", "a duration with its unit"),
        ("[[faults]]\nwhen = { at = \"1s\" }\ndo = { kill = [\"x1\"] }\n", "3:15: ", "an end of a link"),
        (
            "[[faults]]\nwhen = { at = \"1s\" }\ndo = { drain = [\"n1\"] }\n",
            "3:17: ",
            "a box below b4 expected, got n1",
        ),
        (
            "[[faults]]\nwhen = { at = \"1s\" }\ndo = { explode = [\"n1\"] }\n",
            "3:8: ",
            "unknown variant `explode`",
        ),
        (
            "[[faults]]\nwhen = { told = { node = \"n7\", revision = 1 } }\ndo = \"heal\"\n",
            "2:26: faults[0].when: ",
            "a node below n5",
        ),
    ] {
        let message = parse_error(text);
        assert!(message.starts_with(position) && message.contains(what), "{text}: {message}");
    }
}

#[test]
fn boxes_at_one_address_are_one_host() {
    let spec = Spec::parse("[[boxes]]\ncount = 2\n[[boxes]]\ncount = 1\nat = 1\nlate = true\n").unwrap();
    assert_eq!(spec.box_hosts(), [0, 1, 1]);
}
