//! Hashes the states of a model by their `Debug` text. All states are plain data, so the text contains every field.

use std::fmt::{Debug, Result, Write};
use std::hash::Hasher;

struct HashWriter<'a, H>(&'a mut H);

impl<H: Hasher> Write for HashWriter<'_, H> {
    fn write_str(&mut self, text: &str) -> Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

pub fn hash(state: &impl Debug, hasher: &mut impl Hasher) {
    write!(HashWriter(hasher), "{state:?}").expect("writing to a hasher failed");
}
