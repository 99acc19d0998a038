//! HTTP handler of calls to plain services.

use hemlockhitch_endpoint::service::ServiceAnswer;
use hemlockhitch_router::{Backend, Refusal, Router, ServiceCallRequest};
use salvo::http::{HeaderValue, StatusCode, header};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};

use super::{CallersLimits, headers, response};

/// Handles requests below `/v1/services/`.
pub(super) struct ServiceHandler<B: Backend> {
    pub(super) router: Router<B>,
    pub(super) limits: CallersLimits,
}

#[async_trait]
impl<B: Backend> Handler for ServiceHandler<B> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        match self.serve(request).await {
            Ok(answer) => write(response, answer),
            Err(refusal) => response::write_refusal(response, &refusal),
        }
    }
}

impl<B: Backend> ServiceHandler<B> {
    async fn serve(&self, request: &mut Request) -> Result<ServiceAnswer, Refusal> {
        let limit_bytes = self.limits.body_bytes;
        let headers = headers::read(request);
        let service = request.param::<String>("service").unwrap_or_default();
        let path = path_below(request, &service);
        let method = request.method().as_str().to_owned();
        let content_type = request.header::<String>("content-type");
        let body = request
            .payload_with_max_size(limit_bytes)
            .await
            .map_err(|error| headers::body_refusal(&error, limit_bytes))?
            .clone();
        let call = ServiceCallRequest {
            headers,
            service,
            method,
            path,
            content_type,
            body,
        };
        self.router.call(call).await
    }
}

/// Returns the path and query below the service, exactly as received.
fn path_below(request: &Request, service: &str) -> String {
    let whole = request
        .uri()
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let prefix = format!("/v1/services/{service}");
    whole.strip_prefix(&prefix).unwrap_or("/").to_owned()
}

fn write(response: &mut Response, answer: ServiceAnswer) {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    response.status_code(status);
    let content_type = answer.content_type.unwrap_or_default();
    if let Ok(value) = HeaderValue::from_str(&content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    let _ = response.write_body(answer.body);
}
