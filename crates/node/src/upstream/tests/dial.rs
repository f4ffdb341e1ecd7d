//! Effects of a connect failure caused by this machine, and of one caused by the server.

use std::cell::Cell;
use std::io;
use std::time::Duration;

use hallpin_balancer::Status;
use rustix::io::Errno;
use tokio::time::Instant;

use crate::system_error::{classify, ErrorClass, SystemCall};
use crate::upstream::dial::{dial, CONNECT_RETRY_DELAY, MAX_CONNECT_RETRIES};
/// Connects after these failures with `cached` connections that may be closed. Returns the outcome, the time taken,
/// and how many of those connections are left.
async fn dial_after(failures: &[Errno], cached: usize) -> (Result<(), Status>, Duration, usize) {
    let (since, mut failures, remaining) = (Instant::now(), failures.iter(), Cell::new(cached));
    let close_oldest = || {
        let closed = remaining.get() > 0;
        remaining.set(remaining.get() - usize::from(closed));
        closed
    };
    let connect = async || failures.next().map_or(Ok(()), |errno| Err((*errno).into()));
    let result = dial(since + Duration::from_secs(1), connect, close_oldest).await;
    (result, since.elapsed(), remaining.get())
}

#[tokio::test(start_paused = true)]
async fn a_short_shortage_is_retried_and_not_blamed_on_the_server() {
    let own = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    for errno in own {
        let pause = CONNECT_RETRY_DELAY;
        assert_eq!(dial_after(&[errno; 2], 2).await, (Ok(()), Duration::ZERO, 0), "{errno:?}");
        assert_eq!(dial_after(&[errno; 3], 2).await, (Ok(()), pause, 0), "{errno:?}");
        assert_eq!(dial_after(&[errno; 100], 0).await.0, Err(Status::Void), "{errno:?}");
    }
    for errno in [Errno::NETUNREACH, Errno::NETDOWN, Errno::INTR] {
        let pause = CONNECT_RETRY_DELAY;
        assert_eq!(
            dial_after(&[errno], 2).await,
            (Ok(()), pause, 2),
            "{errno:?}: no other connection is closed"
        );
        let (status, took, remaining) = dial_after(&[errno; 100], 2).await;
        assert_eq!((status, remaining), (Err(Status::Void), 2), "{errno:?}");
        assert_eq!(took, pause * MAX_CONNECT_RETRIES, "{errno:?}");
    }
    for errno in [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::TIMEDOUT, Errno::CONNRESET] {
        let unreachable = (Err(Status::Unreachable), Duration::ZERO, 2);
        assert_eq!(dial_after(&[errno], 2).await, unreachable, "{errno:?}");
    }
}

fn is_own_shortage(error: &io::Error) -> bool {
    classify(SystemCall::Connect, error) == ErrorClass::LocalShortage
}

#[test]
fn local_shortages_are_told_from_peer_faults() {
    let own = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::NOSPC,
        Errno::ADDRNOTAVAIL,
        Errno::ADDRINUSE,
        Errno::AGAIN,
        Errno::NETUNREACH,
        Errno::NETDOWN,
    ];
    for errno in own {
        assert!(is_own_shortage(&errno.into()), "{errno:?}");
    }
    for errno in [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNREFUSED, Errno::CONNRESET, Errno::PIPE] {
        assert!(!is_own_shortage(&errno.into()), "{errno:?}");
    }
    assert!(!is_own_shortage(&io::ErrorKind::TimedOut.into()), "an error of this program's own");
}

#[test]
fn a_local_shortage_is_not_blamed_on_the_server() {
    assert!(is_own_shortage(&io::Error::from_raw_os_error(24)));
    assert!(!is_own_shortage(&io::ErrorKind::ConnectionRefused.into()));
}
