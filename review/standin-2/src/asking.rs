//! Bad clients that ask for what does not exist, and for the same again as soon as they are turned away.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::world::set_up;

/// How many there are.
pub const ASKING: usize = 150;

/// Clients that ask at full speed and read whatever they are sent, on a thread of their own.
pub struct Asking {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Asking {
    pub fn start(to: SocketAddr) -> Asking {
        let stop = Arc::new(AtomicBool::new(false));
        let seen = stop.clone();
        let thread = thread::spawn(move || ask(to, &seen));
        Asking { stop, thread: Some(thread) }
    }

    pub fn end(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn ask(to: SocketAddr, stop: &AtomicBool) {
    let block = |client: usize| -> Vec<u8> {
        let ids = (0..50).map(|k| 0xbad0_0000_0000_0000 + client as u64 * 0x1_0000 + k);
        ids.flat_map(|id| set_up(id, "no-such-class", 3_000, "7f3a9c21e0b4d655", "home:0;copies:4;top:3"))
            .collect()
    };
    let mut clients: Vec<(Option<TcpStream>, Vec<u8>, usize)> =
        (0..ASKING).map(|client| (None, block(client), 0)).collect();
    let mut scrap = vec![0; 65536];
    while !stop.load(Ordering::Relaxed) {
        let mut moved = false;
        for (stream, block, sent) in &mut clients {
            let Some(open) = stream else {
                if let Ok(new) = TcpStream::connect_timeout(&to, Duration::from_millis(50)) {
                    let _ = new.set_nonblocking(true);
                    (*stream, *sent) = (Some(new), 0);
                }
                continue;
            };
            let mut over = false;
            for _ in 0..2 {
                match open.read(&mut scrap) {
                    Ok(0) => over = true,
                    Ok(_) => moved = true,
                    Err(why) => over |= why.kind() != io::ErrorKind::WouldBlock,
                }
                match open.write(&block[*sent..]) {
                    Ok(n) => (*sent, moved) = ((*sent + n) % block.len(), true),
                    Err(why) => over |= why.kind() != io::ErrorKind::WouldBlock,
                }
            }
            if over {
                *stream = None;
            }
        }
        if !moved {
            thread::sleep(Duration::from_millis(1));
        }
    }
}
