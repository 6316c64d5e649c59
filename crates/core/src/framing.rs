/// Returns the length of the first block of lines with the empty line that ends it, or none if it is not there yet.
///
/// Events of a stream and heads of HTTP messages are such blocks; a line ends in `\n`, with or without `\r` before it.
///
/// # Examples
///
/// ```
/// use carobwick_core::block_length;
///
/// assert_eq!(block_length(b"id: 1\r\n\r\nid: 2"), Some(9));
/// assert_eq!(block_length(b"id: 1\n"), None);
/// ```
pub fn block_length(bytes: &[u8]) -> Option<usize> {
    let mut from = 0;
    while let Some(line) = bytes[from..].iter().position(|byte| *byte == b'\n') {
        let next = from + line + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => from = next,
        }
    }
    None
}
