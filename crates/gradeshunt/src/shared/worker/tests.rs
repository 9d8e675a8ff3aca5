//! Tests of the part named by the folder.

use std::sync::mpsc::Receiver;

use super::super::{Duty, View};
use super::*;
use crate::ids::CallerId;

/// A disk that stands until it is let go on, task by task.
struct Standing(Receiver<()>);

impl Files for Standing {
    fn tell(&mut self, _: Duty) -> io::Result<()> {
        self.0.recv().map_err(io::Error::other)
    }

    fn hold_out(&mut self, _: &str, _: bool) -> io::Result<()> {
        self.0.recv().map_err(io::Error::other)
    }

    fn look(&mut self) -> io::Result<View> {
        self.0.recv().map_err(io::Error::other).map(|()| View::default())
    }
}

/// Guards the loop: while the disk stands it can go on asking, and is told of nothing that has not been done; what
/// is done is done in the order in which it was asked for.
#[test]
fn a_disk_that_stands_keeps_nobody_waiting() {
    let (go_on, standing) = sync_channel(TASKS);
    let (ping, _source) = calloop::ping::make_ping().expect("a ping");
    let mut standing = Some(standing);
    let open = move || {
        let standing = standing.take().ok_or(io::ErrorKind::NotFound)?;
        Ok(Box::new(Standing(standing)) as Box<dyn Files>)
    };
    let worker = Worker::start(open, None, ping).expect("a thread");
    let ban = |n| Task::HoldOut { caller: CallerId(n), id: format!("s-{n}"), out: true };
    assert!(worker.ask(Task::Look) && (0..16).all(|n| worker.ask(ban(n))));
    assert!((0..TASKS).any(|_| !worker.ask(Task::Look)), "the queue is bounded, and full it does not wait");
    assert!(matches!(worker.done.recv(), Ok(Done::Opened(Ok(())))));
    assert!(worker.done().is_none(), "nothing is done while it stands");
    (0..3).for_each(|_| go_on.send(()).expect("the worker takes it"));
    assert!(matches!(worker.done.recv(), Ok(Done::Looked(Ok(_)))));
    assert!(matches!(worker.done.recv(), Ok(Done::HeldOut { caller: CallerId(0), kept: Ok(()), .. })));
    assert!(matches!(worker.done.recv(), Ok(Done::HeldOut { caller: CallerId(1), kept: Ok(()), .. })));
    assert!(worker.done().is_none());
}
