//! Guards against accepted connections without `TCP_NODELAY`, which delay small writes, or without
//! `TCP_USER_TIMEOUT`, which stay open for minutes after a network partition.

use std::time::Duration;

use tokio::net::TcpStream;
use tsw_http::connection;

#[actix_rt::test]
async fn accepted_connections_have_the_options_of_their_listener() {
    let any = ([127, 0, 0, 1], 0).into();
    let listener = connection::listen(any).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let _client = TcpStream::connect(address).await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    assert!(stream.nodelay().expect("an option"));
    let timeout = socket2::SockRef::from(&stream).tcp_user_timeout();
    let timeout = timeout.expect("an option").expect("a limit");
    assert!(timeout <= Duration::from_secs(3));
}
