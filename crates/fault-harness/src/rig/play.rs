//! Runs a scenario from its start to its report.

use std::io::{self, BufWriter, Write};
use std::path::Path;
use std::time::Duration;

use tokio::time::{sleep_until, timeout, Instant};

use super::{Options, Rig, RigError};
use crate::judge::{self, Report};
use crate::spec::Spec;
use crate::stand_in::longest;
use crate::trace::{Event, Recorder, TraceError};

/// Maximum time that the trigger of a fault may take; a longer wait fails the run.
const HAPPENS_WITHIN: Duration = Duration::from_secs(30);

/// Runs a scenario: builds the harness, injects the faults in order, lets the load end, and checks the invariants. No
/// process outlives the call.
///
/// # Errors
/// Fails if the harness cannot be built, or if the trigger of a fault does not happen.
pub async fn play(spec: Spec, options: &Options, trace: Option<&Path>) -> Result<Report, RigError> {
    let rig = Rig::start(spec, options).await?;
    let played = async {
        rig.begin();
        for fault in &rig.spec.faults {
            rig.until(&fault.when, HAPPENS_WITHIN).await?;
            rig.fault(&fault.doing).await?;
        }
        rig.over().await
    };
    let played = played.await;
    let report = rig.finish(trace).await;
    played.and(report)
}

impl Rig {
    /// The trace of the run so far, which grows while the run goes on.
    pub fn recorder(&self) -> &Recorder {
        &self.recorder
    }

    /// Starts the load.
    pub fn begin(&self) {
        let here = (self.recorder.mark(), Instant::now());
        self.marks.load.set(here);
        self.marks.fault.set(here);
        self.recorder.record(Event::LoadBegins);
        self.load.begin(self.spec.length);
    }

    /// Waits until the load's duration has passed and the last request is finished.
    ///
    /// # Errors
    /// Fails if a request does not finish.
    pub async fn over(&self) -> Result<(), RigError> {
        sleep_until(self.marks.load.get().1 + Duration::from_micros(self.spec.length.0)).await;
        self.quiet().await
    }

    /// Stops the load, and waits until the last request is finished.
    ///
    /// # Errors
    /// Fails if a request does not finish.
    pub async fn quiet(&self) -> Result<(), RigError> {
        self.load.end();
        let (mut open, bound) = (self.load.open(), longest(&self.spec) + HAPPENS_WITHIN);
        let over = timeout(bound, open.wait_for(|open| *open == 0)).await.map(drop);
        Ok(over.map_err(|_| TraceError { what: "the last request over".into(), bound })?)
    }

    /// Ends everything that was started, verifies that no process is left, and checks the invariants.
    ///
    /// # Errors
    /// Fails if a process is left, or if the trace cannot be written or overflowed.
    pub async fn finish(self, trace: Option<&Path>) -> Result<Report, RigError> {
        self.load.end();
        let all: Vec<usize> = (0..self.hosts.len()).collect();
        self.hosts.iter().for_each(|host| host.kill());
        self.ended(&all, HAPPENS_WITHIN).await?;
        let started = self.hosts.iter().flat_map(|host| host.pids());
        let left: Vec<i32> =
            started.map(|pid| pid.as_raw_nonzero().get()).filter(|pid| runs(*pid, &self.folder)).collect();
        if !left.is_empty() {
            return Err(RigError::LeftBehind(left));
        }
        if let Some(path) = trace {
            let mut file = BufWriter::new(std::fs::File::create(path)?);
            self.recorder.write(&mut file)?;
            file.flush()?;
        }
        match self.recorder.lost() {
            0 => Ok(judge::judge(&self.spec, &self.recorder.records())),
            lost => Err(RigError::TooMuch(lost)),
        }
    }
}

/// Whether a process of this harness still runs. The command line must contain the harness's folder, as the system may
/// have reused the process id.
fn runs(pid: i32, folder: &Path) -> bool {
    let line: io::Result<Vec<u8>> = std::fs::read(format!("/proc/{pid}/cmdline"));
    let folder = folder.as_os_str().as_encoded_bytes();
    line.is_ok_and(|line| line.windows(folder.len().max(1)).any(|part| part == folder))
}
