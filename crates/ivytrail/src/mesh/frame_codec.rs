//! Encoding of the frames between daemons.
//!
//! A frame with an advertisement carries the advertisement's extension as its body. Builds without extensions ignore that
//! body, and send none.

use bytes::Bytes;

use super::frame::{AdvertisementExtension, PeerAdvertisement, PeerFrame};
use crate::{
    error::Error,
    message::frame::{encode_frame, split_frame},
};

/// Names of the frames that this build knows, as they are encoded. A frame that is missing here is ignored.
const KNOWN_FRAMES: [&str; 21] = [
    "Hello",
    "Card",
    "Attempt",
    "Cancel",
    "Resume",
    "Reply",
    "Ping",
    "Pong",
    "QuotaAsk",
    "QuotaAnswer",
    "QuotaReturn",
    "QuotaSpent",
    "SettingsAsk",
    "Settings",
    "Demand",
    "DomainDemands",
    "Costs",
    "Suspicion",
    "ServerLeft",
    "ServerLimited",
    "Silent",
];
/// First byte of a MessagePack map with one entry.
const MAP_OF_ONE: u8 = 0x81;
/// First byte of a MessagePack string with a length of one byte.
const STR_8: u8 = 0xd9;
/// Bits of the first byte that mark a short MessagePack string; the others are its length.
const SHORT_STR: u8 = 0xa0;
const SHORT_STR_MASK: u8 = 0xe0;

/// A frame that was received.
#[derive(Clone, Debug, PartialEq)]
pub enum ReceivedFrame {
    /// A frame that this build understands.
    Known {
        /// Header of the frame.
        frame: Box<PeerFrame>,
        /// Body of the frame; empty where it held the extension of an advertisement.
        body: Bytes,
    },
    /// A frame of a later build.
    Unknown {
        /// Name of the frame.
        name: String,
    },
}

/// Returns the encoded frame. The extension of an advertisement takes the place of `body`.
///
/// # Panics
///
/// Panics if the header exceeds 4 GiB, which no frame does.
pub fn encode_peer_frame(frame: &PeerFrame, body: &[u8]) -> Bytes {
    let extension = advertisement_of(frame).and_then(|it| it.extension.as_ref());
    match extension {
        Some(extension) => {
            let body =
                rmp_serde::to_vec_named(extension).expect("extensions encode as MessagePack");
            encode_frame(frame, &body)
        }
        None => encode_frame(frame, body),
    }
}

/// Decodes a frame.
///
/// # Errors
///
/// Returns an error if the frame is truncated, or if a frame that this build knows can't be decoded.
pub fn decode_peer_frame(bytes: Bytes) -> Result<ReceivedFrame, Error> {
    let (header, mut body) = split_frame(bytes)?;
    if let Some(name) = frame_name(&header).filter(|it| !KNOWN_FRAMES.contains(it)) {
        return Ok(ReceivedFrame::Unknown { name: name.to_string() });
    }
    let mut frame: PeerFrame = rmp_serde::from_slice(&header)?;
    if let Some(advertisement) = advertisement_of_mut(&mut frame)
        && !body.is_empty()
    {
        let extension: AdvertisementExtension = rmp_serde::from_slice(&body)?;
        advertisement.extension = Some(extension);
        body = Bytes::new();
    }
    Ok(ReceivedFrame::Known { frame: Box::new(frame), body })
}

fn advertisement_of(frame: &PeerFrame) -> Option<&PeerAdvertisement> {
    match frame {
        PeerFrame::Hello { advertisement, .. } | PeerFrame::Advertisement(advertisement) => {
            Some(advertisement)
        }
        _ => None,
    }
}

fn advertisement_of_mut(frame: &mut PeerFrame) -> Option<&mut PeerAdvertisement> {
    match frame {
        PeerFrame::Hello { advertisement, .. } | PeerFrame::Advertisement(advertisement) => {
            Some(advertisement)
        }
        _ => None,
    }
}

/// Returns the name of an encoded frame: that of a variant with fields is the only key of a map, that of one without fields
/// stands alone. Returns `None` if the header has neither form.
fn frame_name(header: &[u8]) -> Option<&str> {
    let header = match header {
        [MAP_OF_ONE, rest @ ..] => rest,
        header => header,
    };
    let (n_bytes, name) = match header {
        [first, rest @ ..] if first & SHORT_STR_MASK == SHORT_STR => {
            (first & !SHORT_STR_MASK, rest)
        }
        [STR_8, n_bytes, rest @ ..] => (*n_bytes, rest),
        _ => return None,
    };
    std::str::from_utf8(name.get(..usize::from(n_bytes))?).ok()
}

#[cfg(test)]
mod tests;
