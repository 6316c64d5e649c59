use std::fmt;
use std::time::Duration;

use carobwick_runtime::Error;
use carobwick_runtime::HttpClient;
use http::Method;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// A publish may take some attempts of the planner at the key-value service.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of the operator API at any of several addresses.
#[derive(Debug)]
pub(crate) struct Client {
    http: HttpClient,
    urls: Vec<String>,
}

/// Why a command was not carried out.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The options or a file are wrong.
    Usage(String),
    /// The planner refused the change.
    Refused(String),
    /// Another operator was first.
    Conflict(String),
    /// No planner, or no key-value service behind it, answered; nothing was changed.
    Unreachable(String),
    /// The change may have been made.
    Unknown(String),
    /// The change was made and has not reached all instances.
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
    /// Opens a client for addresses separated by commas.
    pub fn open(operators: &str) -> Self {
        let urls = operators.split(',').map(|url| url.trim().trim_end_matches('/').to_owned());
        Self { http: HttpClient::open(REQUEST_TIMEOUT), urls: urls.filter(|url| !url.is_empty()).collect() }
    }

    /// Returns the addresses.
    pub fn urls(&self) -> Result<&[String], Failure> {
        if self.urls.is_empty() {
            return Err(Failure::Usage(
                "--operators URL[,URL...] or CAROBWICK_OPERATORS is needed".to_owned(),
            ));
        }
        Ok(&self.urls)
    }

    /// Reads from the first address that answers.
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

    /// Reads from one address.
    pub async fn get_from<T: DeserializeOwned>(&self, url: &str, path: &str) -> Result<T, Error> {
        self.http.get(&format!("{url}{path}")).await
    }

    /// Posts to the first address that takes a connection and serves the path.
    ///
    /// After a request may have been taken, no other address is tried, since the change would be made twice.
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
                // Entries don't serve changes; a planner's refusal has a body.
                Err(Error::Status(404 | 405, body))
                    if serde_json::from_str::<ErrorResponse>(&body).is_err() =>
                {
                    failures.push(format!("{url}: no planner"));
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
