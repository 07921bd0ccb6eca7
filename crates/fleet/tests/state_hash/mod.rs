//! Hashes the states of a model by their `Debug` text: they are plain data throughout, so the text says all of them.

use std::fmt::{Debug, Result, Write};
use std::hash::Hasher;

struct Printed<'a, H>(&'a mut H);

impl<H: Hasher> Write for Printed<'_, H> {
    fn write_str(&mut self, text: &str) -> Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

pub fn hash(state: &impl Debug, hasher: &mut impl Hasher) {
    write!(Printed(hasher), "{state:?}").expect("a hasher takes everything");
}
