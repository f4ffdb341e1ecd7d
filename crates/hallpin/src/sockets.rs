//! Runs on loopback sockets, with this program as the nodes, that a signal ends early.

use std::path::Path;

use hallpin_emulator::{run_on_sockets, RunResult, SocketsOptions};
use hallpin_simulation::scenario::Scenario;
use hallpin_simulation::time::Time;
use tokio::sync::watch;

use crate::failure::Failure;
use crate::terminal::{on_signal, progress_bar};

/// Plays a scenario with real nodes; also returns whether a signal ended it early.
pub fn play(scenario: &Scenario, seed: u64, trace: Option<&Path>) -> Result<(RunResult, bool), Failure> {
    let program = std::env::current_exe().map_err(|error| Failure::File("this program".into(), error))?;
    let folder = tempfile::tempdir().map_err(|error| Failure::File(std::env::temp_dir(), error))?;
    let (stop, stopped) = watch::channel(false);
    // A signal stops the run in an orderly way, so that no node process outlives it.
    on_signal(move || {
        stop.send_replace(true);
    });
    let length = scenario.length.high.0 / 1_000_000;
    let bar = progress_bar(length, "{bar:40} {pos}/{len} s");
    let report_progress = |now: Time| bar.set_position(now.0 / 1_000_000);
    let options = SocketsOptions {
        program: (program, vec!["node".into()]),
        folder: folder.path(),
        trace,
        progress: &report_progress,
        stop: stopped.clone(),
    };
    let played = run_on_sockets(scenario, seed, options);
    bar.finish_and_clear();
    let ended_early = *stopped.borrow();
    if played.is_err() {
        // Keeps the folder: the error names a node's log in it.
        let _ = folder.keep();
    }
    Ok((played?, ended_early))
}
