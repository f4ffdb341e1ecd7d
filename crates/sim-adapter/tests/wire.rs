//! Runs the adapter's binary on transcripts and checks its replies.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_hallpin-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut stdin = child.stdin.take().unwrap();
    let input = input.to_vec();
    let writer = std::thread::spawn(move || {
        // The adapter may stop reading at a malformed line.
        let _ = stdin.write_all(&input);
    });
    let output = child.wait_with_output().unwrap();
    writer.join().unwrap();
    output
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

const SETTINGS: &str = concat!(
    r#"{"balancers":2,"locality":"here","membership-mode":"on_request","round-s":0.005,"weight-source":"off","#,
    r#""grades":[{"name":"read","effect":"free","target-s":0.5,"hard-limit-s":2.0},"#,
    r#"{"name":"pay","effect":"odd","target-s":0.5,"hard-limit-s":2.0}],"#,
    r#""family-info":{"mode":"through"},"unheard-of":[1,2],"#,
    r#""guarantees":{"grace-to-answer-s":0.02,"ask-every-s":10,"cold-from":0.3,"ramp-time-s":8,"#,
    r#""drain-grace-s":0.5,"fall-multiple":3,"fall-s":1},"#,
    r#""limits":{"cancel":true,"max-attempts":3,"parallel-tries":true,"probes":true}}"#
);

fn attach(node: u64, seed: u64) -> String {
    format!(
        "attach {node} {seed} {SETTINGS}\nroster_change {node} cached 1 2\n\
         m Ready 10.0.0.1:80 here 1 box - 0\nm Ready 10.0.0.2:80 here 1 box - 0\n"
    )
}

/// A transcript that attaches the nodes, sends 20 requests to each, and fires a timer of each.
fn transcript(nodes: &[u64]) -> String {
    let mut lines = String::from("sync 8.41225\ngo\nsync 9\n");
    nodes.iter().for_each(|&node| lines += &attach(node, 7 * node));
    lines += "go\nsync 9.1\n";
    for request in 0..20 {
        for node in nodes {
            lines += &format!("arrival {node} {} 0.4 - 0 - read - {}\n", node * 100 + request, request % 5);
        }
    }
    lines += "go\nsync 9.2\n";
    nodes.iter().for_each(|node| lines += &format!("ring {node} 0\n"));
    lines + "go\n"
}

#[test]
fn a_transcript_gets_the_expected_replies() {
    let mut input = String::from("sync 8.41225\ngo\nsync 9\n") + &attach(3, 1);
    input += "go\nsync 9.1\narrival 3 2811873703137732 0.4 0.012 1 - read 1800 4569004829183723\n";
    input += "withdrawn 3 77\ngo\nsync 9.15\n";
    input += "outcome 3 2811873703137732 0.05 0 10.0.0.1:80 0 overloaded - -\ngo\n";
    let output = run(input.as_bytes());
    assert!(output.status.success(), "{}", text(&output.stderr));
    let replies = text(&output.stdout);
    let replies: Vec<&str> = replies.split_inclusive("ack\n").collect();
    assert_eq!(replies[0], "ack\n");
    assert_eq!(replies[1], "set_timer 3 0 0.050000\nkeep_informed 3 1\nack\n");
    let actions: Vec<&str> = replies[2].lines().collect();
    assert!(actions[0].starts_with("hand_off 3 2811873703137732 0.390000 10.0.0."), "{}", actions[0]);
    assert_eq!(actions[1], "set_timer 3 1 0.390000");
    assert_eq!(actions.last(), Some(&"ack"));
    // Rejected without execution, so the other server is tried next.
    let other = if actions[0].ends_with(".1:80") { "10.0.0.2:80" } else { "10.0.0.1:80" };
    assert!(replies[3].contains(&format!("hand_off 3 2811873703137732 0.340000 {other}")), "{}", replies[3]);
}

#[test]
fn the_same_input_gives_the_same_bytes_and_nodes_share_no_state() {
    let all = run(transcript(&[1, 2, 3]).as_bytes());
    assert!(all.status.success());
    assert_eq!(all.stdout, run(transcript(&[1, 2, 3]).as_bytes()).stdout);
    let lines_of = |output: &[u8], node: u64| -> Vec<String> {
        let is_of_node = |line: &&str| line.split(' ').nth(1) == Some(&node.to_string());
        text(output).lines().filter(is_of_node).map(String::from).collect()
    };
    for node in 1..=3 {
        let alone = run(transcript(&[node]).as_bytes());
        let lines = lines_of(&all.stdout, node);
        assert!(lines.iter().any(|line| line.starts_with("hand_off")));
        assert_eq!(lines, lines_of(&alone.stdout, node));
    }
}

#[test]
fn a_node_attached_again_after_down_starts_without_state() {
    let input =
        format!("sync 1\n{}go\nsync 2\ndown 1\n{}go\nsync 3\ndown 1\ngo\n", attach(1, 1), attach(1, 2));
    let output = run(input.as_bytes());
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert_eq!(text(&output.stdout).matches("keep_informed").count(), 2);
}

fn assert_fails(input: &[u8], line: u64, expected: &str) {
    let output = run(input);
    let stderr = text(&output.stderr);
    assert!(!output.status.success(), "{stderr}");
    assert!(stderr.contains(&format!("line {line}:")) && stderr.contains(expected), "{stderr}");
    assert!(!stderr.contains("panicked"), "{stderr}");
}

#[test]
fn errors_name_the_malformed_line() {
    assert_fails(b"hello\n", 1, "`sync`");
    assert_fails(b"sync abc\n", 1, "clock time");
    assert_fails(b"sync inf\n", 1, "clock time");
    assert_fails(b"sync 1\nfoo 1\n", 2, "a known message name");
    assert_fails(b"sync 1\narrival\n", 2, "node number");
    assert_fails(b"sync 1\narrival 4 1 0.2 - 0 - read - 1\n", 2, "an attached node");
    assert_fails(b"sync 1\nattach 1 2 {\n", 2, "JSON");
    assert_fails(b"sync 1\nattach 1 2 {}\n", 2, "grades");
    assert_fails(b"sync 1\n", 2, "`go`");
    assert_fails(b"sync 1\nroster_change 1 full 1 1\n", 3, "list entry");
    assert_fails(b"sync 1\n\xff\xfe\n", 2, "UTF-8");
    let zero = SETTINGS.replace("\"balancers\":2", "\"balancers\":0");
    assert_fails(format!("sync 1\nattach 1 2 {zero}\n").as_bytes(), 2, "balancers");
    let negative = SETTINGS.replace("\"ramp-time-s\":8", "\"ramp-time-s\":-8");
    assert_fails(format!("sync 1\nattach 1 2 {negative}\n").as_bytes(), 2, "ramp");
    let absent = SETTINGS.replace("\"fall-s\":1", "\"fall-t\":1");
    assert_fails(format!("sync 1\nattach 1 2 {absent}\n").as_bytes(), 2, "guarantees.fall-s: missing");
}

/// Transcripts with a few bytes changed, removed or cut off must end in an error or in complete replies, never in a
/// panic.
#[test]
fn damaged_input_ends_cleanly() {
    let valid_input = transcript(&[1, 2]).into_bytes();
    let mut seed = 9u64;
    let mut random_below = |n: usize| {
        seed = seed.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (seed >> 33) as usize % n
    };
    let mut errors = 0;
    for _ in 0..150 {
        let mut input = valid_input.clone();
        for _ in 0..1 + random_below(3) {
            let at = random_below(input.len());
            match random_below(3) {
                0 => input[at] = b" -\n0{\"z9.\xff"[random_below(10)],
                1 => drop(input.remove(at)),
                _ => input.truncate(at.max(1)),
            }
        }
        let output = run(&input);
        let (out, stderr) = (text(&output.stdout), text(&output.stderr));
        assert!(!stderr.contains("panicked"), "{stderr}");
        assert!(out.is_empty() || out.ends_with("ack\n"), "incomplete reply: {out}");
        assert_eq!(output.status.success(), stderr.is_empty(), "{stderr}");
        assert!(output.status.code().is_some(), "ended by a signal");
        errors += usize::from(!stderr.is_empty());
    }
    assert!(errors > 50, "{errors} of 150 were errors");
}
