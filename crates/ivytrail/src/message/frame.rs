//! Frames between daemons: the length of a head, the head in MessagePack, then a body as it came.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::Error;

/// Bytes of the length that precedes a head.
const LENGTH_BYTES: usize = 4;
/// Longest head that is decoded, in bytes.
const MAX_HEAD_BYTES: usize = 256 * 1024;

/// Returns a frame of `head` and `body`.
///
/// # Panics
///
/// Panics when `head` can't be written as MessagePack, which no message of this crate brings about.
pub fn encode_frame<H>(head: &H, body: &[u8]) -> Bytes
where
    H: Serialize,
{
    let head = rmp_serde::to_vec(head).expect("messages are plain data");
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + head.len() + body.len());
    frame.put_u32(u32::try_from(head.len()).expect("a head is far below 4 GiB"));
    frame.put_slice(&head);
    frame.put_slice(body);
    frame.freeze()
}

/// Returns the head and the body of a frame; the body shares the frame's memory.
///
/// # Errors
///
/// Returns an error when the frame is cut, its head is too long, or the head is not an `H`.
pub fn decode_frame<H>(mut frame: Bytes) -> Result<(H, Bytes), Error>
where
    H: DeserializeOwned,
{
    if frame.len() < LENGTH_BYTES {
        return Err(Error::new(format!("a frame of {} bytes has no length", frame.len())));
    }
    let prefix = frame.split_to(LENGTH_BYTES);
    let length = prefix.iter().fold(0_usize, |acc, byte| (acc << 8) | usize::from(*byte));
    if MAX_HEAD_BYTES < length {
        return Err(Error::new(format!(
            "a head of {length} bytes is over the limit of {MAX_HEAD_BYTES}"
        )));
    }
    if frame.len() < length {
        return Err(Error::new(format!(
            "a frame was cut: {} of {length} bytes of its head came",
            frame.len()
        )));
    }
    let head = frame.split_to(length);
    Ok((rmp_serde::from_slice(&head)?, frame))
}
