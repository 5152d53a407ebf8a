//! Collects the validation errors of a request so that they are reported together.

use crate::refusal::Refusal;
use oleander_core::reason::Reason;

/// Largest number of errors in one response.
const MAX_ERRORS: usize = 16;

#[derive(Debug)]
struct FieldError {
    param: String,
    message: String,
}

/// Validation errors of one request.
#[derive(Debug, Default)]
pub struct FieldErrors {
    errors: Vec<FieldError>,
}

impl FieldErrors {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an error for a JSON path or header name.
    pub fn add(&mut self, param: impl Into<String>, message: impl Into<String>) {
        if self.errors.len() < MAX_ERRORS {
            self.errors.push(FieldError { param: param.into(), message: message.into() });
        }
    }

    /// Returns the value of `result`, or adds its error.
    pub fn check<T, E: ToString>(&mut self, param: &str, result: Result<T, E>) -> Option<T> {
        result.map_err(|error| self.add(param, error.to_string())).ok()
    }

    /// Refuses the request when there are errors.
    ///
    /// # Errors
    ///
    /// A refusal that names every error; its parameter is that of the first.
    pub fn finish(self) -> Result<(), Refusal> {
        let Some(first) = self.errors.first() else { return Ok(()) };
        let param = first.param.clone();
        let lines = self.errors.iter().map(|error| {
            let FieldError { param, message } = error;
            format!("{param}: {message}")
        });
        let message = lines.collect::<Vec<_>>().join("; ");
        Err(Refusal::new(Reason::BadRequest, message).with_param(param))
    }
}
