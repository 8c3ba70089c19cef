//! Frames between daemons: a length prefix, a header in MessagePack and an opaque body.

use bytes::{BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::Error;

const LENGTH_PREFIX_BYTES: usize = 4;
/// Maximum size of a frame's header, in bytes: the headers of a request at the largest limit that operators may set,
/// with room for the frame's other fields.
const MAX_HEADER_BYTES: usize = 2 << 20;
/// Maximum size of a frame without its body, in bytes.
pub const MAX_FRAME_OVERHEAD_BYTES: usize = LENGTH_PREFIX_BYTES + MAX_HEADER_BYTES;

/// Returns a frame with `header` and `body`.
///
/// # Panics
///
/// Panics if `header` cannot be encoded as MessagePack or exceeds 4 GiB. No message type of this crate does.
pub fn encode_frame<H>(header: &H, body: &[u8]) -> Bytes
where
    H: Serialize,
{
    let header = rmp_serde::to_vec(header).expect("message types encode as MessagePack");
    let mut frame = BytesMut::with_capacity(LENGTH_PREFIX_BYTES + header.len() + body.len());
    frame.put_u32(u32::try_from(header.len()).expect("frame header is below 4 GiB"));
    frame.put_slice(&header);
    frame.put_slice(body);
    frame.freeze()
}

/// Returns the header and the body of a frame. The body shares the memory of `frame`.
///
/// # Errors
///
/// Returns an error if the frame is truncated, or if its header is too long or does not decode as an `H`.
pub fn decode_frame<H>(frame: Bytes) -> Result<(H, Bytes), Error>
where
    H: DeserializeOwned,
{
    let (header, body) = split_frame(frame)?;
    Ok((rmp_serde::from_slice(&header)?, body))
}

/// Returns the encoded header and the body of a frame, which share the memory of `frame`.
///
/// # Errors
///
/// Returns an error if the frame is truncated, or if its header is too long.
pub fn split_frame(mut frame: Bytes) -> Result<(Bytes, Bytes), Error> {
    if frame.len() < LENGTH_PREFIX_BYTES {
        return Err(Error::new(format!(
            "frame of {} bytes is too short for its length prefix",
            frame.len()
        )));
    }
    let prefix = frame.split_to(LENGTH_PREFIX_BYTES);
    let length = prefix.iter().fold(0_usize, |acc, byte| (acc << 8) | usize::from(*byte));
    if MAX_HEADER_BYTES < length {
        return Err(Error::new(format!(
            "frame header of {length} bytes is over the limit of {MAX_HEADER_BYTES}"
        )));
    }
    if frame.len() < length {
        return Err(Error::new(format!(
            "frame is truncated: received {} of {length} header bytes",
            frame.len()
        )));
    }
    let header = frame.split_to(length);
    Ok((header, frame))
}
