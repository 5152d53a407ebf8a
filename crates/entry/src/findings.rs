//! Collects the validation errors of a request so that they are reported together.

use crate::refusal::Refusal;
use oleander_core::reason::Reason;

/// Largest number of errors in one response.
const MAX_FINDINGS: usize = 16;

#[derive(Debug)]
struct RequestFinding {
    place: String,
    message: String,
}

/// Validation errors of one request.
#[derive(Debug, Default)]
pub struct RequestFindings {
    findings: Vec<RequestFinding>,
}

impl RequestFindings {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an error for a JSON path or header name.
    pub fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        if self.findings.len() < MAX_FINDINGS {
            self.findings.push(RequestFinding { place: place.into(), message: message.into() });
        }
    }

    /// Returns the value of `result`, or adds its error.
    pub fn check<T, E: ToString>(&mut self, place: &str, result: Result<T, E>) -> Option<T> {
        result.map_err(|error| self.add(place, error.to_string())).ok()
    }

    /// Refuses the request when there are errors.
    ///
    /// # Errors
    ///
    /// A refusal that names every error; its parameter is that of the first.
    pub fn finish(self) -> Result<(), Refusal> {
        let Some(first) = self.findings.first() else { return Ok(()) };
        let place = first.place.clone();
        let lines = self.findings.iter().map(|finding| {
            let RequestFinding { place, message } = finding;
            format!("{place}: {message}")
        });
        let message = lines.collect::<Vec<_>>().join("; ");
        Err(Refusal::new(Reason::BadRequest, message).with_place(place))
    }
}
