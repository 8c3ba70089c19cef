//! Tests of the frames between daemons against input that is cut, padded or noise.

use bytes::Bytes;
use ivytrail::{
    id::{AttemptId, MemberId},
    message::{
        AttemptHeader, AttemptReply, ControlMessage,
        frame::{decode_frame, encode_frame},
    },
};
use proptest::prelude::*;

fn attempt() -> AttemptId {
    let entry = MemberId { instance: "booking-1".into(), incarnation: 7 };
    AttemptId { entry, serial: 42 }
}

#[test]
fn a_frame_comes_back_as_it_was_sent() {
    let frame = encode_frame(&attempt(), b"body");

    let (head, body) = decode_frame::<AttemptId>(frame).expect("a whole frame");

    assert_eq!((head, &body[..]), (attempt(), &b"body"[..]));
}

#[test]
fn a_frame_cut_in_its_head_is_refused() {
    let frame = encode_frame(&attempt(), b"");

    let cuts = (0..frame.len()).map(|len| decode_frame::<AttemptId>(frame.slice(..len)));

    assert!(cuts.into_iter().all(|it| it.is_err()));
}

#[test]
fn a_head_that_claims_to_be_endless_is_refused() {
    let frame = Bytes::from_static(&[0xff; 64]);

    let message = decode_frame::<AttemptId>(frame).expect_err("no such head").to_string();

    assert!(message.contains("over the limit"), "{message}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn noise_never_panics(noise in prop::collection::vec(any::<u8>(), 0..400)) {
        let framed = encode_noise(&noise);
        for bytes in [Bytes::from(noise), framed] {
            let _ = decode_frame::<AttemptHeader>(bytes.clone());
            let _ = decode_frame::<AttemptReply>(bytes.clone());
            let _ = decode_frame::<(MemberId, Vec<ControlMessage>)>(bytes);
        }
    }

    #[test]
    fn a_changed_byte_never_panics(at in 0_usize..4_096, byte in any::<u8>()) {
        let mut frame = encode_frame(&(attempt().entry, vec![ControlMessage::Drain]), b"x").to_vec();
        let at = at % frame.len();
        frame[at] = byte;

        let _ = decode_frame::<(MemberId, Vec<ControlMessage>)>(Bytes::from(frame));
    }
}

/// Returns a frame with a fitting length whose head is noise.
fn encode_noise(noise: &[u8]) -> Bytes {
    let length = u32::try_from(noise.len()).expect("noise is short");
    Bytes::from([&length.to_be_bytes()[..], noise].concat())
}
