//! Tests of the peer protocol, with client and server in one process.

use std::net::SocketAddr;
use std::time::Duration;

use carobwick_core::Delta;
use carobwick_core::DrainSet;
use carobwick_core::DrainTarget;
use carobwick_core::PeerMessage;
use carobwick_core::WriteId;
use carobwick_runtime::Error;
use carobwick_runtime::PeerClient;
use carobwick_runtime::PeerServer;
use tokio::net::TcpListener;

const LOOPBACK_ADDR: &str = "127.0.0.1:0";
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(10);

async fn spawn_echo_server(addr: SocketAddr) -> PeerServer {
    PeerServer::bind(addr, |message| async move { message }).await.unwrap()
}

/// Guards against messages that are cut off at the HTTP/2 flow-control window; a full manifest is larger.
#[tokio::test]
async fn large_message_arrives_whole() {
    let server = spawn_echo_server(LOOPBACK_ADDR.parse().unwrap()).await;
    let mut drains = DrainSet::default();
    for index in 0..20_000 {
        let target = DrainTarget::Endpoint(format!("endpoint-{index}").parse().unwrap());
        drains.set(target, true, WriteId(index));
    }
    let message = PeerMessage::Push { delta: Delta { drains, ..Delta::default() } };
    let client = PeerClient::open(EXCHANGE_TIMEOUT);
    assert_eq!(client.exchange(&server.addr().to_string(), &message).await.unwrap(), message);
}

/// Guards against a client that keeps using the connection to a peer that was restarted.
#[tokio::test]
async fn restarted_peer_is_reached_again() {
    let server = spawn_echo_server(LOOPBACK_ADDR.parse().unwrap()).await;
    let addr = server.addr();
    let client = PeerClient::open(EXCHANGE_TIMEOUT);
    client.exchange(&addr.to_string(), &PeerMessage::Ack).await.unwrap();
    drop(server);
    let server = loop {
        // The port is free once the connections of the first server are closed.
        match PeerServer::bind(addr, |message| async move { message }).await {
            Ok(server) => break server,
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    };
    let reply = client.exchange(&server.addr().to_string(), &PeerMessage::Ack).await;
    assert_eq!(reply.unwrap(), PeerMessage::Ack);
}

/// Guards against an exchange that waits forever for a peer that accepts the connection but never replies.
#[tokio::test]
async fn exchange_with_silent_peer_times_out() {
    let silent = TcpListener::bind(LOOPBACK_ADDR).await.unwrap();
    let addr = silent.local_addr().unwrap().to_string();
    let client = PeerClient::open(Duration::from_millis(50));
    let err = client.exchange(&addr, &PeerMessage::Ack).await.unwrap_err();
    assert!(matches!(err, Error::Lost(_)), "{err}");
}

/// Guards against a server that ends when a connection carries something other than HTTP/2.
#[tokio::test]
async fn invalid_bytes_do_not_stop_the_server() {
    let server = spawn_echo_server(LOOPBACK_ADDR.parse().unwrap()).await;
    let mut stream = tokio::net::TcpStream::connect(server.addr()).await.unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let client = PeerClient::open(EXCHANGE_TIMEOUT);
    let reply = client.exchange(&server.addr().to_string(), &PeerMessage::Ack).await;
    assert_eq!(reply.unwrap(), PeerMessage::Ack);
}
