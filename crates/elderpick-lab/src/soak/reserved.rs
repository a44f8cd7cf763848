//! Addresses of stand-ins that stay theirs while nothing listens there.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket};

/// Pause between two tries to listen where a listener that was dropped is not gone yet.
const LISTEN_AGAIN: Duration = Duration::from_millis(1);

/// An address on loopback that the system gives to nobody else: without it a stand-in that starts meanwhile may get the
/// port of one that is dead for a moment.
pub struct ReservedAddress {
    /// The address.
    pub address: SocketAddr,
    _holder: TcpSocket,
}

impl ReservedAddress {
    /// Takes a port of the system's. Connections to it are refused until something listens there.
    pub fn take() -> io::Result<ReservedAddress> {
        let holder = TcpSocket::new_v4()?;
        holder.set_reuseaddr(true)?;
        holder.bind(([127, 0, 0, 1], 0).into())?;
        Ok(ReservedAddress { address: holder.local_addr()?, _holder: holder })
    }

    /// Listens there, once nobody else does.
    pub async fn listen(&self, backlog: u32) -> io::Result<TcpListener> {
        loop {
            let socket = TcpSocket::new_v4()?;
            socket.set_reuseaddr(true)?;
            match socket.bind(self.address).and_then(|()| socket.listen(backlog)) {
                Err(why) if why.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(LISTEN_AGAIN).await;
                }
                listener => return listener,
            }
        }
    }
}
