use std::pin::pin;

use hyper_util::server::graceful::GracefulConnection;
use tokio_util::sync::CancellationToken;

/// Serves a connection until it ends or, once `shutdown` is cancelled, until its requests in flight are
/// finished.
///
/// # Errors
///
/// Fails with the error of the HTTP library if the connection is lost.
pub async fn serve_until<C: GracefulConnection>(
    connection: C,
    shutdown: &CancellationToken,
) -> Result<(), C::Error> {
    let mut connection = pin!(connection);
    tokio::select! {
        result = connection.as_mut() => result,
        () = shutdown.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}
