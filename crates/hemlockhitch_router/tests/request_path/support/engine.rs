//! A fake model engine with scripted answers.

use std::collections::{HashMap, VecDeque};

use hemlockhitch_endpoint::engine::{
    Answer, Chunk, Engine, EngineError, EngineErrorKind, EngineRequest, LoadReport, Order,
    OrderResponse, Usage,
};
use hemlockhitch_model::VersionName;

use crate::support::{Shared, lock};

/// Number of tokens of a complete answer.
const ANSWER_TOKENS: u32 = 6;

/// Behaviour of an engine on one request.
#[derive(Clone, Copy, Debug)]
pub enum EngineScript {
    /// Fails before the first chunk.
    Fail(EngineErrorKind),
    /// Fails once the answer has the given number of tokens.
    FailAfter(u32, EngineErrorKind),
}

/// Engines by address; an engine without a script completes its answers.
#[derive(Clone, Default)]
pub struct FakeEngine {
    scripts: Shared<HashMap<String, VecDeque<EngineScript>>>,
    default_script: Shared<Option<EngineScript>>,
    failing_version: Shared<Option<VersionName>>,
    versions: Shared<Vec<VersionName>>,
    calls: Shared<Vec<String>>,
}

impl FakeEngine {
    /// Adds a script for the next request at an address.
    pub fn script(&self, address: &str, script: EngineScript) {
        lock(&self.scripts)
            .entry(address.to_owned())
            .or_default()
            .push_back(script);
    }

    /// Sets the behaviour of every engine that has no script of its own.
    pub fn set_default_script(&self, script: EngineScript) {
        *lock(&self.default_script) = Some(script);
    }

    /// Makes every engine fail the requests for a version.
    pub fn fail_version(&self, version: &str) {
        *lock(&self.failing_version) = Some(version.into());
    }

    /// Returns how many requests were sent for a version.
    pub fn request_count(&self, version: &str) -> usize {
        let versions = lock(&self.versions);
        versions
            .iter()
            .filter(|name| name.as_str() == version)
            .count()
    }

    /// Returns the addresses that were called, in order.
    pub fn calls(&self) -> Vec<String> {
        lock(&self.calls).clone()
    }

    fn next_script(&self, address: &str) -> Option<EngineScript> {
        let scripted = lock(&self.scripts)
            .get_mut(address)
            .and_then(VecDeque::pop_front);
        scripted.or(*lock(&self.default_script))
    }
}

/// An answer of a fake engine, one token per chunk.
pub struct FakeAnswer {
    request: EngineRequest,
    address: String,
    next_token: u32,
    script: Option<EngineScript>,
}

impl Engine for FakeEngine {
    type Answer = FakeAnswer;

    async fn complete(
        &self,
        address: &str,
        request: EngineRequest,
    ) -> Result<FakeAnswer, EngineError> {
        lock(&self.calls).push(address.to_owned());
        lock(&self.versions).push(request.version.clone());
        if lock(&self.failing_version).as_ref() == Some(&request.version) {
            return Err(EngineError::new(EngineErrorKind::Failed, address, "bad"));
        }
        let script = self.next_script(address);
        if let Some(EngineScript::Fail(kind)) = script {
            return Err(EngineError::new(kind, address, "scripted"));
        }
        Ok(FakeAnswer {
            next_token: request.resume_offset_tokens,
            request,
            address: address.to_owned(),
            script,
        })
    }

    async fn load(&self, address: &str) -> Result<LoadReport, EngineError> {
        Err(EngineError::new(
            EngineErrorKind::Protocol,
            address,
            "no reports",
        ))
    }

    async fn order(&self, _address: &str, _order: Order) -> Result<OrderResponse, EngineError> {
        Ok(OrderResponse::Accepted)
    }
}

impl Answer for FakeAnswer {
    async fn next(&mut self) -> Result<Option<Chunk>, EngineError> {
        if let Some(EngineScript::FailAfter(tokens, kind)) = self.script
            && self.next_token >= tokens
        {
            return Err(EngineError::new(kind, &self.address, "scripted"));
        }
        if self.next_token >= ANSWER_TOKENS {
            return Ok(None);
        }
        let token = self.next_token;
        self.next_token += 1;
        let last = self.next_token == ANSWER_TOKENS;
        Ok(Some(Chunk {
            request_id: self.request.request_id,
            offset_tokens: token,
            tokens: 1,
            text: format!("{token}."),
            finish_reason: last.then(|| "stop".to_owned()),
            usage: last.then_some(Usage {
                prompt_tokens: 10,
                completion_tokens: ANSWER_TOKENS,
            }),
        }))
    }
}
