//! The real node with the plane between nodes enabled: errors in its configuration, a flood of invalid datagrams, and
//! a cache server (box) whose connections are budgeted.

mod budgets;
mod flood;
#[allow(dead_code)]
#[path = "../harness/mod.rs"]
mod harness;
mod node;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Command;

use harness::write_config;
use node::{config, fleet_file, BIN, MINIMAL_FLEET_FILE};

#[test]
fn an_error_in_the_plane_configuration_is_reported_at_its_place() {
    let unused_address = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let own: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let valid = config(unused_address, String::new(), own, &[own]);
    let unknown_field = fleet_file("unknown", &format!("{MINIMAL_FLEET_FILE}colour = 1\n"));
    let valid_fleet = fleet_file("on", MINIMAL_FLEET_FILE);
    for (text, fleet, expected) in [
        (valid.clone(), &unknown_field, "toml:3:1: colour: unknown field"),
        (valid.clone(), &PathBuf::from("no/such/file"), "no/such/file"),
        (
            valid.replace("\"peer_listen\":\"127.0.0.1:9\"", "\"peer_listen\":9"),
            &valid_fleet,
            "peer_listen: an address",
        ),
        (valid.replace("\"peers\":[", "\"peer\":["), &valid_fleet, "peers: a list of addresses expected"),
        (
            valid.replace("\"peers\":[\"127.0.0.1:9\"]", "\"peers\":[]"),
            &valid_fleet,
            "peers: 1 to 1024 addresses",
        ),
        (
            valid.replace("[\"127.0.0.1:9\"]", "[\"127.0.0.1:8\"]"),
            &valid_fleet,
            "peers: peer_listen among them",
        ),
    ] {
        let mut command = Command::new(BIN);
        command.arg("--config").arg(write_config(&text)).arg("--fleet").arg(fleet);
        let output = command.output().unwrap();
        let stderr = String::from_utf8(output.stderr).unwrap();
        assert_eq!((output.status.code(), stderr.lines().count()), (Some(2), 1), "{stderr}");
        assert!(stderr.contains(expected), "expected {expected}, got {stderr}");
    }
}
