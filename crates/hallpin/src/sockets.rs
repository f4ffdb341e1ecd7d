//! Days on loopback sockets, with this same program as the nodes, and Ctrl-C heard.

use std::io::IsTerminal;
use std::path::Path;

use hallpin_fleet::{play_on_sockets, Played, SocketsOptions};
use hallpin_model::scenario::Scenario;
use hallpin_model::time::Time;
use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::watch;

use crate::failure::Failure;

/// A bar on a terminal, and nothing elsewhere.
pub fn progress(length: u64, template: &str) -> ProgressBar {
    let terminal = std::io::stderr().is_terminal();
    let target = if terminal { ProgressDrawTarget::stderr() } else { ProgressDrawTarget::hidden() };
    let bar = ProgressBar::with_draw_target(Some(length), target);
    // Templates are constants that the crate reads.
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}

/// Plays one day with real nodes, and says whether it was ended early.
pub fn play(scenario: &Scenario, seed: u64, trace: Option<&Path>) -> Result<(Played, bool), Failure> {
    let program = std::env::current_exe().map_err(|error| Failure::File("this program".into(), error))?;
    let folder = tempfile::tempdir().map_err(|error| Failure::File(std::env::temp_dir(), error))?;
    let (stop, stopped) = watch::channel(false);
    std::thread::spawn(move || listen_for_signals(&stop));
    let length = scenario.length.high.0 / 1_000_000;
    let bar = progress(length, "{bar:40} {pos}/{len} s");
    let tell = |now: Time| bar.set_position(now.0 / 1_000_000);
    let options = SocketsOptions {
        program: (program, vec!["node".into()]),
        folder: folder.path(),
        trace,
        progress: &tell,
        stop: stopped.clone(),
    };
    let played = play_on_sockets(scenario, seed, options);
    bar.finish_and_clear();
    let early = *stopped.borrow();
    if played.is_err() {
        // The error names the node's log, which must outlive this.
        let _ = folder.keep();
    }
    Ok((played?, early))
}

/// Ends the day at the first SIGINT or SIGTERM, so that nothing that it started is left behind.
fn listen_for_signals(stop: &watch::Sender<bool>) {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
    runtime.block_on(async {
        let (Ok(mut interrupt), Ok(mut terminate)) =
            (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
        else {
            return;
        };
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
        stop.send_replace(true);
        // A second one is not waited for: it ends the program as it would any other.
    });
}
