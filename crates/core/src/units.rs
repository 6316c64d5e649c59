use std::time::Duration;

number! {
    key,
    /// Size in bytes.
    Bytes(u64)
}
number! {
    key,
    /// Number of tokens.
    Tokens(u64)
}
number! {
    key,
    /// Duration in milliseconds.
    Millis(u64)
}
number! {
    key,
    /// Priority of a request; a higher number is served first.
    Priority(u8)
}
number! {
    data,
    /// Events per second.
    Rate(f64)
}

impl Millis {
    /// Returns the number of milliseconds as a [`Duration`].
    pub fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl std::iter::Sum for Bytes {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        Self(iter.map(|bytes| bytes.0).sum())
    }
}

impl std::ops::Add for Bytes {
    type Output = Self;

    fn add(self, rhs: Self) -> Self {
        Self(self.0 + rhs.0)
    }
}
