//! Bytes that an exchange takes on a connection, counted by a relay between client and server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use carobwick_core::DrainTarget;
use carobwick_core::WriteId;
use carobwick_runtime::Node;
use carobwick_runtime::PeerClient;
use carobwick_runtime::PeerServer;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// Relays connections to `to` and counts the bytes of both directions.
async fn relay(to: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    let count = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&count);
    tokio::spawn(async move {
        while let Ok((client, _)) = listener.accept().await {
            let server = TcpStream::connect(to).await.unwrap();
            let (from_client, to_client) = client.into_split();
            let (from_server, to_server) = server.into_split();
            tokio::spawn(copy(from_client, to_server, Arc::clone(&counted)));
            tokio::spawn(copy(from_server, to_client, Arc::clone(&counted)));
        }
    });
    (addr, count)
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    count: Arc<AtomicUsize>,
) {
    let mut buffer = vec![0; 65_536];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        count.fetch_add(read, Ordering::SeqCst);
        to.write_all(&buffer[..read]).await.unwrap();
    }
}

/// Guards against exchanges of equal states that grow with the state; they are most of the control traffic.
#[tokio::test]
async fn exchange_of_equal_states_is_small() {
    let (local, remote) = (Node::open(), Node::open());
    for node in [&local, &remote] {
        for index in 0..200 {
            let target = DrainTarget::Endpoint(format!("endpoint-{index}").parse().unwrap());
            node.update(|state| state.drains.set(target, true, WriteId(index)));
        }
    }
    let responder = remote.clone();
    let server = PeerServer::bind("127.0.0.1:0".parse().unwrap(), move |message| {
        let reply = responder.handle_message(message).0;
        async move { reply }
    });
    let server = server.await.unwrap();
    let (addr, count) = relay(server.addr()).await;
    let client = PeerClient::open(Duration::from_secs(10));
    let instance = "zone-0-entry-00".parse().unwrap();
    let addr = addr.to_string();
    // The first exchanges also open the connection and fill the tables of the header compression.
    for _ in 0..10 {
        local.exchange(&client, &addr, &instance).await.unwrap();
    }
    let before = count.load(Ordering::SeqCst);
    for _ in 0..100 {
        local.exchange(&client, &addr, &instance).await.unwrap();
    }
    let exchange_bytes = (count.load(Ordering::SeqCst) - before) / 100;
    println!("{exchange_bytes} bytes for an exchange of equal states");
    assert!(exchange_bytes <= 120, "{exchange_bytes} bytes");
}
