//! Opens connections to upstreams.

use oleander_core::units::ByteCount;
use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use tokio::net::{TcpSocket, TcpStream};

/// A connection that is being opened.
pub type DialFuture = Pin<Box<dyn Future<Output = io::Result<TcpStream>> + Send>>;

/// How connections to upstreams are opened.
///
/// ```
/// use oleander_gateway::socket_dialer::SocketDialer;
///
/// # tokio::runtime::Builder::new_current_thread().enable_io().build().unwrap().block_on(async {
/// let refusing = SocketDialer::new(|_| {
///     Box::pin(std::future::ready(Err(std::io::ErrorKind::ConnectionRefused.into())))
/// });
/// let address = "127.0.0.1:7000".parse().unwrap();
/// assert!(refusing.dial(address).await.is_err());
/// # });
/// ```
#[derive(Clone)]
pub struct SocketDialer(Arc<dyn Fn(SocketAddr) -> DialFuture + Send + Sync>);

impl Default for SocketDialer {
    fn default() -> Self {
        Self::new(|address| Box::pin(TcpStream::connect(address)))
    }
}

impl SocketDialer {
    /// Opens connections by a function.
    #[must_use]
    pub fn new(dial: impl Fn(SocketAddr) -> DialFuture + Send + Sync + 'static) -> Self {
        Self(Arc::new(dial))
    }

    /// Opens connections with receive buffers of a size, which come from `local` if stated.
    #[must_use]
    pub fn with_receive_buffer(size: ByteCount, local: Option<IpAddr>) -> Self {
        Self::new(move |address| Box::pin(dial(address, size, local)))
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// When the connection is refused or fails.
    pub async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        (self.0)(address).await
    }
}

/// Opens a connection whose receive buffer has a size, from a local address if stated.
///
/// # Errors
///
/// When the connection is refused or fails.
pub async fn dial(
    address: SocketAddr,
    receive_buffer: ByteCount,
    local: Option<IpAddr>,
) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Before the connection is opened, since the window is agreed on then.
    socket.set_recv_buffer_size(u32::try_from(receive_buffer.get()).unwrap_or(u32::MAX))?;
    if let Some(local) = local {
        socket.bind(SocketAddr::new(local, 0))?;
    }
    socket.connect(address).await
}
