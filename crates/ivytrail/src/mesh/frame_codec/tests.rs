use super::*;
use crate::{
    id::MemberId,
    mesh::frame::{PROTOCOL_VERSION, ServerLoad},
};

fn advertisement(extension: Option<AdvertisementExtension>) -> PeerFrame {
    PeerFrame::Advertisement(Box::new(PeerAdvertisement {
        member: MemberId { instance: "i-1".into(), incarnation: 1 },
        domain: "kolkata".into(),
        address: "10.0.0.1:7000".to_string(),
        server: None,
        settings_version: 4,
        is_leaving: false,
        load: ServerLoad::default(),
        extension,
    }))
}

fn decoded(bytes: Bytes) -> ReceivedFrame {
    decode_peer_frame(bytes).expect("the frame is valid")
}

#[test]
fn an_advertisement_carries_its_extension_as_the_body() {
    let extension =
        AdvertisementExtension { protocol_version: PROTOCOL_VERSION, ..Default::default() };
    let frame = advertisement(Some(extension));

    let received = decoded(encode_peer_frame(&frame, b""));

    assert_eq!(received, ReceivedFrame::Known { frame: Box::new(frame), body: Bytes::new() });
}

#[test]
fn an_advertisement_without_a_body_has_no_extension() {
    let frame = advertisement(None);

    let received = decoded(encode_frame(&frame, b""));

    assert_eq!(received, ReceivedFrame::Known { frame: Box::new(frame), body: Bytes::new() });
}

/// A later build may add fields, and may drop those that this build knows.
#[test]
fn unknown_fields_of_an_extension_are_ignored_and_missing_ones_have_defaults() {
    #[derive(serde::Serialize)]
    struct LaterExtension {
        added: [u8; 3],
        protocol: u32,
    }
    let later = LaterExtension { added: [1, 2, 3], protocol: 9 };
    let body = rmp_serde::to_vec_named(&later).expect("it encodes");

    let received = decoded(encode_frame(&advertisement(None), &body));

    let ReceivedFrame::Known { frame, .. } = received else { panic!("{received:?}") };
    let extension = advertisement_of(&frame).and_then(|it| it.extension.clone());
    let expected = AdvertisementExtension { protocol_version: 9, ..Default::default() };
    assert_eq!(extension, Some(expected));
}

/// A link must not end because a later build sends a frame that this build doesn't know.
#[test]
fn a_frame_of_a_later_build_is_reported_as_unknown() {
    #[derive(serde::Serialize)]
    enum LaterFrame {
        Plain,
        WithFields { number: u32 },
        AFrameWhoseNameIsLongerThanThirtyTwoBytes(u8),
    }
    let frames = [
        (LaterFrame::Plain, "Plain"),
        (LaterFrame::WithFields { number: 7 }, "WithFields"),
        (
            LaterFrame::AFrameWhoseNameIsLongerThanThirtyTwoBytes(1),
            "AFrameWhoseNameIsLongerThanThirtyTwoBytes",
        ),
    ];

    for (frame, name) in frames {
        let received = decoded(encode_frame(&frame, b"body"));

        assert_eq!(received, ReceivedFrame::Unknown { name: name.to_string() });
    }
}

#[test]
fn a_known_frame_that_is_damaged_is_an_error() {
    let frame = encode_frame(&("Cancel", 1), b"");

    assert!(decode_peer_frame(frame).is_err());
}

/// A frame that is missing among the known ones is ignored without an error.
#[test]
fn a_report_of_spent_tokens_is_known() {
    let frame = PeerFrame::QuotaSpent { account: "meteo".into(), n_tokens: 3 };

    let received = decoded(encode_peer_frame(&frame, b""));

    assert_eq!(received, ReceivedFrame::Known { frame: Box::new(frame), body: Bytes::new() });
}
