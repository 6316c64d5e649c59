use std::pin::pin;

use hyper_util::server::graceful::GracefulConnection;
use tokio_util::sync::CancellationToken;

/// Serves a connection until it ends or, once `closing` is cancelled, until its requests in flight are answered.
///
/// # Errors
///
/// Fails with the library's error if the connection breaks.
pub async fn serve_until<C: GracefulConnection>(
    connection: C,
    closing: &CancellationToken,
) -> Result<(), C::Error> {
    let mut connection = pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => ended,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}
