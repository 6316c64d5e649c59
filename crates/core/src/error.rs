use std::fmt;

/// Alias for a `Result` with the error type of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of this crate: a category, a message and, for text input, a position.
///
/// # Examples
///
/// ```
/// use carobwick_core::Category;
/// use carobwick_core::Manifest;
///
/// let err = Manifest::from_json("{\n  broken").unwrap_err();
/// assert_eq!(err.category(), Category::Syntax);
/// assert_eq!(err.line(), 2);
/// ```
pub struct Error {
    inner: Box<Inner>,
}

/// Category of an [`Error`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Category {
    /// The input is not well-formed.
    Syntax,
    /// The input is well-formed, but a value in it is invalid.
    Data,
    /// A concurrent write took effect first.
    Conflict,
    /// The change exceeds a capacity, such as the memory of an engine.
    Capacity,
}

struct Inner {
    category: Category,
    message: String,
    line: usize,
    column: usize,
}

impl Error {
    /// Creates an error of [`Category::Data`].
    pub fn data(message: impl Into<String>) -> Self {
        Self::new(Category::Data, message)
    }

    /// Creates an error of [`Category::Conflict`].
    pub fn conflict(message: impl Into<String>) -> Self {
        Self::new(Category::Conflict, message)
    }

    /// Creates an error of [`Category::Capacity`].
    pub fn capacity(message: impl Into<String>) -> Self {
        Self::new(Category::Capacity, message)
    }

    /// Returns the category of the error.
    pub fn category(&self) -> Category {
        self.inner.category
    }

    /// Returns the line of the input at which the error was found, starting at 1, or 0 if the error has no
    /// position.
    pub fn line(&self) -> usize {
        self.inner.line
    }

    /// Returns the column of the input at which the error was found, starting at 1, or 0 if the error has no
    /// position.
    pub fn column(&self) -> usize {
        self.inner.column
    }

    fn new(category: Category, message: impl Into<String>) -> Self {
        Self { inner: Box::new(Inner { category, message: message.into(), line: 0, column: 0 }) }
    }
}

impl From<serde_json::Error> for Error {
    fn from(err: serde_json::Error) -> Self {
        let category = match err.classify() {
            serde_json::error::Category::Data => Category::Data,
            _ => Category::Syntax,
        };
        let (line, column) = (err.line(), err.column());
        Self { inner: Box::new(Inner { category, message: err.to_string(), line, column }) }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.inner.message)
    }
}

impl fmt::Debug for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Error({:?}, {:?})", self.inner.category, self.inner.message)
    }
}

impl std::error::Error for Error {}
