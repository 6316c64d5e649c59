/// Defines an id that is a short text, checked when it is parsed or deserialized.
macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(std::sync::Arc<str>);

        impl $name {
            /// Returns the id as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::Error;

            fn from_str(text: &str) -> crate::Result<Self> {
                crate::ids::check_id_text(stringify!($name), text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = crate::Error;

            fn try_from(text: String) -> crate::Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.as_ref().to_owned()
            }
        }
    };
}

/// Defines an id that is a 64-bit number, written as 16 hexadecimal digits.
macro_rules! hex_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[carobwick_derive::key]
        #[derive(Copy, Default)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u64);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                write!(f, "{:016x}", self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::Error;

            fn from_str(text: &str) -> crate::Result<Self> {
                u64::from_str_radix(text, 16)
                    .map(Self)
                    .map_err(|err| crate::Error::data(format!("{}: `{text}`: {err}", stringify!($name))))
            }
        }

        impl TryFrom<String> for $name {
            type Error = crate::Error;

            fn try_from(text: String) -> crate::Result<Self> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}

/// Defines a newtype of a number, written in decimal; `$set` is the attribute macro that derives its traits.
macro_rules! number {
    ($set:ident, $(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[carobwick_derive::$set]
        #[derive(Copy, Default)]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl std::fmt::Display for $name {
            fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = crate::Error;

            fn from_str(text: &str) -> crate::Result<Self> {
                text.parse()
                    .map(Self)
                    .map_err(|err| crate::Error::data(format!("{}: `{text}`: {err}", stringify!($name))))
            }
        }
    };
}
