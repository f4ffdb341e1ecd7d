//! Growth of buffers whose memory is reserved.

use bytes::BytesMut;

/// Appends to a buffer. If its space does not suffice it grows to `needed` bytes, or to what it holds then if that is
/// more, and not to a multiple of its size.
pub fn append_exact(buffer: &mut BytesMut, bytes: &[u8], needed: usize) {
    let length = buffer.len() + bytes.len();
    if buffer.capacity() < length {
        let mut grown = BytesMut::with_capacity(length.max(needed));
        grown.extend_from_slice(buffer);
        *buffer = grown;
    }
    buffer.extend_from_slice(bytes);
}
