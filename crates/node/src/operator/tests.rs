//! Parsing of calls, answers, and errors of the operators' listener.

use std::io::{Read, Write};
use std::pin::Pin;
use std::task::{Context, Poll};

use rustix::io::Errno;
use socket2::SockRef;
use tokio::io::ReadBuf;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::LocalSet;

use super::*;
use crate::port::tests::FailingListener;

#[test]
fn a_call_is_one_whole_line() {
    for (text, expected) in [
        ("ready\n", Some(Ok(Call::Ready))),
        ("show-stat\r\n", Some(Ok(Call::ShowStat))),
        ("drain\nresume\n", Some(Ok(Call::Drain))),
        ("resume\n", Some(Ok(Call::Resume))),
        ("read", None),
        ("", None),
        ("disable-server s-1\n", Some(Err(Refusal::Malformed))),
        ("stop\n", Some(Err(Refusal::Unknown))),
        ("READY\n", Some(Err(Refusal::Unknown))),
        ("\n", Some(Err(Refusal::Malformed))),
        ("ready \n", Some(Err(Refusal::Malformed))),
        ("re\0dy\n", Some(Err(Refusal::Malformed))),
    ] {
        assert_eq!(parse(text.as_bytes()), expected, "{text:?}");
    }
    assert_eq!(parse(&[b'a'; MAX_CALL_BYTES + 1]), None);
    assert_eq!(parse(&[b'a'; MAX_CALL_BYTES + 2]), Some(Err(Refusal::TooLong)));
    assert_eq!(parse(b"\xff\n"), Some(Err(Refusal::Malformed)));
}

#[test]
fn answers_begin_with_ok_or_fail() {
    assert_eq!(render(Ok("draining")), "ok draining\n");
    assert_eq!(render(Err(Refusal::NotReady(LifecycleState::Starting))), "fail starting\n");
}

fn operator() -> Rc<Operator> {
    Operator::new(Lifecycle::new(), Metrics::new([]), unbounded_channel().0)
}

/// Sends `ready` to this address and returns the answer.
async fn call(address: SocketAddr) -> String {
    let conversation = move || {
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(CALL_TIMEOUT * 10)).unwrap();
        stream.write_all(b"ready\n").unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).map(|_| answer).unwrap()
    };
    // The paused clock does not advance while a blocking task runs.
    tokio::task::spawn_blocking(conversation).await.unwrap()
}

/// Callers are served after `accept` has failed, and a shortage closes none of their descriptors.
#[tokio::test]
async fn a_caller_is_served_after_errors() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let failures = [Errno::CONNABORTED, Errno::MFILE, Errno::NFILE, Errno::INTR, Errno::NETDOWN];
    let (listener, operator) = (FailingListener::once_each(failures, listener), operator());
    let local = LocalSet::new();
    let answer = local.run_until(async {
        tokio::select! {
            () = operator.accept(&listener) => panic!("operators are served forever"),
            answer = call(address) => answer,
        }
    });
    assert_eq!(answer.await, "fail starting\n");
}

#[tokio::test(start_paused = true)]
async fn persistent_errors_are_retried_with_pauses() {
    for errno in [Errno::CONNABORTED, Errno::MFILE] {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let listener = FailingListener::always(errno, listener);
        let ended = timeout(Duration::from_secs(1), operator().accept(&listener)).await;
        assert!(ended.is_err() && listener.calls() < 4000, "{errno:?}: {} calls", listener.calls());
    }
}

/// A listener that was shut down is replaced by a new one at the same address.
#[tokio::test(start_paused = true)]
async fn a_listener_that_was_shut_down_is_replaced() {
    let bound = Operator::bind("127.0.0.1:0".parse().unwrap()).unwrap().unwrap();
    let address = bound.local_addr().unwrap();
    SockRef::from(&bound).shutdown(std::net::Shutdown::Both).unwrap();
    let local = LocalSet::new();
    let answer = local.run_until(async {
        tokio::task::spawn_local(operator().run(address, Some(bound)));
        let listening = async {
            while std::net::TcpStream::connect(address).is_err() {
                sleep(CALL_TIMEOUT / 10).await;
            }
        };
        timeout(CALL_TIMEOUT * 10, listening).await.expect("it listens again");
        call(address).await
    });
    assert_eq!(answer.await, "fail starting\n");
}

/// A node that starts while the machine is short of a resource binds the operators' address later; only a
/// configuration that cannot work ends it.
#[test]
fn a_shortage_at_start_delays_binding_the_operators_address() {
    let address = "127.0.0.1:9".parse().unwrap();
    let bound = |errno: Errno| Operator::listener_from(address, Err(errno.into()));
    for errno in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRINUSE, Errno::INTR] {
        assert!(matches!(bound(errno), Ok(None)), "{errno:?}");
    }
    for errno in [Errno::ADDRNOTAVAIL, Errno::ACCESS, Errno::INVAL] {
        assert!(bound(errno).is_err(), "{errno:?}");
    }
}

/// Yields its text byte by byte, each after a read interrupted by a signal.
struct Interrupted<'a> {
    text: &'a [u8],
    interrupted: bool,
}

impl AsyncRead for Interrupted<'_> {
    fn poll_read(mut self: Pin<&mut Self>, _: &mut Context, into: &mut ReadBuf) -> Poll<io::Result<()>> {
        self.interrupted = !self.interrupted;
        if self.interrupted {
            return Poll::Ready(Err(Errno::INTR.into()));
        }
        let (next, remaining) = self.text.split_at(self.text.len().min(1));
        into.put_slice(next);
        self.text = remaining;
        Poll::Ready(Ok(()))
    }
}

#[tokio::test]
async fn a_call_is_read_byte_by_byte() {
    let read = async |text| read_call(&mut Interrupted { text, interrupted: false }).await.unwrap();
    assert_eq!(read(b"show-stat\r\n").await, Ok(Call::ShowStat));
    assert_eq!(read(b"show-st").await, Err(Refusal::Incomplete));
}
