//! The folder in `$TMPDIR` that records which db hosts an operator holds out and the state of each process of
//! this proxy. After start-up this is the only place where the program touches files. Any of these calls may
//! block on the disk, so only the worker's thread makes them.

use std::collections::BTreeSet;
use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use super::{ProcessState, View};

/// Longest id of a db host that can be part of a file name; hex encoding doubles it.
const LONGEST_ID: usize = 100;
/// Prefix of the processes' lock files.
const PROCESS_FILE_PREFIX: &str = "process-";
/// Most processes of a proxy that can share the folder.
const MAX_PROCESSES: usize = 64;

/// File operations shared by the processes of one proxy.
pub trait Files: Send {
    /// Publishes this process's state to the other processes.
    fn publish(&mut self, state: ProcessState) -> io::Result<()>;
    /// Holds a db host out (`out`) or readmits it.
    fn hold_out(&mut self, id: &str, out: bool) -> io::Result<()>;
    /// Reads the folder's current contents.
    fn scan(&mut self) -> io::Result<View>;
}

/// Used without a folder: the state stays within this process.
#[derive(Default)]
pub struct InMemory(View);

impl Files for InMemory {
    fn publish(&mut self, _: ProcessState) -> io::Result<()> {
        Ok(())
    }

    fn hold_out(&mut self, id: &str, out: bool) -> io::Result<()> {
        if out {
            self.0.held_out.insert(id.to_owned());
        } else {
            self.0.held_out.remove(id);
        }
        Ok(())
    }

    fn scan(&mut self) -> io::Result<View> {
        Ok(self.0.clone())
    }
}

/// Opens the state shared between the processes of the proxy `name`: a folder in `$TMPDIR`, or memory where
/// `$TMPDIR` is not set.
///
/// # Errors
/// Those of opening the folder, which may be transient.
pub fn open(name: &str) -> io::Result<Box<dyn Files>> {
    let tmp = std::env::var_os("TMPDIR").filter(|d| !d.is_empty());
    match tmp {
        None => Ok(Box::new(InMemory::default())),
        Some(tmp) => Ok(Box::new(Folder::open(Path::new(&tmp), name)?)),
    }
}

/// The shared folder on disk.
pub struct Folder {
    path: PathBuf,
    /// This process's locked file, and its number.
    own: File,
    number: usize,
}

impl Folder {
    /// Opens the folder of the proxy `name` below `tmp`, creating it if it is missing, and claims a process
    /// file in it.
    pub fn open(tmp: &Path, name: &str) -> io::Result<Self> {
        let path = tmp.join(format!("gradeshunt-{}", hex(name)));
        fs::create_dir_all(&path)?;
        let (own, number) = claim(&path)?;
        let mut folder = Folder { path, own, number };
        // The file may still hold the state of an earlier process.
        folder.publish(ProcessState::Starting)?;
        Ok(folder)
    }
}

impl Files for Folder {
    fn publish(&mut self, state: ProcessState) -> io::Result<()> {
        self.own.write_all_at(&[encode(state)], 0)
    }

    fn hold_out(&mut self, id: &str, out: bool) -> io::Result<()> {
        let file = self.path.join(format!("out-{}", hex(id)));
        match (out, id.len() <= LONGEST_ID) {
            (true, false) => Err(io::ErrorKind::InvalidFilename.into()),
            (true, true) => File::create(file).map(drop),
            (false, _) => match fs::remove_file(file) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
                _ => Ok(()),
            },
        }
    }

    fn scan(&mut self) -> io::Result<View> {
        let (mut held_out, mut other_process) = (BTreeSet::new(), None);
        for file in fs::read_dir(&self.path)? {
            let name = file?.file_name();
            let name = name.to_str().unwrap_or_default();
            held_out.extend(name.strip_prefix("out-").and_then(unhex));
            let process = name.strip_prefix(PROCESS_FILE_PREFIX).and_then(|n| n.parse::<usize>().ok());
            if process.is_some_and(|n| n != self.number) {
                other_process = other_process.max(read_state(&self.path.join(name))?);
            }
        }
        Ok(View { held_out, other_process })
    }
}

/// Locks the first process file that no process holds. The files are never removed: another process could be
/// about to lock the one that is removed.
fn claim(folder: &Path) -> io::Result<(File, usize)> {
    for n in 0..MAX_PROCESSES {
        let path = folder.join(format!("{PROCESS_FILE_PREFIX}{n}"));
        let file = File::options().write(true).create(true).truncate(false).open(path)?;
        match file.try_lock() {
            Ok(()) => return Ok((file, n)),
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(e)) => return Err(e),
        }
    }
    Err(io::Error::other("too many processes of this proxy"))
}

/// Returns the state of the process that holds this file, or `None` if no process does.
fn read_state(path: &Path) -> io::Result<Option<ProcessState>> {
    let file = File::open(path)?;
    match file.try_lock_shared() {
        Ok(()) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
        Err(TryLockError::WouldBlock) => {
            let mut byte = [0];
            // A process whose file is still empty has only just started.
            Ok(Some(if file.read_at(&mut byte, 0)? == 1 { decode(byte[0]) } else { ProcessState::Starting }))
        }
    }
}

/// The byte that stands for the state in a process file.
fn encode(state: ProcessState) -> u8 {
    match state {
        ProcessState::Leaving => b'l',
        ProcessState::Starting => b's',
        ProcessState::Serving => b'r',
    }
}

fn decode(byte: u8) -> ProcessState {
    [ProcessState::Leaving, ProcessState::Serving]
        .into_iter()
        .find(|d| encode(*d) == byte)
        .unwrap_or(ProcessState::Starting)
}

/// Encodes any name so that it can be part of a file name.
fn hex(name: &str) -> String {
    name.bytes().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<String> {
    let digits = text.as_bytes().chunks(2);
    let bytes = digits.map(|d| u8::from_str_radix(std::str::from_utf8(d).ok()?, 16).ok());
    String::from_utf8(bytes.collect::<Option<_>>()?).ok()
}

#[cfg(test)]
mod tests;
