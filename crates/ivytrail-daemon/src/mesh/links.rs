//! Links between daemons: one TCP connection per direction, each of which multiplexes attempts.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use ivytrail::{
    id::{InstanceName, MemberId},
    mesh::{
        MeshReducer,
        event::{MeshEvent, PeerAddress},
        frame::{PeerAdvertisement, PeerFrame},
        frame_codec::{ReceivedFrame, decode_peer_frame, encode_peer_frame},
    },
};
use tokio::{
    io::AsyncWriteExt,
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::mpsc,
    time::timeout,
};
use tokio_util::codec::{Encoder, FramedRead, LengthDelimitedCodec};

use super::{
    acceptor::accept_next,
    driver::{LinkHandle, MeshDriver},
};

/// Timeout for connecting to another daemon, including the handshake.
const DIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// Initial backoff after a failed dial or a closed link.
const MIN_REDIAL_BACKOFF: Duration = Duration::from_millis(50);
/// Maximum backoff between dials.
const MAX_REDIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Maximum frame size, in bytes: a body at the largest limit that operators may set, plus the frame's header.
const MAX_FRAME_BYTES: usize = 72 << 20;
/// Maximum number of frames combined into one write.
const FRAMES_PER_WRITE: usize = 64;
/// `TCP_USER_TIMEOUT`: time for which sent data may remain unacknowledged before the connection is closed.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Maintains a link to another daemon, dialing again whenever it closes, until the task is aborted.
pub async fn maintain_link(driver: Rc<MeshDriver>, address: PeerAddress) {
    let mut backoff = MIN_REDIAL_BACKOFF;
    loop {
        match timeout(DIAL_TIMEOUT, dial(&driver, &address)).await {
            Ok(Ok((reader, writer, advertisement))) => {
                backoff = MIN_REDIAL_BACKOFF;
                run_outbound_link(&driver, &address, reader, writer, advertisement).await;
            }
            Ok(Err(cause)) => {
                log::debug!("event=dial_failed peer={} cause={cause:?}", address.instance);
            }
            Err(_) => log::debug!("event=dial_timed_out peer={}", address.instance),
        }
        tokio::time::sleep(backoff).await;
        backoff = (backoff * 2).min(MAX_REDIAL_BACKOFF);
    }
}

async fn dial(
    driver: &Rc<MeshDriver>,
    address: &PeerAddress,
) -> io::Result<(FrameReader, OwnedWriteHalf, Box<PeerAdvertisement>)> {
    let stream = TcpStream::connect(&address.address).await?;
    configure_socket(&stream)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = FramedRead::new(reader, frame_codec());
    let advertisement = Box::new(driver.inspect(MeshReducer::advertisement));
    let hello = PeerFrame::Hello { to: address.instance.clone(), advertisement };
    write_frame(&mut writer, &hello).await?;
    let advertisement = read_advertisement(&mut reader).await?;
    if advertisement.member.instance != address.instance {
        return Err(io::Error::other(format!(
            "{} answered at the dialed address",
            advertisement.member
        )));
    }
    Ok((reader, writer, advertisement))
}

async fn run_outbound_link(
    driver: &Rc<MeshDriver>,
    address: &PeerAddress,
    reader: FrameReader,
    writer: OwnedWriteHalf,
    advertisement: Box<PeerAdvertisement>,
) {
    let peer = address.instance.clone();
    let member = advertisement.member.clone();
    run_link(
        driver,
        &driver.outbound_links,
        member,
        reader,
        writer,
        MeshEvent::OutboundLinkOpened(advertisement),
    )
    .await;
    driver.apply(MeshEvent::OutboundLinkClosed { peer });
}

/// Reads and writes frames until the connection ends. Returns `false` if a newer link in the same direction has
/// replaced this one.
async fn run_link(
    driver: &Rc<MeshDriver>,
    links: &RefCell<HashMap<InstanceName, LinkHandle>>,
    member: MemberId,
    reader: FrameReader,
    writer: OwnedWriteHalf,
    opened: MeshEvent,
) -> bool {
    let peer = member.instance.clone();
    let serial = driver.next_link_serial();
    let (frames, receiver) = mpsc::unbounded_channel();
    // Replacing the handle of an earlier link ends that link's writer.
    links.borrow_mut().insert(peer.clone(), LinkHandle { serial, frames });
    driver.apply(opened);
    tokio::select! {
        () = read_frames(driver, member, reader) => {}
        () = write_frames(receiver, writer) => {}
    }
    let is_current = links.borrow().get(&peer).is_some_and(|it| it.serial == serial);
    if is_current {
        links.borrow_mut().remove(&peer);
    }
    is_current
}

/// Accepts links of other daemons at `address`.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen(driver: &Rc<MeshDriver>, address: SocketAddr) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let driver = Rc::clone(driver);
    tokio::task::spawn_local(async move {
        loop {
            let (stream, _) = accept_next(|| listener.accept()).await;
            tokio::task::spawn_local(accept(Rc::clone(&driver), stream));
        }
    });
    Ok(())
}

async fn accept(driver: Rc<MeshDriver>, stream: TcpStream) {
    if let Err(cause) = configure_socket(&stream) {
        return log::debug!("event=link_not_prepared cause={:?}", cause.to_string());
    }
    let (reader, mut writer) = stream.into_split();
    let mut reader = FramedRead::new(reader, frame_codec());
    let advertisement = match timeout(DIAL_TIMEOUT, read_hello(&driver, &mut reader)).await {
        Ok(Ok(advertisement)) => advertisement,
        Ok(Err(cause)) => return log::debug!("event=link_handshake_failed cause={cause:?}"),
        Err(_) => return log::debug!("event=link_handshake_failed cause=timeout"),
    };
    let local_advertisement =
        PeerFrame::Advertisement(Box::new(driver.inspect(MeshReducer::advertisement)));
    if let Err(cause) = write_frame(&mut writer, &local_advertisement).await {
        return log::debug!("event=link_broke_early cause={:?}", cause.to_string());
    }
    let peer = advertisement.member.instance.clone();
    let member = advertisement.member.clone();
    let opened = MeshEvent::InboundLinkOpened(advertisement);
    if run_link(&driver, &driver.inbound_links, member, reader, writer, opened).await {
        driver.apply(MeshEvent::InboundLinkClosed { peer });
    }
}

fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Reads the hello frame of a link that another daemon has dialed and returns that daemon's advertisement.
async fn read_hello(
    driver: &Rc<MeshDriver>,
    reader: &mut FrameReader,
) -> io::Result<Box<PeerAdvertisement>> {
    let local_instance = driver.inspect(|it| it.member().instance.clone());
    match read_first_frame(reader).await? {
        PeerFrame::Hello { to, advertisement } if to == local_instance => Ok(advertisement),
        PeerFrame::Hello { to, .. } => {
            Err(io::Error::other(format!("hello frame is addressed to {to}")))
        }
        _ => Err(io::Error::other("first frame is not a hello frame")),
    }
}

async fn read_advertisement(reader: &mut FrameReader) -> io::Result<Box<PeerAdvertisement>> {
    match read_first_frame(reader).await? {
        PeerFrame::Advertisement(advertisement) => Ok(advertisement),
        _ => Err(io::Error::other("first frame is not an advertisement")),
    }
}

async fn read_first_frame(reader: &mut FrameReader) -> io::Result<PeerFrame> {
    let frame = reader.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    match decode_peer_frame(frame.freeze()).map_err(io::Error::other)? {
        ReceivedFrame::Known { frame, .. } => Ok(*frame),
        ReceivedFrame::Unknown { name } => {
            Err(io::Error::other(format!("first frame is a {name} frame")))
        }
    }
}

/// Passes the received frames of a link to the reducer until the link ends.
async fn read_frames(driver: &Rc<MeshDriver>, peer: MemberId, mut reader: FrameReader) {
    while let Some(frame) = reader.next().await {
        let frame = match frame {
            Ok(frame) => frame.freeze(),
            Err(cause) => {
                return log::debug!("event=link_broke peer={peer} cause={:?}", cause.to_string());
            }
        };
        match decode_peer_frame(frame) {
            Ok(ReceivedFrame::Known { frame, body }) => {
                driver.apply(MeshEvent::FrameReceived { peer: peer.clone(), frame: *frame, body });
            }
            Ok(ReceivedFrame::Unknown { name }) => {
                log::debug!("event=frame_ignored peer={peer} name={name}");
            }
            Err(cause) => {
                return log::warn!(
                    "event=frame_unreadable peer={peer} cause={:?}",
                    cause.to_string()
                );
            }
        }
    }
}

/// Writes queued frames until the link fails or its handle is dropped.
async fn write_frames(mut receiver: mpsc::UnboundedReceiver<Bytes>, mut writer: OwnedWriteHalf) {
    let mut frames = Vec::with_capacity(FRAMES_PER_WRITE);
    let mut buffer = BytesMut::new();
    let mut codec = frame_codec();
    while 0 < receiver.recv_many(&mut frames, FRAMES_PER_WRITE).await {
        for frame in frames.drain(..) {
            if let Err(cause) = codec.encode(frame, &mut buffer) {
                log::error!("event=frame_dropped cause={:?}", cause.to_string());
            }
        }
        if let Err(cause) = writer.write_all(&buffer).await {
            return log::debug!("event=link_broke cause={:?}", cause.to_string());
        }
        buffer.clear();
    }
}

async fn write_frame(writer: &mut OwnedWriteHalf, frame: &PeerFrame) -> io::Result<()> {
    let mut buffer = BytesMut::new();
    frame_codec().encode(encode_peer_frame(frame, &[]), &mut buffer)?;
    writer.write_all(&buffer).await
}
