//! Batches of reads, and system call errors.

use rustix::io::Errno;

use super::*;

/// A batch is bounded however many datagrams are queued, and an oversized datagram is recognised.
#[tokio::test]
async fn a_batch_is_bounded_and_senders_are_identified_by_address() {
    let (peer, stranger) =
        (UdpSocket::bind("127.0.0.1:0").await.unwrap(), UdpSocket::bind("127.0.0.1:0").await.unwrap());
    let listen = "127.0.0.1:0".parse().unwrap();
    let addresses = Addresses::new(vec![listen, peer.local_addr().unwrap()]);
    let socket = Socket::bind(listen, addresses).await.unwrap();
    let address = socket.inner.local_addr().unwrap();
    for _ in 0..MAX_BATCH {
        peer.send_to(&[7; 300], address).await.unwrap();
    }
    stranger.send_to(&[7; 10], address).await.unwrap();
    let mut received = Vec::new();
    while received.len() <= MAX_BATCH {
        socket.readable().await;
        let before = received.len();
        let pause = socket.read(|sender, bytes| received.push((sender, bytes.len())));
        assert!(received.len() - before <= MAX_BATCH);
        assert_eq!(pause, (received.len() - before == MAX_BATCH).then_some(BATCH_PAUSE));
    }
    let of_peer = (Some(NodeId(1)), MAX_DATAGRAM + 1);
    assert!(
        received[..MAX_BATCH].iter().all(|each| *each == of_peer) && received[MAX_BATCH] == (None, 10),
        "{received:?}"
    );
}

fn failed<T>(errno: Errno) -> io::Result<T> {
    Err(errno.into())
}

/// An error left by an earlier send, or an interruption, ends only the read that reports it; the datagrams behind it
/// are read in the same batch.
#[test]
fn errors_that_the_next_read_does_not_meet_do_not_stop_a_batch() {
    let from = "127.0.0.1:9".parse().unwrap();
    for errno in [Errno::CONNREFUSED, Errno::HOSTUNREACH, Errno::INTR] {
        let mut reads = vec![failed(Errno::AGAIN), Ok((3, from)), failed(errno)];
        let mut received = Vec::new();
        let pause = read_batch(|_| reads.pop().unwrap(), |_, bytes| received.push(bytes.len()));
        assert_eq!((pause, received), (None, vec![3]), "{errno:?}");
    }
}

/// An error that the next read would meet again is not retried at once.
#[test]
fn a_read_that_cannot_succeed_now_ends_the_batch_with_a_pause() {
    for errno in [Errno::NOMEM, Errno::NOBUFS, Errno::BADF, Errno::NOTSOCK] {
        let mut reads = 0;
        let receive = |_: &mut [u8]| {
            reads += 1;
            failed(errno)
        };
        assert_eq!(read_batch(receive, |_, _| unreachable!()), Some(ERROR_PAUSE), "{errno:?}");
        assert_eq!(reads, 1, "{errno:?}");
    }
}

#[test]
fn an_interrupted_send_is_retried_and_any_other_failure_loses_the_datagram() {
    let sends = |mut results: Vec<io::Result<usize>>| {
        let sent = send(|| results.pop().unwrap());
        (sent, results.len())
    };
    assert_eq!(sends(vec![Ok(1), failed(Errno::INTR)]), (true, 0));
    assert_eq!(sends(vec![Ok(1), failed(Errno::INTR), failed(Errno::INTR)]), (false, 1));
    for errno in [Errno::NOBUFS, Errno::NETUNREACH, Errno::PERM, Errno::AGAIN] {
        assert_eq!(sends(vec![Ok(1), failed(errno)]), (false, 1), "{errno:?}");
    }
}

/// Binding is retried while the machine is short of descriptors or memory, and fails for an address that is not this
/// machine's.
#[tokio::test(start_paused = true)]
async fn binding_is_retried_while_the_machine_is_short_of_resources() {
    let listen = "127.0.0.1:0".parse().unwrap();
    let mut failures = vec![Errno::INTR, Errno::NOMEM, Errno::NOBUFS, Errno::NFILE, Errno::MFILE];
    let bind = async || match failures.pop() {
        Some(errno) => failed(errno),
        None => UdpSocket::bind(listen).await,
    };
    assert!(retry_bind(listen, bind).await.is_ok());
    let error = retry_bind(listen, async || failed(Errno::ADDRNOTAVAIL)).await.unwrap_err();
    assert_eq!(error.raw_os_error(), Some(Errno::ADDRNOTAVAIL.raw_os_error()));
}
