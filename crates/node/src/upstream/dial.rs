//! Connecting to a cache server, with retries for failures of the local machine.

use std::io;
use std::time::Duration;

use hallpin_balancer::Status;
use rustix::io::Errno;
use tokio::time::{sleep, timeout_at, Instant};

use crate::system_error::{classify, report, ErrorClass, Operation, SystemCall};

/// Delay before connecting again after a local failure.
pub(super) const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Most retries of one attempt after local failures, 0.1 s in all.
pub(super) const MAX_CONNECT_RETRIES: u32 = 20;

/// Whether closing another connection frees what this machine lacks. Closing does not restore a route.
fn is_eased_by_closing(error: &io::Error) -> bool {
    let is_own = classify(SystemCall::Connect, error) == ErrorClass::LocalShortage;
    is_own && !matches!(Errno::from_io_error(error), Some(Errno::NETUNREACH | Errno::NETDOWN))
}

/// Connects before `until`. A failure that says nothing about the server is retried: at once if `close_oldest` has
/// freed a connection, otherwise after a delay, often enough to outlast a short shortage.
///
/// # Errors
/// `Unreachable` if the server is at fault or has not accepted by `until`, `Void` if this machine is at fault.
pub(super) async fn dial<T>(
    until: Instant,
    mut connect: impl AsyncFnMut() -> io::Result<T>,
    close_oldest: impl Fn() -> bool,
) -> Result<T, Status> {
    let mut retries = 0;
    loop {
        let error = match timeout_at(until, connect()).await {
            Ok(Ok(connected)) => return Ok(connected),
            Ok(Err(error)) => error,
            Err(_) => return Err(Status::Unreachable),
        };
        match classify(SystemCall::Connect, &error) {
            ErrorClass::PeerFault | ErrorClass::Fatal => return Err(Status::Unreachable),
            ErrorClass::RetryNow | ErrorClass::LocalShortage => {}
        }
        report(Operation::ConnectServer, &error, "connecting again, or ending the attempt as void");
        if is_eased_by_closing(&error) && close_oldest() {
            continue;
        }
        retries += 1;
        if retries > MAX_CONNECT_RETRIES || Instant::now() + CONNECT_RETRY_DELAY >= until {
            return Err(Status::Void);
        }
        sleep(CONNECT_RETRY_DELAY).await;
    }
}
