//! Conversion of the router's decisions to actions of the wire.

use ottersill_routing::interface::Transport;

use super::Names;
use crate::wire::reply::Reply;

/// Writes the router's decisions during one call into the reply.
pub(super) struct ReplyTransport<'a> {
    pub(super) names: &'a mut Names,
    pub(super) reply: &'a mut Reply,
}

impl ReplyTransport<'_> {
    fn finish(&mut self, request: usize) {
        self.names.requests.finish(request);
        self.names.requests.release_if_finished(request);
    }
}

impl Transport for ReplyTransport<'_> {
    fn start_attempt(&mut self, request: usize, endpoint: usize, timeout: f64) {
        let Names { requests, endpoints, .. } = self.names;
        requests.attempt_started(request);
        self.reply.start_attempt(requests.id(request), endpoints.name(endpoint), timeout);
    }

    fn reject(&mut self, request: usize, retry_after: f64) {
        self.reply.reject(self.names.requests.id(request), retry_after);
        self.finish(request);
    }

    fn abort(&mut self, request: usize) {
        self.reply.abort(self.names.requests.id(request));
        self.finish(request);
    }

    fn cancel_attempt(&mut self, request: usize, attempt: u32) {
        self.reply.cancel_attempt(self.names.requests.id(request), attempt);
    }

    fn start_health_check(&mut self, endpoint: usize) {
        self.reply.start_health_check(self.names.endpoints.name(endpoint));
    }

    fn schedule_tick(&mut self, after: f64) {
        self.reply.schedule_tick(after);
    }

    fn request_endpoint_list(&mut self) {
        self.reply.request_endpoint_list();
    }

    fn log(&mut self, text: &str) {
        self.reply.log(text);
    }
}
