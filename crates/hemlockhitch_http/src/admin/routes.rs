//! The routes of the administration API.

use hemlockhitch_config::Change;
use hemlockhitch_config::admin::{AdminError, AdminErrorCode, ChangeAnswer};
use salvo::http::StatusCode;
use salvo::writing::Json;
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde::Serialize;

use super::{Administration, Operator, Operators};

/// The largest change, in bytes.
const MAX_CHANGE_BYTES: usize = 8 << 20;

/// Builds the routes of the administration API.
#[must_use]
pub fn routes<A: Administration>(administration: &A, operators: &Operators) -> salvo::Router {
    let at = |act| Route {
        administration: administration.clone(),
        operators: operators.clone(),
        act,
    };
    salvo::Router::with_path("admin/v1")
        .push(salvo::Router::with_path("configuration").get(at(Act::Configuration)))
        .push(salvo::Router::with_path("changes").post(at(Act::Submit)))
        .push(salvo::Router::with_path("changes/{generation}/progress").get(at(Act::Progress)))
        .push(salvo::Router::with_path("history").get(at(Act::History)))
        .push(salvo::Router::with_path("status").get(at(Act::Status)))
        .push(salvo::Router::with_path("requests/{id}").get(at(Act::Explain)))
        .push(salvo::Router::with_path("deferred").get(at(Act::Deferred)))
}

/// What a route does.
#[derive(Clone, Copy)]
enum Act {
    Configuration,
    Submit,
    Progress,
    History,
    Status,
    Explain,
    Deferred,
}

struct Route<A: Administration> {
    administration: A,
    operators: Operators,
    act: Act,
}

#[async_trait]
impl<A: Administration> Handler for Route<A> {
    async fn handle(
        &self,
        request: &mut Request,
        _depot: &mut Depot,
        response: &mut Response,
        _flow: &mut FlowCtrl,
    ) {
        if let Err(error) = self.serve(request, response).await {
            write(response, status_of(error.code), &error);
        }
    }
}

impl<A: Administration> Route<A> {
    async fn serve(
        &self,
        request: &mut Request,
        response: &mut Response,
    ) -> Result<(), AdminError> {
        let authorization = request.header::<String>("authorization");
        let operator = self.operators.authenticate(authorization.as_deref())?;
        match self.act {
            Act::Configuration => {
                let configuration = operator.visible(self.administration.configuration());
                ok(response, &configuration);
            }
            Act::Submit => self.submit(&operator, request, response).await?,
            Act::Progress => {
                let generation = parameter(request, "generation")?;
                ok(response, &self.administration.progress(generation));
            }
            Act::History => {
                whole_system(&operator)?;
                let after = request.query::<u64>("after").unwrap_or(0);
                ok(response, &self.administration.history(after).await?);
            }
            Act::Status => ok(response, &self.administration.status()),
            Act::Explain => self.explain(&operator, request, response).await?,
            Act::Deferred => {
                let mut deferred = self.administration.deferred().await?;
                let own = operator.organisation.as_ref();
                deferred.retain(|job| own.is_none_or(|own| job.organisation == *own));
                ok(response, &deferred);
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
        let mut change: Change = serde_json::from_slice(body).map_err(|error| bad(&error))?;
        operator.check_change(&change, &self.administration.configuration())?;
        change.author.clone_from(&operator.name);
        let rows = change.edits.len();
        let answer = self.administration.submit(change).await?;
        tracing::info!(event = "HH0801", operator = %operator.name, rows, ?answer, "change submitted");
        let status = match answer {
            ChangeAnswer::Written { .. } => StatusCode::OK,
            ChangeAnswer::Conflict { .. } => StatusCode::CONFLICT,
        };
        write(response, status, &answer);
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
            .explain(parameter(request, "id")?)
            .await?;
        let own = operator.organisation.as_ref();
        if own.is_some_and(|own| explanation.organisation != *own) {
            return Err(AdminError::new(
                AdminErrorCode::NotFound,
                "no such request is known",
                "check the request's id",
            ));
        }
        ok(response, &explanation);
        Ok(())
    }
}

fn whole_system(operator: &Operator) -> Result<(), AdminError> {
    if operator.organisation.is_none() {
        return Ok(());
    }
    Err(AdminError::new(
        AdminErrorCode::Forbidden,
        "the history shows the rows of every organisation",
        "use a token of the whole system",
    ))
}

fn parameter<T: std::str::FromStr>(request: &Request, name: &str) -> Result<T, AdminError> {
    let text = request.param::<String>(name).unwrap_or_default();
    text.parse().map_err(|_| {
        AdminError::new(
            AdminErrorCode::BadRequest,
            format!("{text:?} is not a valid {name}"),
            "check the path",
        )
    })
}

fn bad(error: &serde_json::Error) -> AdminError {
    AdminError::new(
        AdminErrorCode::BadRequest,
        format!("the change cannot be read: {error}"),
        "send a change as the documentation of the administration API shows it",
    )
}

fn ok(response: &mut Response, message: &(impl Serialize + Sync)) {
    write(response, StatusCode::OK, message);
}

fn write(response: &mut Response, status: StatusCode, message: &(impl Serialize + Sync)) {
    response.status_code(status);
    response.render(Json(message));
}

fn status_of(code: AdminErrorCode) -> StatusCode {
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
