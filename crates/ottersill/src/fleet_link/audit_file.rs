//! Appends lines to the fleet's audit file, one for each grant and for each unit acquired or released. A write that fails, for
//! instance on a full disk, loses audit lines but does not affect any quota decision.

use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};

/// The audit file, open for appending.
pub struct AuditFile {
    file: File,
    /// Whether the file ends in an incomplete line, because a write failed or the process that wrote it was killed. The next
    /// write ends that line first.
    ends_within_line: bool,
}

impl AuditFile {
    /// Opens the file for appending, and creates it if it does not exist.
    ///
    /// # Errors
    /// If the file can't be opened or created.
    pub fn open(path: &str) -> io::Result<AuditFile> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        // If the file can't be read, an empty line is written first, which readers treat as an incomplete line.
        let ends_within_line = last_byte(path).map_or(true, |last| last.is_some_and(|last| last != b'\n'));
        Ok(AuditFile { file, ends_within_line })
    }

    /// Appends a line, which is passed without its line feed. On an error, part of the line may have been written.
    pub fn write_line(&mut self, line: &str) -> io::Result<()> {
        let before = if self.ends_within_line { "\n" } else { "" };
        let text = format!("{before}{line}\n");
        let mut remaining = text.as_bytes();
        while !remaining.is_empty() {
            match self.file.write(remaining) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.ends_within_line = remaining[count - 1] != b'\n';
                    remaining = &remaining[count..];
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// Returns the last byte of a regular file; none if the file is empty or not a regular file (such as a pipe).
fn last_byte(path: &str) -> io::Result<Option<u8>> {
    if !std::fs::metadata(path)?.is_file() {
        return Ok(None);
    }
    let mut file = File::open(path)?;
    if file.seek(SeekFrom::End(0))? == 0 {
        return Ok(None);
    }
    file.seek(SeekFrom::End(-1))?;
    let mut last = [0];
    file.read_exact(&mut last)?;
    Ok(Some(last[0]))
}
