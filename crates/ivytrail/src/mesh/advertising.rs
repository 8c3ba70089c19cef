//! Advertisements: what this daemon tells the others of itself, and what it learns from theirs.

use bytes::Bytes;

use super::{
    MeshReducer, ReducerStep,
    evacuation::{EvacuationSource, EvacuationView},
    frame::{AdvertisementExtension, PROTOCOL_VERSION, PeerAdvertisement, PeerFrame, ServerPhase},
    leaving_servers::LeavingRun,
};

impl MeshReducer {
    /// Returns the advertisement with which this daemon introduces itself on a new link.
    pub fn advertisement(&self) -> PeerAdvertisement {
        self.advertisement_with(self.evacuations.view().cloned())
    }

    fn advertisement_with(&self, evacuations: Option<EvacuationView>) -> PeerAdvertisement {
        let cold_for = self.guard.warm_up.cold_for(self.applied_at);
        let mut server = self.guard.server().cloned();
        if let Some(server) = &mut server {
            server.warm_up = cold_for.unwrap_or_default();
        }
        PeerAdvertisement {
            member: self.options.member.clone(),
            domain: self.options.domain.clone(),
            address: self.options.address.clone(),
            server,
            settings_version: self.settings.as_ref().map_or(0, |it| it.version()),
            is_leaving: self.is_guard_closed || self.guard.is_evacuated,
            load: self.guard.load(),
            extension: Some(AdvertisementExtension {
                protocol_version: PROTOCOL_VERSION,
                evacuations,
                cold_for,
            }),
        }
    }

    /// Sends this daemon's current advertisement to all reachable peers and to the local picker.
    pub(super) fn publish_advertisement(&mut self, step: &mut ReducerStep<'_>) {
        let advertisement = self.current_advertisement();
        self.picker.apply_advertisement(step.now, &advertisement);
        self.broadcast(step, &PeerFrame::Advertisement(Box::new(advertisement)));
    }

    /// Returns the advertisement for connected peers.
    fn current_advertisement(&self) -> PeerAdvertisement {
        self.advertisement_with(self.evacuations.reportable_view(self.applied_at).cloned())
    }

    /// Sends the current advertisement on the links that peers dialed as well. It then precedes the replies that follow,
    /// so that a peer which passes on a response of the local backend server knows what the server reported in it.
    pub(super) fn publish_before_replies(&mut self, step: &mut ReducerStep<'_>) {
        self.publish_advertisement(step);
        let frame = PeerFrame::Advertisement(Box::new(self.current_advertisement()));
        for peer in self.links.peers() {
            step.send_on_inbound(peer, frame.clone(), Bytes::new());
        }
    }

    /// Broadcasts the daemon's load and the route costs that it has measured.
    pub(super) fn publish_state(&mut self, step: &mut ReducerStep<'_>) {
        self.state_published_at = step.now;
        self.publish_advertisement(step);
        let costs = self.guard.cost_estimator.report(step.now);
        self.costs.record_report(&self.options.member.instance, costs.clone());
        self.broadcast(step, &PeerFrame::Costs { costs });
    }

    /// Applies the advertisement of a peer.
    pub(super) fn record_advertisement(
        &mut self,
        step: &mut ReducerStep<'_>,
        advertisement: &PeerAdvertisement,
    ) {
        match advertisement
            .server
            .as_ref()
            .and_then(|it| self.leaving_servers.conflicting_shutdown(step.now, it))
        {
            Some(run) => self.correct_advertisement(step, advertisement, run),
            None => self.picker.apply_advertisement(step.now, advertisement),
        }
        if let Some(server) =
            advertisement.server.as_ref().filter(|it| it.phase == ServerPhase::Draining)
        {
            self.leaving_servers.record(step.now, &server.id, Some(server.started_at_ms));
        }
        self.record_request_limit(step, advertisement);
        let extension = advertisement.extension.as_ref();
        if let Some(view) = extension.and_then(|it| it.evacuations.clone()) {
            self.apply_evacuations(step, view, EvacuationSource::Peer);
        }
        let Some(link) = self.links.get_mut(&advertisement.member.instance) else { return };
        link.apply_advertisement(step.now, advertisement);
        if !link.is_open {
            self.picker.set_reachable(&advertisement.member.instance, false);
        }
    }

    /// Applies an advertisement that reports a leaving server as ready with the phase corrected to draining, and
    /// notifies its sender.
    fn correct_advertisement(
        &mut self,
        step: &mut ReducerStep<'_>,
        advertisement: &PeerAdvertisement,
        run: LeavingRun,
    ) {
        let mut corrected = advertisement.clone();
        let Some(server) = &mut corrected.server else { return };
        server.phase = ServerPhase::Draining;
        let peer = &advertisement.member.instance;
        step.log(format!("event=card_corrected peer={peer} server={} phase=Draining", server.id));
        if let LeavingRun::Started { started_at_ms } = run {
            let frame = PeerFrame::ServerLeft { id: server.id.clone(), started_at_ms };
            step.send(peer, frame.clone(), Bytes::new());
            step.send_on_inbound(peer, frame, Bytes::new());
        }
        self.picker.apply_advertisement(step.now, &corrected);
    }
}
