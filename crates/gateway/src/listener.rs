use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::backoff::Backoff;

/// Accepts the next connection. A failed attempt is repeated with backoff: for lack of file descriptors, it
/// would fail again at once, and the thread that serves requests would do nothing else.
pub(crate) async fn accept(listener: &TcpListener, name: &str) -> (TcpStream, SocketAddr) {
    let mut backoff = Backoff::new();
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(err) => {
                tracing::warn!("{name}: can't accept a connection: {err}");
                backoff.wait().await;
            }
        }
    }
}
