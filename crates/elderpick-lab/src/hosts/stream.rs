//! A response body that goes on.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

/// A body that comes at once, at a pace, or as events.
pub enum Stream {
    Whole(Option<Bytes>),
    Paced {
        sent: Rc<Cell<u64>>,
        left: usize,
        chunk: usize,
        pause: Duration,
        sleep: Pin<Box<tokio::time::Sleep>>,
    },
    Events(mpsc::Receiver<Bytes>),
    /// Never ends and never says a thing.
    Stuck,
}

impl Body for Stream {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match &mut *self {
            Stream::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Stream::Events(events) => events.poll_recv(context).map(|e| e.map(|b| Ok(Frame::data(b)))),
            Stream::Stuck => Poll::Pending,
            Stream::Paced { sent, left, chunk, pause, sleep } => {
                if *left == 0 {
                    return Poll::Ready(None);
                }
                if sleep.as_mut().poll(context).is_pending() {
                    return Poll::Pending;
                }
                let next = tokio::time::Instant::now() + *pause;
                sleep.as_mut().reset(next);
                let size = (*left).min(*chunk);
                *left -= size;
                sent.set(sent.get() + size as u64);
                Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![0x47; size])))))
            }
        }
    }
}
