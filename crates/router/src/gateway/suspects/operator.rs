//! Lets operators list the held requests and release one.

use http_types::{Method, Request, Response};
use serde::Serialize;
use threadledge_suspects::RequestHash;

use super::super::answer;
use super::SuspectService;

const HELD_PATH: &str = "/threadledge/v1/held";
/// Path prefix for releasing a request; its identity follows.
const RELEASE_PATH: &str = "/threadledge/v1/held/release/";

#[derive(Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
struct HeldRequest {
    identity: String,
    request: String,
    back_ends: Vec<String>,
}

impl SuspectService {
    /// Answers an operator's request. Returns `None` for paths that are not
    /// about held requests.
    pub(in super::super) fn answer_operator(&self, request: &Request) -> Option<Response> {
        let path = request.url().path();
        if path == HELD_PATH && request.method() == Method::Get {
            return Some(self.list());
        }
        let identity = path.strip_prefix(RELEASE_PATH)?;
        if request.method() != Method::Post {
            return Some(answer::text(405, "use-post", None));
        }
        let Ok(identity) = u64::from_str_radix(identity, 16) else {
            return Some(answer::text(400, "identity-is-16-hex-digits", None));
        };
        Some(self.release(RequestHash(identity)))
    }

    fn list(&self) -> Response {
        let held: Vec<HeldRequest> = self.dispatch.with(|dispatcher, _now| {
            let held = dispatcher.suspects().held();
            held.map(|(request, suspect)| HeldRequest {
                identity: request.to_string(),
                request: suspect.label().to_owned(),
                back_ends: suspect
                    .processes()
                    .into_iter()
                    .map(ToString::to_string)
                    .collect(),
            })
            .collect()
        });
        answer::json(&held)
    }

    fn release(&self, request: RequestHash) -> Response {
        let known = self
            .dispatch
            .with(|dispatcher, now| dispatcher.release_suspect(now, request));
        if !known {
            return answer::text(404, "no-such-request-is-held", None);
        }
        self.own_findings.lock().insert(request);
        self.log.log_changes(&self.dispatch, "operator");
        answer::text(200, "let-go", None)
    }
}
