//! The thread that file work is done on, and the queues to and from it.

use std::io;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::thread;
use std::time::Duration;

use calloop::ping::Ping;

use super::files::Files;
use super::{CompletedTask, OpenFailure, Task};
use crate::config::Config;
use crate::transient::is_transient;

/// Capacity of the task queue: more than [`super::SharedState`] ever has under way at a time.
const QUEUE_LENGTH: usize = 32;
/// Pause between two attempts to open the files.
const OPEN_PAUSE: Duration = Duration::from_millis(100);

/// Wakes the event loop. This may fail silently, for instance when the write to the eventfd fails.
pub trait Wake: Send {
    /// Makes the loop run another turn soon.
    fn wake(&self);
}

impl Wake for Ping {
    fn wake(&self) {
        self.ping();
    }
}

/// The loop's end of the queues.
pub struct Worker {
    tasks: SyncSender<Task>,
    done: Receiver<CompletedTask>,
}

impl Worker {
    /// Starts the thread. It opens the files, trying again for as long as the error is transient; it rereads
    /// the configuration from `config`, and wakes the loop after each completed task.
    pub fn start(
        mut open: impl FnMut() -> io::Result<Box<dyn Files>> + Send + 'static,
        config: Option<PathBuf>,
        waker: impl Wake + 'static,
    ) -> std::io::Result<Worker> {
        let (tasks, queue) = sync_channel::<Task>(QUEUE_LENGTH);
        let (results, done) = sync_channel(QUEUE_LENGTH + 1);
        let work = move || {
            let send = |done| {
                let sent = results.send(done).is_ok();
                waker.wake();
                sent
            };
            let mut files = loop {
                match open() {
                    Ok(files) => break files,
                    Err(e) => {
                        let failure = OpenFailure { is_transient: is_transient(&e), why: e.to_string() };
                        let retries = failure.is_transient;
                        if !send(CompletedTask::Opened(Err(failure))) || !retries {
                            return;
                        }
                        thread::sleep(OPEN_PAUSE);
                    }
                }
            };
            let mut sent = send(CompletedTask::Opened(Ok(())));
            while let (true, Ok(task)) = (sent, queue.recv()) {
                sent = send(carry_out(&mut *files, config.as_deref(), task));
            }
        };
        thread::Builder::new().name("files".to_owned()).spawn(work)?;
        Ok(Worker { tasks, done })
    }

    /// Queues a task without blocking. Returns false, and drops the task, if the queue is full or the thread
    /// has ended.
    #[must_use]
    pub fn submit(&self, task: Task) -> bool {
        self.tasks.try_send(task).is_ok()
    }

    /// Returns the next completed task, if there is one.
    pub fn done(&self) -> Option<CompletedTask> {
        self.done.try_recv().ok()
    }
}

fn carry_out(files: &mut dyn Files, config: Option<&Path>, task: Task) -> CompletedTask {
    match task {
        Task::Scan => CompletedTask::Scanned(files.scan().map_err(|e| e.to_string())),
        Task::Publish(duty) => CompletedTask::Published(files.publish(duty).map_err(|e| e.to_string())),
        Task::HoldOut { caller, id, out } => {
            let stored = files.hold_out(&id, out).map_err(|e| e.to_string());
            CompletedTask::HeldOut { caller, id, out, stored }
        }
        Task::Reread => CompletedTask::Reread(Config::load(config).map(Box::new)),
    }
}

#[cfg(test)]
mod tests;
