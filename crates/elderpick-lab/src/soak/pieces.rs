//! Messages that are written in pieces, with pauses between them.

use std::cell::RefCell;
use std::io;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;

/// Longest pause between two pieces.
const LONGEST_PAUSE: Duration = Duration::from_millis(2);

/// Writes a message in pieces of one byte up.
async fn write_in_pieces(
    writes: &mut OwnedWriteHalf,
    random: &RefCell<ChaCha8Rng>,
    bytes: &[u8],
) -> io::Result<()> {
    let mut rest = bytes;
    while !rest.is_empty() {
        let (length, pause) = {
            let mut random = random.borrow_mut();
            (random.random_range(1..=rest.len()), random.random_range(Duration::ZERO..LONGEST_PAUSE))
        };
        writes.write_all(&rest[..length]).await?;
        rest = &rest[length..];
        if !rest.is_empty() {
            tokio::time::sleep(pause).await;
        }
    }
    Ok(())
}

/// Writes a message whole, or in pieces where the trial says so.
pub async fn write(
    writes: &mut OwnedWriteHalf,
    random: &RefCell<ChaCha8Rng>,
    in_pieces: bool,
    bytes: &[u8],
) -> io::Result<()> {
    if in_pieces { write_in_pieces(writes, random, bytes).await } else { writes.write_all(bytes).await }
}
