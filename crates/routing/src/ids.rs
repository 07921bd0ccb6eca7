//! Typed indices, and tables that are indexed by them.
//!
//! The public interface identifies endpoints, groups, workloads and requests by plain `usize`; inside the crate each
//! kind has its own type, so that one can't be used in place of another.

use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// An index into a [`Table`].
pub(crate) trait Id: Copy {
    /// Returns the identifier with that index.
    fn new(index: usize) -> Self;
    /// Returns the identifier's index.
    fn index(self) -> usize;
}

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub(crate) struct $name(usize);

        impl Id for $name {
            fn new(index: usize) -> Self {
                $name(index)
            }

            fn index(self) -> usize {
                self.0
            }
        }
    )*};
}

ids! {
    /// A database server.
    EndpointId;
    /// A request that the router holds; free again once the request has its final answer and no attempt of it is in
    /// flight.
    RequestId;
    /// A workload of the settings, or its stricter counterpart for texts that may write.
    ClassId;
    /// A replicated group of endpoints.
    GroupId;
}

/// A list that is indexed by one kind of identifier.
#[derive(Clone, Debug)]
pub(crate) struct Table<I, T> {
    entries: Vec<T>,
    kind: PhantomData<I>,
}

impl<I, T> Default for Table<I, T> {
    fn default() -> Self {
        Table { entries: Vec::new(), kind: PhantomData }
    }
}

impl<I: Id, T> Table<I, T> {
    /// Returns a table of these entries, in their order.
    pub(crate) fn from_entries(entries: Vec<T>) -> Self {
        Table { entries, kind: PhantomData }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the entry, if it exists.
    pub(crate) fn get(&self, id: I) -> Option<&T> {
        self.entries.get(id.index())
    }

    /// Replaces an entry, or appends one under the next identifier.
    pub(crate) fn set(&mut self, id: I, entry: T) {
        if id.index() == self.entries.len() {
            self.entries.push(entry);
        } else {
            self.entries[id.index()] = entry;
        }
    }

    /// Grows the table so that it has an entry with that identifier; `fill` creates each missing entry.
    pub(crate) fn grow_to(&mut self, id: I, fill: impl FnMut() -> T) {
        if id.index() >= self.entries.len() {
            self.entries.resize_with(id.index() + 1, fill);
        }
    }

    /// Returns all entries, in the order of their identifiers.
    pub(crate) fn iter(&self) -> std::slice::Iter<'_, T> {
        self.entries.iter()
    }

    /// Returns all entries for modification, in the order of their identifiers.
    pub(crate) fn iter_mut(&mut self) -> std::slice::IterMut<'_, T> {
        self.entries.iter_mut()
    }
}

impl<I: Id, T> Index<I> for Table<I, T> {
    type Output = T;

    fn index(&self, id: I) -> &T {
        &self.entries[id.index()]
    }
}

impl<I: Id, T> IndexMut<I> for Table<I, T> {
    fn index_mut(&mut self, id: I) -> &mut T {
        &mut self.entries[id.index()]
    }
}
