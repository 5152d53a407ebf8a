//! Options of sockets.

use oleander_adapters::http_client::CLIENT_KEEPALIVE;
use oleander_adapters::socket_keepalive::SocketKeepalive;
use oleander_gateway::caller_server::CALLER_KEEPALIVE;
use oleander_gateway::upstream_connection::UPSTREAM_KEEPALIVE;
use socket2::SockRef;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Guards against connections that stay open for minutes after their peer went silent, because the
/// kernel refuses an option.
#[yare::parameterized(
    caller = { CALLER_KEEPALIVE },
    upstream = { UPSTREAM_KEEPALIVE },
    client = { CLIENT_KEEPALIVE },
)]
fn the_kernel_accepts_all_options_of_a_connection(keepalive: SocketKeepalive) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let socket = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
        keepalive.apply(&socket).unwrap();
        let options = SockRef::from(&socket);
        assert!(options.keepalive().unwrap());
        let seconds = Duration::from_secs;
        assert_eq!(options.tcp_keepalive_time().unwrap(), seconds(keepalive.idle_seconds));
        assert_eq!(options.tcp_keepalive_interval().unwrap(), seconds(keepalive.interval_seconds));
        assert_eq!(options.tcp_keepalive_retries().unwrap(), keepalive.probes);
        assert_eq!(options.tcp_user_timeout().unwrap(), Some(keepalive.silence));
    });
}

/// Guards against connections that end later or sooner than intended, since a user timeout also decides
/// when probes give up, whatever their number: both must end a silent connection at the same time, and
/// not while a sound peer is silent for a second or two.
#[yare::parameterized(
    callers = { CALLER_KEEPALIVE, 15 },
    upstreams_and_hosts = { UPSTREAM_KEEPALIVE, 4 },
    store = { CLIENT_KEEPALIVE, 2 },
)]
fn probes_and_user_timeout_end_a_connection_together(keepalive: SocketKeepalive, seconds: u64) {
    let probed = keepalive.idle_seconds + keepalive.interval_seconds * u64::from(keepalive.probes);
    assert!(keepalive.silence >= Duration::from_secs(seconds));
    assert!(keepalive.silence <= Duration::from_secs(probed));
    assert!(probed - keepalive.silence.as_secs() <= keepalive.interval_seconds);
}
