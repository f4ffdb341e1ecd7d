//! Runs a scenario from its start to its report.

use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::time::Duration;

use tokio::time::{sleep_until, timeout, Instant};

use super::{Harness, HarnessError, Options};
use crate::fakes::max_request_duration;
use crate::invariants::{self, Report};
use crate::spec::Spec;
use crate::trace::{Event, Recorder, WaitTimeout};

/// Maximum time that the trigger of a fault may take; a longer wait fails the run.
const TRIGGER_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a scenario: builds the harness, injects the faults in order, lets the load end, and checks the invariants. No
/// process outlives the call.
///
/// # Errors
/// Fails if the harness cannot be built, or if the trigger of a fault does not happen.
pub async fn play(spec: Spec, options: &Options, trace: Option<&Path>) -> Result<Report, HarnessError> {
    let harness = Harness::start(spec, options).await?;
    let played = async {
        harness.start_load();
        for fault in &harness.spec.faults {
            harness.wait_trigger(&fault.when, TRIGGER_TIMEOUT).await?;
            harness.inject(&fault.action).await?;
        }
        harness.wait_load_end().await
    };
    let played = played.await;
    let report = harness.finish(trace).await;
    played.and(report)
}

impl Harness {
    /// The trace of the run so far, which grows while the run goes on.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Starts the load.
    pub fn start_load(&self) {
        let origin = (self.recorder.position(), Instant::now());
        self.origins.load.set(origin);
        self.origins.fault.set(origin);
        self.recorder.record(Event::LoadBegins);
        self.load.start(self.spec.length);
    }

    /// Waits until the load's duration has passed and the last request is finished.
    ///
    /// # Errors
    /// Fails if a request does not finish.
    pub async fn wait_load_end(&self) -> Result<(), HarnessError> {
        sleep_until(self.origins.load.get().1 + Duration::from_micros(self.spec.length.0)).await;
        self.drain_load().await
    }

    /// Stops the load, and waits until the last request is finished.
    ///
    /// # Errors
    /// Fails if a request does not finish.
    pub async fn drain_load(&self) -> Result<(), HarnessError> {
        self.load.stop();
        let (mut open, bound) =
            (self.load.open_requests(), max_request_duration(&self.spec) + TRIGGER_TIMEOUT);
        let result = timeout(bound, open.wait_for(|open| *open == 0)).await.map(drop);
        Ok(result.map_err(|_| WaitTimeout { what: "the end of the last request".into(), bound })?)
    }

    /// Ends everything that was started, verifies that no process is left, and checks the invariants.
    ///
    /// # Errors
    /// Fails if a process is left, or if the trace cannot be written or overflowed.
    pub async fn finish(self, trace: Option<&Path>) -> Result<Report, HarnessError> {
        self.load.stop();
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        self.hosts.iter().for_each(|host| host.kill());
        self.wait_ended(&all, TRIGGER_TIMEOUT).await?;
        let started = self.hosts.iter().flat_map(|host| host.pids());
        let remaining: Vec<i32> = started
            .map(|pid| pid.as_raw_nonzero().get())
            .filter(|pid| is_running(*pid, &self.folder))
            .collect();
        if !remaining.is_empty() {
            return Err(HarnessError::ProcessesLeft(remaining));
        }
        if let Some(path) = trace {
            let mut file = BufWriter::new(std::fs::File::create(path)?);
            self.recorder.write(&mut file)?;
            file.flush()?;
        }
        match self.recorder.dropped() {
            0 => Ok(invariants::check_invariants(&self.spec, &self.recorder.records())),
            dropped => Err(HarnessError::TraceOverflow(dropped)),
        }
    }
}

/// Whether a process of this harness still runs. The command line must contain the harness's folder, as the system may
/// have reused the process id.
fn is_running(pid: i32, folder: &Path) -> bool {
    let command_line: io::Result<Vec<u8>> = std::fs::read(format!("/proc/{pid}/cmdline"));
    let folder = folder.as_os_str().as_encoded_bytes();
    command_line
        .is_ok_and(|command_line| command_line.windows(folder.len().max(1)).any(|part| part == folder))
}
