//! Entry point of the node's binary; the implementation is in the library.

use std::process::ExitCode;

use clap::Parser;

/// Balancer node between clients and cache servers
#[derive(Parser)]
#[command(name = "hallpin-node", version)]
struct Cli {
    #[command(flatten)]
    options: hallpin_node::Options,
}

fn main() -> ExitCode {
    hallpin_node::main(Cli::parse().options)
}
