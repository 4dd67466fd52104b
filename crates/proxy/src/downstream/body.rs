//! Request bodies: read completely before admission, within the memory for bodies.

use super::connection::ClientConnection;
use super::request::RequestError;
use super::DownstreamServer;
use hyper::body::Incoming;
use maplefall_downstream::{read_request_body, BodyDeadlines, BodyError, BodyPolicy};
use maplefall_upstream::BlockBody;
use std::any::Any;
use std::rc::Rc;

impl From<BodyError> for RequestError {
    fn from(error: BodyError) -> RequestError {
        match error {
            BodyError::Invalid => RequestError::Invalid("body"),
            BodyError::TooLong => RequestError::BodyTooLong,
            BodyError::Timeout => RequestError::BodyTimeout,
            BodyError::OutOfMemory => RequestError::OutOfMemory,
        }
    }
}

impl DownstreamServer {
    /// Reads a body completely. Its memory stays reserved until the last clone of it is dropped.
    pub(super) async fn read_body(
        &self,
        body: Incoming,
        api_key: Option<&str>,
        deadlines: BodyDeadlines,
        connection: &ClientConnection,
    ) -> Result<BlockBody, RequestError> {
        let (max_bytes, tenant) = self
            .proxy
            .with_core(|core| (core.limits().body_bytes, core.tenant_name(api_key)));
        let body = read_request_body(
            body,
            BodyPolicy {
                memory: &self.proxy.body_memory,
                tenant,
                max_bytes,
                deadlines,
                is_contiguous: false,
            },
            &connection.transfer,
            || self.proxy.clock.now(),
        )
        .await?;
        let reservation = body.reservation.map(|owner| Rc::new(owner) as Rc<dyn Any>);
        Ok(BlockBody::new(body.blocks, reservation))
    }
}
