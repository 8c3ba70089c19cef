//! Tests of the decoding of frames between daemons from truncated, corrupted and random input.

use bytes::Bytes;
use ivytrail::{
    id::{AttemptId, MemberId},
    message::{
        AttemptHeader, AttemptReply, ControlMessage,
        frame::{MAX_FRAME_OVERHEAD_BYTES, decode_frame, encode_frame},
    },
};
use proptest::prelude::*;

fn attempt() -> AttemptId {
    let entry = MemberId { instance: "booking-1".into(), incarnation: 7 };
    AttemptId { entry, serial: 42 }
}

#[test]
fn frame_round_trips() {
    let frame = encode_frame(&attempt(), b"body");

    let (header, body) = decode_frame::<AttemptId>(frame).expect("a complete frame");

    assert_eq!((header, &body[..]), (attempt(), &b"body"[..]));
}

/// Operators may allow headers of up to 1 MiB.
#[test]
fn frame_with_the_largest_allowed_headers_round_trips() {
    let header = "x".repeat(1 << 20);

    let frame = encode_frame(&header, b"body");
    let (decoded, body) = decode_frame::<String>(frame.clone()).expect("the header is allowed");

    assert_eq!((decoded, &body[..]), (header, &b"body"[..]));
    assert!(frame.len() <= MAX_FRAME_OVERHEAD_BYTES + body.len());
}

#[test]
fn frame_truncated_in_its_header_is_rejected() {
    let frame = encode_frame(&attempt(), b"");

    let results = (0..frame.len()).map(|len| decode_frame::<AttemptId>(frame.slice(..len)));

    assert!(results.into_iter().all(|it| it.is_err()));
}

#[test]
fn header_length_over_the_limit_is_rejected() {
    let frame = Bytes::from_static(&[0xff; 64]);

    let message =
        decode_frame::<AttemptId>(frame).expect_err("the header length is invalid").to_string();

    assert!(message.contains("over the limit"), "{message}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn decoding_noise_never_panics(noise in prop::collection::vec(any::<u8>(), 0..400)) {
        let framed = encode_noise_frame(&noise);
        for bytes in [Bytes::from(noise), framed] {
            let _ = decode_frame::<AttemptHeader>(bytes.clone());
            let _ = decode_frame::<AttemptReply>(bytes.clone());
            let _ = decode_frame::<(MemberId, Vec<ControlMessage>)>(bytes);
        }
    }

    #[test]
    fn decoding_a_frame_with_a_changed_byte_never_panics(at in 0_usize..4_096, byte in any::<u8>()) {
        let mut frame = encode_frame(&(attempt().entry, vec![ControlMessage::Drain]), b"x").to_vec();
        let at = at % frame.len();
        frame[at] = byte;

        let _ = decode_frame::<(MemberId, Vec<ControlMessage>)>(Bytes::from(frame));
    }
}

/// Returns a frame with a correct header length whose header is noise.
fn encode_noise_frame(noise: &[u8]) -> Bytes {
    let length = u32::try_from(noise.len()).expect("noise is short");
    Bytes::from([&length.to_be_bytes()[..], noise].concat())
}
