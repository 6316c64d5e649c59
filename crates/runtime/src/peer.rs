use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use carobwick_core::PeerMessage;
use h2::RecvStream;
use h2::client::SendRequest;
use h2::server::SendResponse;
use http::Request;
use http::Response;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::Error;
use crate::Result;

/// Size limit of a message; a full manifest and the views of all zones at the target scale stay below it.
const MAX_MESSAGE_BYTES: usize = 4 << 20;

/// Time without an exchange after which the server closes a connection; a peer in another zone is contacted
/// about every 2 minutes.
const IDLE_TIMEOUT: Duration = Duration::from_mins(10);

/// Client side of the peer protocol: one HTTP/2 connection per peer, one stream per exchange.
#[derive(Debug, Clone)]
pub struct PeerClient {
    connections: Arc<Mutex<HashMap<String, PooledConnection>>>,
    next_id: Arc<AtomicU64>,
    timeout: Duration,
}

/// Connection that is reused by later exchanges.
#[derive(Debug)]
struct PooledConnection {
    id: u64,
    sender: SendRequest<Bytes>,
}

/// Server side of the peer protocol.
#[derive(Debug)]
pub struct PeerServer {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl PeerClient {
    /// Opens a client whose exchanges time out after `timeout`.
    pub fn open(timeout: Duration) -> Self {
        Self { connections: Arc::default(), next_id: Arc::default(), timeout }
    }

    /// Sends a message to the peer at `addr` (`IP:port`) and returns its reply.
    ///
    /// # Errors
    ///
    /// Fails if the peer does not reply in time or the connection fails. The connection is then dropped and
    /// the next exchange opens a new one, since a connection can stop responding while new ones work.
    pub async fn exchange(&self, addr: &str, message: &PeerMessage) -> Result<PeerMessage> {
        let result = tokio::time::timeout(self.timeout, self.exchange_with_retry(addr, message)).await;
        let result = result.unwrap_or_else(|_| Err(Error::Lost(format!("no reply from {addr}"))));
        if result.is_err() {
            self.connections.lock().await.remove(addr);
        }
        result
    }

    /// Runs an exchange and retries it once on a new connection if it failed on a pooled one, which may
    /// be closed, as after a restart of the peer.
    async fn exchange_with_retry(&self, addr: &str, message: &PeerMessage) -> Result<PeerMessage> {
        let is_pooled = self.connections.lock().await.contains_key(addr);
        let result = self.try_exchange(addr, message).await;
        // The peer may have counted the demand already; all other messages are idempotent.
        let not_repeatable = matches!(message, PeerMessage::Demand(_) | PeerMessage::Relayed(_));
        if result.is_ok() || !is_pooled || not_repeatable {
            return result;
        }
        self.connections.lock().await.remove(addr);
        self.try_exchange(addr, message).await
    }

    async fn try_exchange(&self, addr: &str, message: &PeerMessage) -> Result<PeerMessage> {
        let mut sender = self.get_or_connect(addr).await?.ready().await?;
        let request = Request::post("http://peer/").body(()).map_err(|err| Error::Codec(err.to_string()))?;
        let (response, mut stream) = sender.send_request(request, false)?;
        stream.send_data(encode(message)?, true)?;
        let body = response.await?.into_body();
        decode(&read_message(body).await?)
    }

    async fn get_or_connect(&self, addr: &str) -> Result<SendRequest<Bytes>> {
        if let Some(pooled) = self.connections.lock().await.get(addr) {
            return Ok(pooled.sender.clone());
        }
        let stream =
            TcpStream::connect(addr).await.map_err(|err| Error::Connect(format!("{addr}: {err}")))?;
        stream.set_nodelay(true)?;
        let (sender, connection) = h2::client::handshake(stream).await?;
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let pooled = PooledConnection { id, sender: sender.clone() };
        self.connections.lock().await.insert(addr.to_owned(), pooled);
        let (connections, addr) = (Arc::clone(&self.connections), addr.to_owned());
        tokio::spawn(async move {
            if let Err(err) = connection.await {
                tracing::debug!("peer: connection ended: {err}");
            }
            // A replaced peer is never contacted again, so its closed connection must not stay in the pool.
            let mut connections = connections.lock().await;
            if connections.get(&addr).is_some_and(|pooled| pooled.id == id) {
                connections.remove(&addr);
            }
        });
        Ok(sender)
    }
}

impl PeerServer {
    /// Binds `addr` and replies to each message with what `handler` returns.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn bind<F, R>(addr: SocketAddr, handler: F) -> Result<Self>
    where
        F: Fn(PeerMessage) -> R + Clone + Send + Sync + 'static,
        R: Future<Output = PeerMessage> + Send + 'static,
    {
        let listener = TcpListener::bind(addr).await.map_err(|err| Error::Local(format!("{addr}: {err}")))?;
        let addr = listener.local_addr()?;
        let task = tokio::spawn(accept_connections(listener, handler));
        Ok(Self { addr, task })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Waits until the server ends, which it does only after a panic.
    ///
    /// # Errors
    ///
    /// Fails with the panic that ended the server.
    pub async fn wait_ended(&mut self) -> Result<()> {
        (&mut self.task).await.map_err(|err| Error::Local(format!("peer server: {err}")))
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(PeerMessage) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = PeerMessage> + Send + 'static,
{
    // Dropping the server drops the set, which closes the connections.
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_connection(stream, handler.clone()));
            }
            Err(err) => {
                tracing::warn!("peer: accept failed: {err}");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

async fn serve_connection<F, R>(stream: TcpStream, handler: F)
where
    F: Fn(PeerMessage) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = PeerMessage> + Send + 'static,
{
    let Ok(mut connection) = h2::server::handshake(stream).await else {
        return;
    };
    // The timeout closes the connections of peers that disappeared without closing them.
    while let Ok(Some(Ok((request, respond)))) = tokio::time::timeout(IDLE_TIMEOUT, connection.accept()).await
    {
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Err(err) = handle_exchange(request.into_body(), respond, handler).await {
                tracing::debug!("peer: exchange failed: {err}");
            }
        });
    }
}

async fn handle_exchange<F, R>(body: RecvStream, mut respond: SendResponse<Bytes>, handler: F) -> Result<()>
where
    F: Fn(PeerMessage) -> R,
    R: Future<Output = PeerMessage>,
{
    let message = handler(decode(&read_message(body).await?)?).await;
    let mut stream = respond.send_response(Response::new(()), false)?;
    stream.send_data(encode(&message)?, true)?;
    Ok(())
}

async fn read_message(mut body: RecvStream) -> Result<Bytes> {
    let mut message = BytesMut::new();
    while let Some(data) = body.data().await {
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        if message.len() + data.len() > MAX_MESSAGE_BYTES {
            return Err(Error::Codec(format!("message is longer than {MAX_MESSAGE_BYTES} bytes")));
        }
        message.extend_from_slice(&data);
    }
    Ok(message.freeze())
}

fn encode(message: &PeerMessage) -> Result<Bytes> {
    let bytes = bincode::serde::encode_to_vec(message, bincode::config::standard());
    bytes.map(Bytes::from).map_err(|err| Error::Codec(err.to_string()))
}

fn decode(bytes: &[u8]) -> Result<PeerMessage> {
    let decoded = bincode::serde::decode_from_slice(
        bytes,
        bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>(),
    );
    decoded.map(|(message, _)| message).map_err(|err| Error::Codec(err.to_string()))
}
