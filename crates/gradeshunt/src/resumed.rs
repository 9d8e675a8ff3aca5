//! Event sources whose reads may be interrupted by a signal.
//!
//! calloop's sources for signals and pings report an interrupted read as an error of the loop, which would
//! end the process and drop the events after it. Both are polled level-triggered, so the next poll reports
//! again whatever was not read.

use std::error::Error;
use std::io;

use calloop::{EventSource, Poll, PostAction, Readiness, Token, TokenFactory};

/// A level-triggered source that, if a signal interrupts its read, is read again after the next poll.
pub struct RetryInterrupted<S>(pub S);

impl<S> EventSource for RetryInterrupted<S>
where
    S: EventSource,
    S::Error: Error + 'static,
{
    type Event = S::Event;
    type Metadata = S::Metadata;
    type Ret = S::Ret;
    type Error = S::Error;

    fn process_events<F>(
        &mut self,
        readiness: Readiness,
        token: Token,
        callback: F,
    ) -> Result<PostAction, S::Error>
    where
        F: FnMut(S::Event, &mut S::Metadata) -> S::Ret,
    {
        match self.0.process_events(readiness, token, callback) {
            Err(e) if is_interrupted(&e) => Ok(PostAction::Continue),
            processed => processed,
        }
    }

    fn register(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.0.register(poll, tokens)
    }

    fn reregister(&mut self, poll: &mut Poll, tokens: &mut TokenFactory) -> calloop::Result<()> {
        self.0.reregister(poll, tokens)
    }

    fn unregister(&mut self, poll: &mut Poll) -> calloop::Result<()> {
        self.0.unregister(poll)
    }
}

/// Whether an error or one of its causes is that of an interrupted call or of one that would block.
fn is_interrupted(e: &(dyn Error + 'static)) -> bool {
    let mut cause = Some(e);
    while let Some(e) = cause {
        let kind = e.downcast_ref::<io::Error>().map(io::Error::kind);
        if matches!(kind, Some(io::ErrorKind::Interrupted | io::ErrorKind::WouldBlock)) {
            return true;
        }
        cause = e.source();
    }
    false
}
