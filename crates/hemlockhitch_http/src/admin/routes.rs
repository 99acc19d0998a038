//! Routes of the administration API.

use hemlockhitch_config::Change;
use hemlockhitch_config::admin::{AdminError, AdminErrorCode, ChangeAnswer};
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde::Serialize;

use super::{Administration, Operator, Operators};

/// Maximum size of a submitted change, in bytes.
const MAX_CHANGE_BYTES: usize = 8 << 20;

/// Builds the routes below `admin/v1`, which accept the tokens of `operators`.
#[must_use]
pub fn routes<A: Administration>(administration: &A, operators: &Operators) -> salvo::Router {
    let handler = |operation| OperationHandler {
        administration: administration.clone(),
        operators: operators.clone(),
        operation,
    };
    salvo::Router::with_path("admin/v1")
        .push(salvo::Router::with_path("configuration").get(handler(Operation::Configuration)))
        .push(salvo::Router::with_path("changes").post(handler(Operation::Submit)))
        .push(
            salvo::Router::with_path("changes/{generation}/progress")
                .get(handler(Operation::Progress)),
        )
        .push(salvo::Router::with_path("history").get(handler(Operation::History)))
        .push(salvo::Router::with_path("status").get(handler(Operation::Status)))
        .push(salvo::Router::with_path("requests/{id}").get(handler(Operation::Explain)))
        .push(salvo::Router::with_path("deferred").get(handler(Operation::Deferred)))
}

/// Operation that a route performs.
#[derive(Clone, Copy)]
enum Operation {
    Configuration,
    Submit,
    Progress,
    History,
    Status,
    Explain,
    Deferred,
}

struct OperationHandler<A: Administration> {
    administration: A,
    operators: Operators,
    operation: Operation,
}

#[async_trait]
impl<A: Administration> Handler for OperationHandler<A> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        if let Err(error) = self.serve(request, response).await {
            write_json(response, http_status(error.code), &error);
        }
    }
}

impl<A: Administration> OperationHandler<A> {
    async fn serve(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), AdminError> {
        let authorization = request.header::<String>("authorization");
        let operator = self.operators.authenticate(authorization.as_deref())?;
        match self.operation {
            Operation::Configuration => {
                let configuration = operator.filter_visible(self.administration.configuration());
                write_ok(response, &configuration);
            }
            Operation::Submit => self.submit(&operator, request, response).await?,
            Operation::Progress => {
                let generation = path_parameter(request, "generation")?;
                write_ok(response, &self.administration.progress(generation));
            }
            Operation::History => {
                require_unrestricted(&operator)?;
                let after = request.query::<u64>("after").unwrap_or(0);
                write_ok(response, &self.administration.history(after).await?);
            }
            Operation::Status => write_ok(response, &self.administration.status()),
            Operation::Explain => self.explain(&operator, request, response).await?,
            Operation::Deferred => {
                let mut deferred = self.administration.deferred().await?;
                let own = operator.organisation.as_ref();
                deferred.retain(|job| own.is_none_or(|own| job.organisation == *own));
                write_ok(response, &deferred);
            }
        }
        Ok(())
    }

    async fn submit(
        &self,
        operator: &Operator,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), AdminError> {
        let body = request.payload_with_max_size(MAX_CHANGE_BYTES).await;
        let body = body.map_err(|_| {
            AdminError::new(
                AdminErrorCode::TooLarge,
                "the change cannot be read or is too large",
                format!("send at most {MAX_CHANGE_BYTES} bytes; split the change"),
            )
        })?;
        let mut change: Change =
            serde_json::from_slice(body).map_err(|error| malformed_change(&error))?;
        operator.check_change(&change, &self.administration.configuration())?;
        change.author.clone_from(&operator.name);
        let rows = change.edits.len();
        let answer = self.administration.submit(change).await?;
        tracing::info!(event = "HH0801", operator = %operator.name, rows, ?answer, "change submitted");
        let status = match answer {
            ChangeAnswer::Written { .. } => StatusCode::OK,
            ChangeAnswer::Conflict { .. } => StatusCode::CONFLICT,
        };
        write_json(response, status, &answer);
        Ok(())
    }

    async fn explain(
        &self,
        operator: &Operator,
        request: &Request,
        response: &mut Response,
    ) -> Result<(), AdminError> {
        let explanation = self
            .administration
            .explain(path_parameter(request, "id")?)
            .await?;
        let own = operator.organisation.as_ref();
        if own.is_some_and(|own| explanation.organisation != *own) {
            return Err(AdminError::new(
                AdminErrorCode::NotFound,
                "no such request is known",
                "check the request's id",
            ));
        }
        write_ok(response, &explanation);
        Ok(())
    }
}

fn require_unrestricted(operator: &Operator) -> Result<(), AdminError> {
    if operator.organisation.is_none() {
        return Ok(());
    }
    Err(AdminError::new(
        AdminErrorCode::Forbidden,
        "the history shows the rows of every organisation",
        "use a token of the whole system",
    ))
}

fn path_parameter<T: std::str::FromStr>(request: &Request, name: &str) -> Result<T, AdminError> {
    let text = request.param::<String>(name).unwrap_or_default();
    text.parse().map_err(|_| {
        AdminError::new(
            AdminErrorCode::BadRequest,
            format!("{text:?} is not a valid {name}"),
            "check the path",
        )
    })
}

fn malformed_change(error: &serde_json::Error) -> AdminError {
    AdminError::new(
        AdminErrorCode::BadRequest,
        format!("the change cannot be read: {error}"),
        "send a change as the documentation of the administration API shows it",
    )
}

fn write_ok(response: &mut Response, message: &(impl Serialize + Sync)) {
    write_json(response, StatusCode::OK, message);
}

fn write_json(response: &mut Response, status: StatusCode, message: &(impl Serialize + Sync)) {
    response.status_code(status);
    response.render(Json(message));
}

fn http_status(code: AdminErrorCode) -> StatusCode {
    match code {
        AdminErrorCode::BadRequest => StatusCode::BAD_REQUEST,
        AdminErrorCode::Unauthorized => StatusCode::UNAUTHORIZED,
        AdminErrorCode::Forbidden => StatusCode::FORBIDDEN,
        AdminErrorCode::NotFound => StatusCode::NOT_FOUND,
        AdminErrorCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        AdminErrorCode::StoreUnavailable | AdminErrorCode::OutcomeUnknown => {
            StatusCode::SERVICE_UNAVAILABLE
        }
        AdminErrorCode::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}
