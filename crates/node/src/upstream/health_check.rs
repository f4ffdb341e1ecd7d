//! Health checks of cache servers.

use bytes::BytesMut;
use hallpin_balancer::{ServerId, Status};
use hallpin_protocol as protocol;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{timeout_at, Instant};

use super::attempt::UNREADABLE_ANSWER;
use super::pool::Upstream;

impl Upstream {
    /// Health check: `Success` if the server answers that it is ready, `Error` if it answers that it is not. Connecting
    /// and the answer together may take twice the dial timeout.
    pub async fn check_health(&self, server: &ServerId) -> Status {
        let until = Instant::now() + self.bounds.dial_timeout * 2;
        let check = async {
            let mut connection = self.acquire(server, until, false).await?;
            let broken = |_| Status::Broken;
            connection.stream.write_all(protocol::HEALTH_CHECK).await.map_err(broken)?;
            let mut buf = BytesMut::new();
            let ready = loop {
                match protocol::next_health_check_answer(&mut buf) {
                    Ok(Some(ready)) => break ready,
                    Ok(None) if connection.stream.read_buf(&mut buf).await.map_err(broken)? > 0 => {}
                    Ok(None) => return Err(Status::Broken),
                    Err(protocol::Malformed) => return Err(UNREADABLE_ANSWER),
                }
            };
            connection.answered(ready);
            if buf.is_empty() {
                self.cache_connection(server, connection);
            }
            Ok(if ready { Status::Success } else { Status::Error })
        };
        let status = timeout_at(until, check).await.unwrap_or(Err(Status::TimedOut));
        status.unwrap_or_else(|failure| failure)
    }
}
