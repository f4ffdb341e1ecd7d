//! Background connections that occupy the target: slow ones write and read byte by byte, half-open ones send nothing.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use hallpin_protocol::client::next_answer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use super::connection::encode_request;
use super::mix::RequestSpec;
use super::shared::{Pending, Shared};

/// Interval between two bytes on a slow connection.
const BYTE_INTERVAL: Duration = Duration::from_millis(20);
/// Delay before reconnecting after a failed connect or a closed connection.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Sends requests and reads their answers byte by byte, one request at a time.
pub(super) async fn run_slow(shared: Rc<Shared>, target: SocketAddr, number: usize) {
    while !shared.is_finished() {
        if let Ok(mut stream) = TcpStream::connect(target).await {
            while exchange_slowly(&shared, &mut stream, number).await.is_ok() {
                shared.results.borrow_mut().counts.slow_answered += 1;
            }
            shared.results.borrow_mut().counts.slow_cut_off += u64::from(!shared.is_finished());
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Sends one request, with key `number`, and reads its answer, byte by byte; fails if the connection ends before or
/// the answer is malformed.
async fn exchange_slowly(shared: &Shared, stream: &mut TcpStream, number: usize) -> std::io::Result<()> {
    let request_spec = RequestSpec { class: 0, tenant: None, key: number as u32 };
    // Far longer than a normal request's timeout: the exchange itself is slow by design.
    let deadline = shared.now() + shared.spec.wait * 100;
    let request = shared.next_id();
    let pending = Pending { request, due: shared.now(), request_spec, deadline, tries: 1 };
    for byte in encode_request(shared, &pending, shared.next_id()) {
        stream.write_all(&[byte]).await?;
        sleep(BYTE_INTERVAL).await;
    }
    let mut input = BytesMut::new();
    loop {
        match next_answer(&mut input) {
            Ok(Some(_)) => return Ok(()),
            Ok(None) => input.extend_from_slice(&[stream.read_u8().await?]),
            Err(_) => return Err(std::io::ErrorKind::InvalidData.into()),
        }
        sleep(BYTE_INTERVAL).await;
    }
}

/// Holds a connection open without sending anything; reconnects whenever the target closes it.
pub(super) async fn run_half_open(shared: Rc<Shared>, target: SocketAddr) {
    while !shared.is_finished() {
        if let Ok(mut stream) = TcpStream::connect(target).await {
            shared.results.borrow_mut().counts.half_open += 1;
            // No answer is expected, so the read returns only when the target ends the connection.
            let _ = stream.read(&mut [0; 64]).await;
            let _ = stream.shutdown().await;
            shared.results.borrow_mut().counts.half_open_closed += u64::from(!shared.is_finished());
        }
        sleep(RECONNECT_DELAY).await;
    }
}
