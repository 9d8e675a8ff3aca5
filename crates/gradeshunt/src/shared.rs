//! What the processes of one proxy share while one takes over from the other: a folder in `$TMPDIR` that tells which
//! db hosts are held out by hand, and what each process does.

use std::collections::BTreeSet;
use std::fs::{self, File, TryLockError};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Names longer than this make no file name.
const LONGEST: usize = 100;
/// Process files, and how many there may be.
const PROCESS: &str = "process-";
const MOST: usize = 64;

/// What a process does; it stands as one byte in a file that the process holds locked as long as it lives, so that
/// one that was killed leaves nothing behind that could pass for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Duty {
    Leaving,
    Starting,
    Serving,
}

impl Duty {
    pub fn name(self) -> &'static str {
        match self {
            Duty::Leaving => "leaving",
            Duty::Starting => "starting",
            Duty::Serving => "serving",
        }
    }

    fn byte(self) -> u8 {
        match self {
            Duty::Leaving => b'l',
            Duty::Starting => b's',
            Duty::Serving => b'r',
        }
    }

    /// One that has told nothing yet has only just begun.
    fn of(byte: u8) -> Self {
        [Duty::Leaving, Duty::Serving].into_iter().find(|d| d.byte() == byte).unwrap_or(Duty::Starting)
    }
}

/// What there is to see in the folder.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Db hosts held out (`true`) or readmitted since the last look.
    pub changed: Vec<(String, bool)>,
    /// What another process does, if one lives.
    pub other: Option<Duty>,
}

/// The folder, and what was last seen there. Without a folder all stays with this process.
pub struct Shared {
    folder: Option<PathBuf>,
    /// This process's file, locked, and its number.
    own: Option<(File, usize)>,
    held_out: BTreeSet<String>,
}

impl Shared {
    /// The folder of the proxy `name` in `$TMPDIR`.
    pub fn open(name: &str) -> io::Result<Self> {
        let folder = std::env::var_os("TMPDIR").filter(|d| !d.is_empty());
        let folder = folder.map(|d| PathBuf::from(d).join(format!("gradeshunt-{}", hex(name))));
        let own = folder.as_ref().map(|folder| {
            fs::create_dir_all(folder)?;
            claim(folder)
        });
        let shared = Shared { own: own.transpose()?, folder, held_out: BTreeSet::new() };
        shared.set_duty(Duty::Starting)?;
        Ok(shared)
    }

    pub fn set_duty(&self, duty: Duty) -> io::Result<()> {
        self.own.as_ref().map_or(Ok(()), |(file, _)| file.write_all_at(&[duty.byte()], 0))
    }

    pub fn is_held_out(&self, id: &str) -> bool {
        self.held_out.contains(id)
    }

    /// Holds a db host out, or readmits it. It stands in the folder before it is told to anyone.
    pub fn hold_out(&mut self, id: &str, out: bool) -> io::Result<()> {
        if let Some(folder) = &self.folder {
            let file = folder.join(format!("out-{}", hex(id)));
            match (out, id.len() <= LONGEST) {
                (true, false) => return Err(io::ErrorKind::InvalidFilename.into()),
                (true, true) => drop(File::create(file)?),
                (false, _) => match fs::remove_file(file) {
                    Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                    _ => {}
                },
            }
        }
        if out {
            self.held_out.insert(id.to_owned());
        } else {
            self.held_out.remove(id);
        }
        Ok(())
    }

    pub fn look(&mut self) -> io::Result<Seen> {
        let (Some(folder), Some((_, own))) = (&self.folder, &self.own) else { return Ok(Seen::default()) };
        let (mut seen, mut other) = (BTreeSet::new(), None);
        for file in fs::read_dir(folder)? {
            let name = file?.file_name();
            let name = name.to_str().unwrap_or_default();
            seen.extend(name.strip_prefix("out-").and_then(unhex));
            let process = name.strip_prefix(PROCESS).and_then(|n| n.parse::<usize>().ok());
            if process.is_some_and(|n| n != *own) {
                other = other.max(duty(&folder.join(name))?);
            }
        }
        let changed = seen.symmetric_difference(&self.held_out).map(|id| (id.clone(), seen.contains(id)));
        let changed = changed.collect();
        self.held_out = seen;
        Ok(Seen { changed, other })
    }
}

/// Locks the first process file that nobody holds. The files stay: to remove one could take it from under another.
fn claim(folder: &Path) -> io::Result<(File, usize)> {
    for n in 0..MOST {
        let path = folder.join(format!("{PROCESS}{n}"));
        let file = File::options().write(true).create(true).truncate(false).open(path)?;
        match file.try_lock() {
            Ok(()) => return Ok((file, n)),
            Err(TryLockError::WouldBlock) => {}
            Err(TryLockError::Error(e)) => return Err(e),
        }
    }
    Err(io::Error::other("too many processes of this proxy"))
}

/// What the process of this file does, if it lives.
fn duty(path: &Path) -> io::Result<Option<Duty>> {
    let file = File::open(path)?;
    match file.try_lock_shared() {
        Ok(()) => Ok(None),
        Err(TryLockError::Error(e)) => Err(e),
        Err(TryLockError::WouldBlock) => {
            let mut byte = [0];
            let told = file.read_at(&mut byte, 0)?;
            Ok(Some(if told == 1 { Duty::of(byte[0]) } else { Duty::Starting }))
        }
    }
}

/// Any name as part of a file name.
fn hex(name: &str) -> String {
    name.bytes().map(|b| format!("{b:02x}")).collect()
}

fn unhex(text: &str) -> Option<String> {
    let digits = text.as_bytes().chunks(2);
    let bytes = digits.map(|d| u8::from_str_radix(std::str::from_utf8(d).ok()?, 16).ok());
    String::from_utf8(bytes.collect::<Option<_>>()?).ok()
}
