//! Links between daemons: one connection in each direction, many attempts on each.

use std::{cell::RefCell, collections::HashMap, io, net::SocketAddr, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use ivytrail::{
    id::{InstanceName, MemberId},
    mesh::{
        MeshReducer,
        event::{MeshEvent, PeerAddress},
        frame::{PeerAdvertisement, PeerFrame},
    },
    message::frame::{decode_frame, encode_frame},
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

use super::shell::{LinkHandle, MeshShell};

/// Longest wait for a connection to another daemon and for its introduction.
const DIAL_TIMEOUT: Duration = Duration::from_millis(800);
/// First pause after a failed dial.
const MIN_REDIAL_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a failed dial.
const MAX_REDIAL_PAUSE: Duration = Duration::from_millis(500);
/// Longest frame, in bytes: a body at the largest limit that operators may set, and a head.
const MAX_FRAME_BYTES: usize = 72 << 20;
/// Frames that are gathered into one write.
const FRAMES_PER_WRITE: usize = 64;
/// Time for which sent bytes may stay unacknowledged before the connection counts as broken.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(2);

type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec()
}

/// Keeps a link to another daemon open for as long as the task runs.
pub async fn keep_dialed(shell: Rc<MeshShell>, address: PeerAddress) {
    let mut pause = MIN_REDIAL_PAUSE;
    loop {
        match timeout(DIAL_TIMEOUT, dial(&shell, &address)).await {
            Ok(Ok((reader, writer, card))) => {
                pause = MIN_REDIAL_PAUSE;
                carry_dialed(&shell, &address, reader, writer, card).await;
            }
            Ok(Err(cause)) => {
                log::debug!("event=dial_failed peer={} cause={cause:?}", address.instance);
            }
            Err(_) => log::debug!("event=dial_timed_out peer={}", address.instance),
        }
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_REDIAL_PAUSE);
    }
}

async fn dial(
    shell: &Rc<MeshShell>,
    address: &PeerAddress,
) -> io::Result<(FrameReader, OwnedWriteHalf, Box<PeerAdvertisement>)> {
    let stream = TcpStream::connect(&address.address).await?;
    prepare(&stream)?;
    let (reader, mut writer) = stream.into_split();
    let mut reader = FramedRead::new(reader, frame_codec());
    let card = Box::new(shell.inspect(MeshReducer::advertisement));
    let hello = PeerFrame::Hello { to: address.instance.clone(), advertisement: card };
    write_frame(&mut writer, &hello).await?;
    let card = read_card(&mut reader).await?;
    if card.member.instance != address.instance {
        return Err(io::Error::other(format!("{} has taken the address", card.member)));
    }
    Ok((reader, writer, card))
}

async fn carry_dialed(
    shell: &Rc<MeshShell>,
    address: &PeerAddress,
    reader: FrameReader,
    writer: OwnedWriteHalf,
    card: Box<PeerAdvertisement>,
) {
    let peer = address.instance.clone();
    let member = card.member.clone();
    carry(shell, &shell.dialed, member, reader, writer, MeshEvent::OutboundLinkOpened(card)).await;
    shell.apply(MeshEvent::OutboundLinkClosed { peer });
}

/// Carries frames both ways until the connection ends. Returns whether it still was the link of its direction.
async fn carry(
    shell: &Rc<MeshShell>,
    links: &RefCell<HashMap<InstanceName, LinkHandle>>,
    member: MemberId,
    reader: FrameReader,
    writer: OwnedWriteHalf,
    opened: MeshEvent,
) -> bool {
    let peer = member.instance.clone();
    let serial = shell.next_link();
    let (frames, receiver) = mpsc::unbounded_channel();
    // The writer of an earlier link ends with its handle.
    links.borrow_mut().insert(peer.clone(), LinkHandle { serial, frames });
    shell.apply(opened);
    tokio::select! {
        () = read_frames(shell, member, reader) => {}
        () = write_frames(receiver, writer) => {}
    }
    let is_current = links.borrow().get(&peer).is_some_and(|it| it.serial == serial);
    if is_current {
        links.borrow_mut().remove(&peer);
    }
    is_current
}

/// Binds the address for other daemons and takes their links.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub async fn listen(shell: &Rc<MeshShell>, address: SocketAddr) -> anyhow::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let shell = Rc::clone(shell);
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::task::spawn_local(accept(Rc::clone(&shell), stream));
                }
                Err(cause) => {
                    log::warn!("event=accept_failed cause={:?}", cause.to_string());
                    tokio::time::sleep(MIN_REDIAL_PAUSE).await;
                }
            }
        }
    });
    Ok(())
}

async fn accept(shell: Rc<MeshShell>, stream: TcpStream) {
    if let Err(cause) = prepare(&stream) {
        return log::debug!("event=link_not_prepared cause={:?}", cause.to_string());
    }
    let (reader, mut writer) = stream.into_split();
    let mut reader = FramedRead::new(reader, frame_codec());
    let card = match timeout(DIAL_TIMEOUT, read_hello(&shell, &mut reader)).await {
        Ok(Ok(card)) => card,
        Ok(Err(cause)) => return log::debug!("event=link_not_introduced cause={cause:?}"),
        Err(_) => return log::debug!("event=link_not_introduced cause=timeout"),
    };
    let own = PeerFrame::Advertisement(Box::new(shell.inspect(MeshReducer::advertisement)));
    if let Err(cause) = write_frame(&mut writer, &own).await {
        return log::debug!("event=link_broke_early cause={:?}", cause.to_string());
    }
    let peer = card.member.instance.clone();
    let member = card.member.clone();
    let opened = MeshEvent::InboundLinkOpened(card);
    if carry(&shell, &shell.accepted, member, reader, writer, opened).await {
        shell.apply(MeshEvent::InboundLinkClosed { peer });
    }
}

fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    socket2::SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))
}

/// Reads the first frame of a link that another daemon has dialed.
async fn read_hello(
    shell: &Rc<MeshShell>,
    reader: &mut FrameReader,
) -> io::Result<Box<PeerAdvertisement>> {
    let own = shell.inspect(|it| it.member().instance.clone());
    match read_first(reader).await? {
        PeerFrame::Hello { to, advertisement: card } if to == own => Ok(card),
        PeerFrame::Hello { to, .. } => Err(io::Error::other(format!("{to} was expected here"))),
        _ => Err(io::Error::other("the other end did not introduce itself")),
    }
}

async fn read_card(reader: &mut FrameReader) -> io::Result<Box<PeerAdvertisement>> {
    match read_first(reader).await? {
        PeerFrame::Advertisement(card) => Ok(card),
        _ => Err(io::Error::other("the other end did not introduce itself")),
    }
}

async fn read_first(reader: &mut FrameReader) -> io::Result<PeerFrame> {
    let frame = reader.next().await.ok_or(io::ErrorKind::UnexpectedEof)??;
    let (frame, _) = decode_frame::<PeerFrame>(frame.freeze()).map_err(io::Error::other)?;
    Ok(frame)
}

/// Hands the frames of a link to the reducer until the link ends.
async fn read_frames(shell: &Rc<MeshShell>, peer: MemberId, mut reader: FrameReader) {
    while let Some(frame) = reader.next().await {
        let frame = match frame {
            Ok(frame) => frame.freeze(),
            Err(cause) => {
                return log::debug!("event=link_broke peer={peer} cause={:?}", cause.to_string());
            }
        };
        match decode_frame::<PeerFrame>(frame) {
            Ok((frame, body)) => {
                shell.apply(MeshEvent::FrameReceived { peer: peer.clone(), frame, body });
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

/// Writes frames until the link or its handle ends.
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
    frame_codec().encode(encode_frame(frame, &[]), &mut buffer)?;
    writer.write_all(&buffer).await
}
