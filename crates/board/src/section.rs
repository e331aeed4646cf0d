use std::{marker::PhantomData, ops::Deref};

/// A part of the board. It is read through `Deref` and written with its [`Pen`].
#[derive(Clone, Debug)]
pub struct Section<T> {
    value: T,
}

/// The right to write the section that holds a `T`.
#[derive(Debug)]
pub struct Pen<T>(PhantomData<fn() -> T>);

/// Makes a section and the only pen for it.
///
/// ```
/// let (mut section, pen) = tsw_board::section(1);
/// *section.write(&pen) += 1;
/// assert_eq!(*section, 2);
/// ```
#[must_use]
pub const fn section<T>(value: T) -> (Section<T>, Pen<T>) {
    (Section { value }, Pen(PhantomData))
}

impl<T> Section<T> {
    /// Returns the value for writing.
    pub fn write(&mut self, _: &Pen<T>) -> &mut T {
        &mut self.value
    }
}

impl<T> Deref for Section<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}
