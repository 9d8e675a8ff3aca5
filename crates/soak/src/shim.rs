//! The fault shim: a C library that is loaded into a process under test, and the file that steers it.
//!
//! `shim/faults.c` tells what each knob does. The shim is built with the system's C compiler, `cc`.

use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The variable that names the control file to the shim.
const CONTROL_VARIABLE: &str = "FAULT_SHIM_CONTROL";
/// Bytes of one knob in the control file.
const SLOT: u64 = 8;

/// What can be set, in the order of the slots of `shim/faults.c`. Rates are calls in a thousand.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u64)]
pub enum Knob {
    /// Added to the wall clock, in nanoseconds.
    WallOffset,
    /// Calls on sockets that are interrupted.
    SocketInterrupted,
    /// Reads and writes of sockets that move a part only.
    ShortTransfers,
    AcceptRate,
    AcceptErrno,
    SocketRate,
    SocketErrno,
    ConnectRate,
    ConnectErrno,
    /// Reads of connections that the process opened itself.
    BrokenRate,
    BrokenErrno,
    DiskRate,
    DiskErrno,
    /// Writes to standard error.
    LogRate,
    LogErrno,
    /// Reads of descriptors of signals and events that are interrupted.
    OtherInterrupted,
    /// Reads and writes of sockets for which the system lacks memory.
    WantRate,
    WantErrno,
    /// How many faults the shim has injected.
    Injected,
}

/// How many knobs there are.
const KNOBS: u64 = Knob::Injected as u64 + 1;

/// Error numbers of Linux on x86-64 and AArch64, as errno(3) names them.
pub mod errno {
    pub const EIO: i64 = 5;
    pub const EAGAIN: i64 = 11;
    pub const ENOMEM: i64 = 12;
    pub const ENFILE: i64 = 23;
    pub const EMFILE: i64 = 24;
    pub const ENOSPC: i64 = 28;
    pub const EADDRNOTAVAIL: i64 = 99;
    pub const ENETUNREACH: i64 = 101;
    pub const ECONNABORTED: i64 = 103;
    pub const ENOBUFS: i64 = 105;
    pub const ETIMEDOUT: i64 = 110;
    pub const EHOSTUNREACH: i64 = 113;
}

/// The shim as a library file.
#[derive(Clone, Debug)]
pub struct Shim {
    library: PathBuf,
}

impl Shim {
    /// Builds the shim into a folder.
    ///
    /// # Errors
    /// Where there is no C compiler, or it refuses the source.
    pub fn build(folder: &Path) -> io::Result<Shim> {
        std::fs::create_dir_all(folder)?;
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("shim/faults.c");
        let library = folder.join("libfaults.so");
        let built = Command::new("cc")
            .args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"])
            .arg(&library)
            .arg(source)
            .arg("-ldl")
            .output()?;
        if built.status.success() {
            Ok(Shim { library })
        } else {
            Err(io::Error::other(String::from_utf8_lossy(&built.stderr).into_owned()))
        }
    }
}

/// The faults of one process: its control file.
#[derive(Debug)]
pub struct FaultControl {
    path: PathBuf,
    file: File,
    library: PathBuf,
}

impl FaultControl {
    /// A control file without any fault.
    ///
    /// # Errors
    /// Those of the file.
    pub fn create(shim: &Shim, path: &Path) -> io::Result<FaultControl> {
        let file = File::options().read(true).write(true).create(true).truncate(true).open(path)?;
        file.set_len(KNOBS * SLOT)?;
        Ok(FaultControl { path: path.to_owned(), file, library: shim.library.clone() })
    }

    /// What the process needs in its environment.
    pub fn environment(&self) -> Vec<(String, String)> {
        let text = |path: &Path| path.to_string_lossy().into_owned();
        vec![("LD_PRELOAD".to_owned(), text(&self.library)), (CONTROL_VARIABLE.to_owned(), text(&self.path))]
    }

    /// Sets a knob; it counts from the process's next call on.
    ///
    /// # Errors
    /// Those of the file.
    pub fn set(&self, knob: Knob, value: i64) -> io::Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), knob as u64 * SLOT)
    }

    /// What a knob is set to, or what the shim has counted.
    ///
    /// # Errors
    /// Those of the file.
    pub fn get(&self, knob: Knob) -> io::Result<i64> {
        let mut value = [0; SLOT as usize];
        self.file.read_exact_at(&mut value, knob as u64 * SLOT)?;
        Ok(i64::from_ne_bytes(value))
    }
}
