//! One connection of viewers.

use std::net::SocketAddr;
use std::time::Duration;

use elderpick_platform::viewer::{self, Message};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpSocket, TcpStream};

use super::{PATIENCE, fault};

/// One connection of viewers.
pub struct Viewers {
    reads: OwnedReadHalf,
    writes: OwnedWriteHalf,
    decoder: viewer::Decoder,
}

impl Viewers {
    pub async fn connect(to: SocketAddr) -> Result<Viewers, String> {
        Viewers::over(TcpStream::connect(to).await.map_err(fault)?)
    }

    /// Connects with a system that takes little of what is not read.
    pub async fn connect_narrow(to: SocketAddr) -> Result<Viewers, String> {
        let socket = TcpSocket::new_v4().map_err(fault)?;
        socket.set_recv_buffer_size(2_048).map_err(fault)?;
        Viewers::over(socket.connect(to).await.map_err(fault)?)
    }

    fn over(stream: TcpStream) -> Result<Viewers, String> {
        // What is written has come when the write returns.
        stream.set_nodelay(true).map_err(fault)?;
        let (reads, writes) = stream.into_split();
        Ok(Viewers { reads, writes, decoder: viewer::Decoder::default() })
    }

    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), String> {
        self.writes.write_all(bytes).await.map_err(fault)
    }

    /// Asks for a session, or hands one over that plays at a host.
    pub async fn ask(&mut self, session: u64, class: &str, at: Option<&str>) -> Result<(), String> {
        self.write(&set_up(session, class, at)).await
    }

    /// Asks whether the gateway takes new viewers, and what it says; what it has read by then was said before.
    pub async fn test(&mut self) -> Result<bool, String> {
        self.write(&[0, 9, viewer::kind::TEST, 0, 0, 0, 0, 0, 0, 0, 9]).await?;
        let answer = self.next().await?.ok_or("closed")?;
        if answer.kind != viewer::kind::TESTED {
            return Err(format!("no answer to a test: {answer:?}"));
        }
        answer.cause().map(|cause| cause == 1).map_err(fault)
    }

    /// Waits until something has come that is not read yet.
    pub async fn has_come(&self) -> Result<(), String> {
        let come = tokio::time::timeout(PATIENCE, self.reads.readable()).await;
        come.map_err(|_| "nothing came".to_owned())?.map_err(fault)
    }

    /// Ends the connection so that the gateway sees a reset.
    #[allow(deprecated)]
    pub fn reset(self) -> Result<(), String> {
        self.writes.as_ref().set_linger(Some(Duration::ZERO)).map_err(fault)?;
        // Dropped with the other, the half would say in order that nothing more comes.
        self.writes.forget();
        Ok(())
    }

    pub async fn release(&mut self, session: u64, cause: u8) -> Result<(), String> {
        let mut bytes = Vec::new();
        viewer::release(&mut bytes, session, cause, None);
        self.write(&bytes).await
    }

    /// The next message; `None` when the gateway has closed.
    pub async fn next(&mut self) -> Result<Option<Message>, String> {
        loop {
            if let Some(message) = self.decoder.message().map_err(fault)? {
                return Ok(Some(message));
            }
            let mut chunk = [0; 4096];
            let read = tokio::time::timeout(PATIENCE, self.reads.read(&mut chunk)).await;
            match read.map_err(|_| "nothing came".to_owned())? {
                Ok(0) | Err(_) => return Ok(None),
                Ok(read) => self.decoder.push(&chunk[..read]),
            }
        }
    }
}

/// A set-up as viewers send it.
pub fn set_up(session: u64, class: &str, at: Option<&str>) -> Vec<u8> {
    set_up_of(session, class, at, "8000", "7f3a9c21e0b4d655")
}

/// A set-up with a patience of its own and a description of so many bytes.
pub fn set_up_with(session: u64, class: &str, patience: &str, description: usize) -> Vec<u8> {
    set_up_offering(session, class, patience, &vec![b'x'; description])
}

/// A set-up with a patience and a description of its own.
pub fn set_up_offering(session: u64, class: &str, patience: &str, description: &[u8]) -> Vec<u8> {
    let figures = "home:0;copies:1;top:1;viewer:0000000000000001";
    let mut bytes = Vec::new();
    let parameters: [(u8, &[u8]); 5] = [
        (viewer::code::CLASS, class.as_bytes()),
        (viewer::code::PATIENCE, patience.as_bytes()),
        (viewer::code::TITLE, b"7f3a9c21e0b4d655"),
        (viewer::code::FIGURES, figures.as_bytes()),
        (viewer::code::DESCRIPTION, description),
    ];
    let _ = viewer::encode(&mut bytes, viewer::kind::SET_UP, session, &parameters);
    bytes
}

/// A set-up with a patience and a title of its own.
pub fn set_up_of(session: u64, class: &str, at: Option<&str>, patience: &str, title: &str) -> Vec<u8> {
    let at = at.map(|at| format!(";at:{at}")).unwrap_or_default();
    let figures = format!("home:0;copies:1;top:1;viewer:0000000000000001{at}");
    let mut bytes = Vec::new();
    let parameters: [(u8, &[u8]); 5] = [
        (viewer::code::CLASS, class.as_bytes()),
        (viewer::code::PATIENCE, patience.as_bytes()),
        (viewer::code::TITLE, title.as_bytes()),
        (viewer::code::FIGURES, figures.as_bytes()),
        (viewer::code::DESCRIPTION, b"offer"),
    ];
    // It always fits.
    let _ = viewer::encode(&mut bytes, viewer::kind::SET_UP, session, &parameters);
    bytes
}
