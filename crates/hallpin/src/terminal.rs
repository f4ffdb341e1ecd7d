//! Progress bars and signal handling of long-running commands.

use std::io::IsTerminal;

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};
use tokio::signal::unix::{signal, SignalKind};

/// Creates a progress bar on standard error, hidden if that is not a terminal.
pub fn progress_bar(length: u64, template: &str) -> ProgressBar {
    let terminal = std::io::stderr().is_terminal();
    let target = if terminal { ProgressDrawTarget::stderr() } else { ProgressDrawTarget::hidden() };
    let bar = ProgressBar::with_draw_target(Some(length), target);
    // The templates are constants and valid.
    if let Ok(style) = ProgressStyle::with_template(template) {
        bar.set_style(style);
    }
    bar
}

/// Calls `then` at the first SIGINT or SIGTERM, on a thread of its own; returns once the handlers are installed
/// or cannot be. Signals after the first have no effect, because tokio's handlers stay installed.
pub fn on_signal(then: impl FnOnce() + Send + 'static) {
    let (ready, is_ready) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async {
            let (Ok(mut interrupt), Ok(mut terminate)) =
                (signal(SignalKind::interrupt()), signal(SignalKind::terminate()))
            else {
                return;
            };
            // The receiver waits for this message before it returns.
            let _ = ready.send(());
            tokio::select! {
                _ = interrupt.recv() => {}
                _ = terminate.recv() => {}
            }
            then();
        });
    });
    // An error means that the handlers could not be installed: signals then end the program as usual.
    let _ = is_ready.recv();
}
