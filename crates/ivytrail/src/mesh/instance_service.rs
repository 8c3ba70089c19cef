//! Services of the instance and of its backend server. They differ while a server of another service has taken the place of
//! the former one and the settings file has not been changed yet.

use super::{MeshReducer, ReducerStep, policy::ServicePolicy};
use crate::id::ServiceName;

impl MeshReducer {
    /// Returns the settings of the local backend server's service, or of the instance's service while no server is known.
    pub(super) fn server_policy(&self) -> Option<&ServicePolicy> {
        let server = self.guard.server();
        let service = server.map_or(&self.options.service, |it| &it.service);
        self.settings.as_ref()?.service(service)
    }

    /// Applies the warm-up policy of the local backend server's service.
    pub(super) fn update_warm_up_policy(&mut self) {
        let warm_up = self.server_policy().and_then(|it| it.warm_up);
        self.guard.warm_up.set_policy(warm_up);
    }

    /// Changes the service of the instance, which requests that begin here name as their caller's from now on.
    pub(super) fn assign_service(&mut self, step: &mut ReducerStep<'_>, service: ServiceName) {
        if service == self.options.service {
            return;
        }
        step.log(format!(
            "event=service_assigned service={service} before={}",
            self.options.service
        ));
        self.options.service = service;
        self.update_warm_up_policy();
        self.update_request_limit(step);
        self.publish_advertisement(step);
    }
}
