//! Attribute macros for the derive sets that carobwick's types share.
//!
//! `#[data]` marks a value that is logged, compared and serialised. `#[key]` marks a value that is also a map key.

use proc_macro::TokenStream;

/// Derives `Debug`, `Clone`, `PartialEq`, `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn data(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives("Debug, Clone, PartialEq, ::serde::Serialize, ::serde::Deserialize", item)
}

/// Derives what [`macro@data`] does, and `Eq`, `Hash`, `PartialOrd` and `Ord`.
#[proc_macro_attribute]
pub fn key(_args: TokenStream, item: TokenStream) -> TokenStream {
    with_derives(
        "Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, ::serde::Serialize, ::serde::Deserialize",
        item,
    )
}

fn with_derives(derives: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream =
        format!("#[derive({derives})]").parse().expect("the derive list is valid Rust");
    out.extend(item);
    out
}
