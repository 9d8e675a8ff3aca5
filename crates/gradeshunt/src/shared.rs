//! What the processes of one proxy share while one takes over from the other: a folder in `$TMPDIR` that tells which
//! db hosts are held out by hand.

use std::collections::BTreeSet;
use std::fs::{self, File};
use std::io;
use std::path::PathBuf;

/// Names longer than this make no file name.
const LONGEST: usize = 100;

/// The folder, and what was last seen there. Without a folder all stays with this process.
pub struct Shared {
    folder: Option<PathBuf>,
    held_out: BTreeSet<String>,
}

impl Shared {
    /// The folder of the proxy `name` in `$TMPDIR`.
    pub fn open(name: &str) -> io::Result<Self> {
        let folder = std::env::var_os("TMPDIR").filter(|d| !d.is_empty());
        let folder = folder.map(|d| PathBuf::from(d).join(format!("gradeshunt-{}", hex(name))));
        if let Some(folder) = &folder {
            fs::create_dir_all(folder)?;
        }
        Ok(Shared { folder, held_out: BTreeSet::new() })
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

    /// Looks at the folder: which db hosts were held out (`true`) or readmitted since.
    pub fn look(&mut self) -> io::Result<Vec<(String, bool)>> {
        let Some(folder) = &self.folder else { return Ok(Vec::new()) };
        let mut seen = BTreeSet::new();
        for file in fs::read_dir(folder)? {
            let name = file?.file_name();
            let id = name.to_str().and_then(|n| n.strip_prefix("out-")).and_then(unhex);
            seen.extend(id);
        }
        let changed: Vec<_> =
            seen.symmetric_difference(&self.held_out).map(|id| (id.clone(), seen.contains(id))).collect();
        self.held_out = seen;
        Ok(changed)
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
