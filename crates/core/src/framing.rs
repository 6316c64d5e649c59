/// Returns the length of the first block of lines, including the empty line that ends it, or `None` if that
/// line is missing.
///
/// Server-sent events and heads of HTTP messages are such blocks. A line ends with `\n` or `\r\n`.
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
    let mut line_start = 0;
    while let Some(line_length) = bytes[line_start..].iter().position(|byte| *byte == b'\n') {
        let next = line_start + line_length + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => line_start = next,
        }
    }
    None
}
