use std::{marker::PhantomData, ops::Deref};

/// A part of the board. Reads go through `Deref`; writes require its [`WriteToken`].
#[derive(Clone, Debug)]
pub struct Section<T> {
    value: T,
}

/// Capability to write the [`Section`] that holds a `T`.
#[derive(Debug)]
pub struct WriteToken<T>(PhantomData<fn() -> T>);

/// Creates a section and the only token for it.
///
/// ```
/// let (mut section, token) = tsw_board::section(1);
/// *section.write(&token) += 1;
/// assert_eq!(*section, 2);
/// ```
#[must_use]
pub const fn section<T>(value: T) -> (Section<T>, WriteToken<T>) {
    (Section { value }, WriteToken(PhantomData))
}

impl<T> Section<T> {
    /// Returns the value for writing, given the token of the section.
    pub fn write(&mut self, _: &WriteToken<T>) -> &mut T {
        &mut self.value
    }
}

impl<T> Deref for Section<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}
