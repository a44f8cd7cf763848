//! Standard error as the log's end: what it does not take at once is dropped and counted, since no viewer waits for a
//! log.

use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};

/// A pipe that can be written to takes so many bytes without waiting (POSIX: `PIPE_BUF`).
const TAKEN_AT_ONCE: usize = 4_096;
const CUT_OFF: &[u8] = b"...\n";

/// Lines that were dropped since the last one that was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);

/// A writer of whole lines to standard error that neither waits nor fails.
#[derive(Clone, Copy, Default, Debug)]
pub(crate) struct LogWriter;

impl Write for LogWriter {
    /// Writes one line, or drops it.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Whoever else writes here waits: what the pipe takes is asked and used in one.
        let mut to = io::stderr().lock();
        if write_line(&mut to, line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes one line, behind a count of those that were dropped before it.
fn write_line(to: &mut (impl Write + AsFd), line: &[u8]) -> io::Result<()> {
    takes_now(to)?;
    let dropped = DROPPED.load(Ordering::Relaxed);
    if dropped > 0 {
        writeln!(to, "{dropped} lines of the log were dropped")?;
        DROPPED.fetch_sub(dropped, Ordering::Relaxed);
        takes_now(to)?;
    }
    if line.len() <= TAKEN_AT_ONCE {
        return to.write_all(line);
    }
    to.write_all(&[&line[..TAKEN_AT_ONCE - CUT_OFF.len()], CUT_OFF].concat())
}

/// Fails unless it takes a line now, and has a reader if it wants one.
fn takes_now(to: &impl AsFd) -> io::Result<()> {
    let mut polled = [PollFd::new(to.as_fd(), PollFlags::POLLOUT)];
    poll(&mut polled, PollTimeout::ZERO)?;
    match polled[0].revents() {
        Some(PollFlags::POLLOUT) => Ok(()),
        _ => Err(io::ErrorKind::WouldBlock.into()),
    }
}
