//! The fleet's audit file: a line for each right and each unit spent, appended as it happens. A disk that takes nothing for a
//! while costs lines, never a decision.

use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Read, Seek, SeekFrom, Write};

/// The audit file, open for appending.
pub struct AuditFile {
    file: File,
    /// The file ends within a line, as a write failed or the process that wrote it was killed. That line is ended before the
    /// next one begins.
    ends_within_line: bool,
}

impl AuditFile {
    /// Opens the file, and creates it if it is not there.
    ///
    /// # Errors
    /// If the system refuses.
    pub fn open(path: &str) -> io::Result<AuditFile> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        // Where it can't be read an empty line comes first, which counts as a torn one.
        let ends_within_line = last_byte(path).map_or(true, |last| last.is_some_and(|last| last != b'\n'));
        Ok(AuditFile { file, ends_within_line })
    }

    /// Appends a line, given without its end. On an error a part of it may have been written.
    pub fn write_line(&mut self, line: &str) -> io::Result<()> {
        let before = if self.ends_within_line { "\n" } else { "" };
        let text = format!("{before}{line}\n");
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            match self.file.write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.ends_within_line = rest[count - 1] != b'\n';
                    rest = &rest[count..];
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}

/// None for an empty file, and for what is no regular file, as a pipe.
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
