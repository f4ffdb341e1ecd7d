//! The thin binary of the node: everything is in the library.

use std::process::ExitCode;

use clap::Parser;

/// One real node, between clients and cache servers, as the platform starts it.
#[derive(Parser)]
#[command(name = "hallpin-node", version)]
struct Cli {
    #[command(flatten)]
    options: hallpin_node::Options,
}

fn main() -> ExitCode {
    hallpin_node::main(Cli::parse().options)
}
