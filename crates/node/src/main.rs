//! The thin binary of the node: everything is in the library.

use std::process::ExitCode;

fn main() -> ExitCode {
    hallpin_node::main()
}
