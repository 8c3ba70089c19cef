//! HTTP handler for requests of other daemons: attempts, inquiries, cancellations and control messages.

use bytes::Bytes;
use ivytrail::{
    id::{AttemptId, MemberId},
    message::{
        AttemptHeader, ControlMessage,
        frame::{MAX_FRAME_OVERHEAD_BYTES, decode_frame, encode_frame},
    },
    reducer::DaemonEvent,
};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait, http::StatusCode};
use subtle::ConstantTimeEq;

use crate::executor::EffectExecutor;

/// Handles the requests of other daemons.
#[derive(Clone, Debug)]
pub struct PeerHandler {
    executor: EffectExecutor,
    local_member: MemberId,
    authorization: String,
    max_frame_bytes: usize,
}

impl PeerHandler {
    /// Creates a handler that accepts requests with `secret` as their bearer token.
    pub fn new(
        executor: EffectExecutor,
        local_member: MemberId,
        secret: &str,
        max_body_bytes: usize,
    ) -> PeerHandler {
        let authorization = format!("Bearer {secret}");
        let max_frame_bytes = max_body_bytes + MAX_FRAME_OVERHEAD_BYTES;
        PeerHandler { executor, local_member, authorization, max_frame_bytes }
    }

    async fn handle_request(&self, req: &mut Request) -> Result<Bytes, StatusCode> {
        if !self.is_authorized(req) {
            return Err(StatusCode::UNAUTHORIZED);
        }
        let path = req.uri().path().to_string();
        let frame = req
            .payload_with_max_size(self.max_frame_bytes)
            .await
            .cloned()
            .map_err(|_| StatusCode::PAYLOAD_TOO_LARGE)?;
        match path.as_str() {
            "/attempt" => self.handle_attempt(frame).await,
            "/inquiry" => self.handle_inquiry(frame).await,
            "/cancel" => {
                let (attempt, _) = decode_frame(frame).map_err(|_| StatusCode::BAD_REQUEST)?;
                self.executor.apply(DaemonEvent::CancelReceived { attempt });
                Ok(Bytes::new())
            }
            "/control" => self.handle_control(frame),
            _ => Err(StatusCode::NOT_FOUND),
        }
    }

    fn is_authorized(&self, req: &Request) -> bool {
        let provided = req.headers().get("authorization").map_or(&[][..], |it| it.as_bytes());
        provided.ct_eq(self.authorization.as_bytes()).into()
    }

    async fn handle_attempt(&self, frame: Bytes) -> Result<Bytes, StatusCode> {
        let (header, body): (AttemptHeader, Bytes) =
            decode_frame(frame).map_err(|_| StatusCode::BAD_REQUEST)?;
        let receiver = self.executor.driver().add_attempt(header.attempt.clone(), Some(body));
        self.executor.apply(DaemonEvent::AttemptReceived(Box::new(header)));
        let (reply, body) = receiver.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
        Ok(encode_frame(&reply, &body))
    }

    async fn handle_inquiry(&self, frame: Bytes) -> Result<Bytes, StatusCode> {
        let (attempt, _): (AttemptId, Bytes) =
            decode_frame(frame).map_err(|_| StatusCode::BAD_REQUEST)?;
        let receiver = self.executor.driver().add_attempt(attempt.clone(), None);
        self.executor.apply(DaemonEvent::InquiryReceived { attempt });
        let (reply, body) = receiver.await.map_err(|_| StatusCode::SERVICE_UNAVAILABLE)?;
        Ok(encode_frame(&reply, &body))
    }

    fn handle_control(&self, frame: Bytes) -> Result<Bytes, StatusCode> {
        let ((from, messages), _): ((MemberId, Vec<ControlMessage>), Bytes) =
            decode_frame(frame).map_err(|_| StatusCode::BAD_REQUEST)?;
        let replies = self.executor.handle_control(&from, messages);
        Ok(encode_frame(&(&self.local_member, replies), &[]))
    }
}

#[async_trait]
impl Handler for PeerHandler {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        ctrl: &mut FlowCtrl,
    ) {
        match self.handle_request(req).await {
            Ok(frame) => {
                res.status_code(StatusCode::OK);
                res.body(frame);
            }
            Err(status) => {
                res.status_code(status);
                res.body(Bytes::from(status.canonical_reason().unwrap_or("refused")));
            }
        }
        ctrl.skip_rest();
    }
}
