//! Tests of the worker's thread and queues.

use std::sync::mpsc::Receiver;

use super::super::{ProcessState, View};
use super::*;
use crate::ids::CallerId;

/// A disk that blocks until it is released, task by task.
struct BlockedDisk(Receiver<()>);

impl Files for BlockedDisk {
    fn publish(&mut self, _: ProcessState) -> io::Result<()> {
        self.0.recv().map_err(io::Error::other)
    }

    fn hold_out(&mut self, _: &str, _: bool) -> io::Result<()> {
        self.0.recv().map_err(io::Error::other)
    }

    fn scan(&mut self) -> io::Result<View> {
        self.0.recv().map_err(io::Error::other).map(|()| View::default())
    }
}

/// Guards the event loop: while the disk blocks, the loop can go on submitting tasks, and nothing is reported
/// as done that is not; tasks complete in the order in which they were submitted.
#[test]
fn blocked_disk_does_not_block_the_loop() {
    let (releaser, release) = sync_channel(QUEUE_LENGTH);
    let (ping, _source) = calloop::ping::make_ping().expect("a ping");
    let mut release = Some(release);
    let open = move || {
        let release = release.take().ok_or(io::ErrorKind::NotFound)?;
        Ok(Box::new(BlockedDisk(release)) as Box<dyn Files>)
    };
    let worker = Worker::start(open, None, ping).expect("a thread");
    let hold_out = |n| Task::HoldOut { caller: CallerId(n), id: format!("s-{n}"), out: true };
    assert!(worker.submit(Task::Scan) && (0..16).all(|n| worker.submit(hold_out(n))));
    assert!(
        (0..QUEUE_LENGTH).any(|_| !worker.submit(Task::Scan)),
        "the queue is bounded, and a full one does not block"
    );
    assert!(matches!(worker.done.recv(), Ok(CompletedTask::Opened(Ok(())))));
    assert!(worker.done().is_none(), "nothing is done while the disk blocks");
    (0..3).for_each(|_| releaser.send(()).expect("the worker is waiting"));
    assert!(matches!(worker.done.recv(), Ok(CompletedTask::Scanned(Ok(_)))));
    assert!(matches!(
        worker.done.recv(),
        Ok(CompletedTask::HeldOut { caller: CallerId(0), stored: Ok(()), .. })
    ));
    assert!(matches!(
        worker.done.recv(),
        Ok(CompletedTask::HeldOut { caller: CallerId(1), stored: Ok(()), .. })
    ));
    assert!(worker.done().is_none());
}
