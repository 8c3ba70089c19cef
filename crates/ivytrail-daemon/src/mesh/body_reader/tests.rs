use super::*;

/// Size of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Returns chunks of one byte. Each refers to the same read buffer and keeps it in memory.
fn one_byte_chunks() -> Vec<Bytes> {
    let buffer = Bytes::from(vec![b'x'; READ_BUFFER_BYTES]);
    (0..READ_BUFFER_BYTES).map(|idx| buffer.slice(idx..=idx)).collect()
}

#[test]
fn chunks_are_joined_in_their_order() {
    for chunks in [&[][..], &["one"], &["one", "two"], &["", "one", "", "two", "three"]] {
        let mut buffer = BodyBuffer::default();

        chunks.iter().for_each(|it| buffer.push(Bytes::from_static(it.as_bytes())));

        assert_eq!(buffer.into_bytes(), chunks.concat(), "{chunks:?}");
    }
}

#[test]
fn a_single_chunk_is_not_copied() {
    let chunk = Bytes::from(vec![b'x'; 100]);
    let mut buffer = BodyBuffer::default();

    buffer.push(chunk.clone());

    assert_eq!(buffer.into_bytes().as_ptr(), chunk.as_ptr());
}

/// Regression test: a body in small chunks kept all of its read buffers in memory.
#[test]
fn small_chunks_keep_no_read_buffer_in_memory() {
    let chunks = one_byte_chunks();
    let last = chunks[READ_BUFFER_BYTES - 1].clone();
    let mut buffer = BodyBuffer::default();

    chunks.into_iter().for_each(|it| buffer.push(it));

    assert!(last.is_unique(), "the buffer holds slices of the read buffer");
    assert!(buffer.joined.capacity() <= 2 * READ_BUFFER_BYTES);
}
