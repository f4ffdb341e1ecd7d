//! Classification of errnos for each call, and counting and logging of failures.

use super::*;

const SHORTAGES: [Errno; 5] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC];

fn expect(call: SystemCall, class: ErrorClass, errnos: &[Errno]) {
    for errno in errnos {
        assert_eq!(classify(call, &(*errno).into()), class, "{call:?} {errno:?}");
    }
}

#[test]
fn accept_distinguishes_errors_of_a_connection_from_those_of_the_listener() {
    let pending = [
        Errno::CONNABORTED,
        Errno::INTR,
        Errno::NETDOWN,
        Errno::PROTO,
        Errno::NOPROTOOPT,
        Errno::HOSTDOWN,
        Errno::NONET,
        Errno::HOSTUNREACH,
        Errno::OPNOTSUPP,
        Errno::NETUNREACH,
        Errno::TIMEDOUT,
        Errno::PERM,
    ];
    expect(SystemCall::Accept, ErrorClass::RetryNow, &pending);
    expect(SystemCall::Accept, ErrorClass::LocalShortage, &SHORTAGES);
    expect(SystemCall::Accept, ErrorClass::Fatal, &[Errno::BADF, Errno::INVAL, Errno::NOTSOCK]);
    assert_eq!(classify(SystemCall::Accept, &io::Error::other("the runtime ends")), ErrorClass::Fatal);
}

#[test]
fn connect_distinguishes_local_errors_from_the_peers() {
    expect(SystemCall::Connect, ErrorClass::RetryNow, &[Errno::INTR]);
    expect(SystemCall::Connect, ErrorClass::LocalShortage, &SHORTAGES);
    let own = [Errno::ADDRNOTAVAIL, Errno::ADDRINUSE, Errno::AGAIN, Errno::NETUNREACH, Errno::NETDOWN];
    expect(SystemCall::Connect, ErrorClass::LocalShortage, &own);
    let peer = [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNREFUSED, Errno::CONNRESET];
    expect(SystemCall::Connect, ErrorClass::PeerFault, &peer);
    expect(SystemCall::Connect, ErrorClass::Fatal, &[Errno::BADF, Errno::INVAL, Errno::ACCESS]);
    assert_eq!(classify(SystemCall::Connect, &io::ErrorKind::TimedOut.into()), ErrorClass::PeerFault);
}

#[test]
fn listen_retries_only_temporary_errors() {
    expect(SystemCall::Listen, ErrorClass::RetryNow, &[Errno::INTR]);
    expect(SystemCall::Listen, ErrorClass::LocalShortage, &SHORTAGES);
    expect(SystemCall::Listen, ErrorClass::LocalShortage, &[Errno::ADDRINUSE]);
    expect(SystemCall::Listen, ErrorClass::Fatal, &[Errno::ADDRNOTAVAIL, Errno::ACCESS, Errno::NOENT]);
    assert_eq!(classify(SystemCall::Listen, &io::Error::other("no address")), ErrorClass::Fatal);
}

#[test]
fn transfer_distinguishes_local_errors_from_the_peers() {
    expect(SystemCall::Transfer, ErrorClass::RetryNow, &[Errno::INTR]);
    expect(SystemCall::Transfer, ErrorClass::LocalShortage, &SHORTAGES);
    expect(SystemCall::Transfer, ErrorClass::LocalShortage, &[Errno::NETUNREACH, Errno::TOOMANYREFS]);
    let peer = [Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::CONNRESET, Errno::PIPE, Errno::CONNREFUSED];
    expect(SystemCall::Transfer, ErrorClass::PeerFault, &peer);
    expect(SystemCall::Transfer, ErrorClass::Fatal, &[Errno::BADF, Errno::NOTSOCK]);
}

/// Each errno of the table has one name, and each name one errno.
#[test]
fn errno_names_are_unique() {
    for (n, (errno, name)) in ERRNO_NAMES.iter().enumerate() {
        assert_eq!(errno_name(&(*errno).into()), *name);
        assert!(ERRNO_NAMES[..n].iter().all(|(before, named)| before != errno && named != name), "{name}");
    }
    assert_eq!(errno_name(&io::Error::from_raw_os_error(4000)), "4000");
    assert_eq!(errno_name(&io::Error::other("the runtime ends")), "none");
}

/// At most one line a second is logged for each operation, and every failure is counted.
#[tokio::test(start_paused = true)]
async fn all_failures_are_counted_and_log_lines_are_limited() {
    let calls = FailedCalls::install();
    let fails = |operation, errno: Errno| report(operation, &errno.into(), "trying again");
    let logged = (0..100).filter(|_| fails(Operation::AcceptClient, Errno::MFILE)).count();
    assert_eq!(logged, 1);
    assert!(!fails(Operation::AcceptClient, Errno::CONNABORTED), "another errno of the same operation");
    assert!(fails(Operation::Listen, Errno::NOMEM), "another operation");
    tokio::time::advance(LOG_INTERVAL).await;
    assert_eq!(calls.may_log(Operation::AcceptClient, Instant::now()), Some(100));
    assert_eq!(calls.may_log(Operation::AcceptClient, Instant::now()), None);
    let mut out = String::new();
    calls.render(&mut out);
    let want = "app_system_call_errors_total{operation=\"accept_client\",errno=\"ECONNABORTED\"} 1\n\
        app_system_call_errors_total{operation=\"accept_client\",errno=\"EMFILE\"} 100\n\
        app_system_call_errors_total{operation=\"listen\",errno=\"ENOMEM\"} 1\n";
    assert_eq!(out, want);
}

/// Failures on this thread appear in the metrics for operators, starting at 0 for each registry.
#[test]
fn failures_are_shown_to_operators() {
    let shown = |metrics: &crate::metrics::Metrics| metrics.render(Default::default());
    let before = crate::metrics::Metrics::new([]);
    report(Operation::AcceptOperator, &Errno::NFILE.into(), "trying again");
    assert!(shown(&before).contains("{operation=\"accept_operator\",errno=\"ENFILE\"} 1\n"));
    assert!(!shown(&crate::metrics::Metrics::new([])).contains("system_call_errors"));
}

#[test]
fn a_persistent_failure_leads_to_pauses() {
    let mut retry = AcceptRetry::new(Operation::AcceptClient);
    let mut steps = |count| (0..count).map(|_| retry.failed(&Errno::CONNABORTED.into())).collect::<Vec<_>>();
    let at_once = vec![NextAccept::Immediately; MAX_IMMEDIATE_RETRIES as usize];
    for _ in 0..3 {
        assert_eq!(steps(MAX_IMMEDIATE_RETRIES), at_once);
        assert_eq!(steps(1), [NextAccept::AfterPause]);
    }
    assert_eq!(steps(MAX_IMMEDIATE_RETRIES), at_once);
    retry.accepted();
    assert_eq!(
        retry.failed(&Errno::CONNABORTED.into()),
        NextAccept::Immediately,
        "a connection came between"
    );
    assert_eq!(retry.failed(&Errno::MFILE.into()), NextAccept::AfterFreeingDescriptors);
    assert_eq!(retry.failed(&Errno::BADF.into()), NextAccept::Never);
}
