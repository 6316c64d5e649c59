use std::fmt;
use std::time::Duration;

use carobwick_runtime::Error;
use carobwick_runtime::HttpClient;
use http::Method;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Timeout of a request. A publish may take the planner several attempts to write to the key-value service.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of the operator API, which tries several addresses in order.
#[derive(Debug)]
pub(crate) struct Client {
    http: HttpClient,
    urls: Vec<String>,
}

/// Reason why a command failed; each one has its own exit code.
#[derive(Debug)]
pub(crate) enum Failure {
    /// An option or a file is invalid.
    Usage(String),
    /// The planner refused the change.
    Refused(String),
    /// Another operator made a change first.
    Conflict(String),
    /// No planner responded, or the key-value service did not respond to it; nothing was changed.
    Unreachable(String),
    /// The outcome is unknown; the change may have been made.
    Unknown(String),
    /// The change was made but has not reached all instances yet.
    Pending(String),
}

#[derive(Debug, Deserialize)]
struct ErrorResponse {
    error: ErrorBody,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    code: String,
    message: String,
}

impl Client {
    /// Opens a client for `operators`, which are base URLs separated by commas.
    pub fn open(operators: &str) -> Self {
        let urls = operators.split(',').map(|url| url.trim().trim_end_matches('/').to_owned());
        Self { http: HttpClient::open(REQUEST_TIMEOUT), urls: urls.filter(|url| !url.is_empty()).collect() }
    }

    /// Returns the addresses; fails if there are none.
    pub fn urls(&self) -> Result<&[String], Failure> {
        if self.urls.is_empty() {
            return Err(Failure::Usage(
                "--operators URL[,URL...] or CAROBWICK_OPERATORS is required".to_owned(),
            ));
        }
        Ok(&self.urls)
    }

    /// Returns the JSON value at `path` from the first address that has it.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        let mut failures = Vec::new();
        for url in self.urls()? {
            match self.http.get(&format!("{url}{path}")).await {
                Ok(value) => return Ok(value),
                Err(Error::Status(404, body)) if serde_json::from_str::<ErrorResponse>(&body).is_ok() => {
                    return Err(Failure::from_error(url, &Error::Status(404, body)));
                }
                Err(err) => failures.push(format!("{url}: {err}")),
            }
        }
        Err(Failure::Unreachable(failures.join("\n")))
    }

    /// Returns the JSON value at `path` from one address.
    pub async fn get_from<T: DeserializeOwned>(&self, url: &str, path: &str) -> Result<T, Error> {
        self.http.get(&format!("{url}{path}")).await
    }

    /// Posts to the first address that accepts a connection and serves the path.
    ///
    /// Once a planner may have received the request, no other address is tried, since the change could be
    /// made twice.
    pub async fn post<B: Serialize, T: DeserializeOwned>(&self, path: &str, body: &B) -> Result<T, Failure> {
        let body = serde_json::to_vec(body).map_err(|err| Failure::Usage(err.to_string()))?;
        let mut failures = Vec::new();
        for url in self.urls()? {
            let result = self.http.send(Method::POST, &format!("{url}{path}"), body.clone().into()).await;
            match result {
                Ok(response) => {
                    return serde_json::from_slice(&response)
                        .map_err(|err| Failure::Unknown(format!("{url}: {err}")));
                }
                Err(Error::Connect(text)) => failures.push(text),
                // Entries don't serve changes; the error response of a planner has a JSON body.
                Err(Error::Status(404 | 405, body))
                    if serde_json::from_str::<ErrorResponse>(&body).is_err() =>
                {
                    failures.push(format!("{url}: not a planner"));
                }
                Err(err) => return Err(Failure::from_error(url, &err)),
            }
        }
        Err(Failure::Unreachable(failures.join("\n")))
    }
}

impl Failure {
    fn from_error(url: &str, err: &Error) -> Self {
        let Error::Status(status, body) = err else {
            return Self::Unknown(format!("{url}: {err}"));
        };
        let text = match serde_json::from_str::<ErrorResponse>(body) {
            Ok(response) => format!("{}: {}", response.error.code, response.error.message),
            Err(_) => format!("{url}: {err}"),
        };
        match status {
            409 => Self::Conflict(text),
            503 => Self::Unreachable(text),
            500..600 => Self::Unknown(text),
            _ => Self::Refused(text),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(text)
            | Self::Refused(text)
            | Self::Conflict(text)
            | Self::Unreachable(text)
            | Self::Unknown(text)
            | Self::Pending(text) => f.write_str(text),
        }
    }
}
