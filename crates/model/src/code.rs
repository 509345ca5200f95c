//! The catalogue of numbered result codes, and the error type that carries one.

use serde::Deserialize;
use serde::Serialize;
use smol_str::SmolStr;
use std::fmt;

macro_rules! codes {
    ($($name:ident = $number:literal, $status:literal, $meaning:literal;)*) => {
        /// A numbered result.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $(#[doc = $meaning] $name,)*
        }

        impl Code {
            /// All codes, in ascending order.
            pub const ALL: &'static [Code] = &[$(Code::$name),*];

            /// Returns the number of the code.
            pub const fn number(self) -> u16 {
                match self { $(Code::$name => $number,)* }
            }

            /// Returns the HTTP status that carries the code.
            pub const fn status(self) -> u16 {
                match self { $(Code::$name => $status,)* }
            }

            /// Returns the meaning of the code as one sentence.
            pub const fn meaning(self) -> &'static str {
                match self { $(Code::$name => $meaning,)* }
            }
        }
    };
}

codes! {
    Done = 0, 200, "The operation succeeded.";
    Syntax = 101, 400, "The file is not valid JSON with comments.";
    UnknownField = 102, 400, "The file contains a field that the format does not define.";
    WrongType = 103, 400, "A field has a value of the wrong type.";
    OutOfRange = 104, 400, "A number or duration lies outside its allowed range.";
    Duplicate = 105, 400, "Two entries share a name or an address.";
    UnknownName = 106, 400, "An entry refers to a name that the file does not define.";
    MissingField = 107, 400, "A required field is absent.";
    TooLarge = 108, 413, "The input exceeds its size limit.";
    QuotaShrinks = 201, 409, "The file would reduce a guarantee of an account.";
    QuotaUnfit = 202, 409, "The guarantees of the file do not fit on the hardware.";
    Conflict = 203, 409, "Another operator's configuration was accepted since the base generation.";
    UnknownDomain = 204, 404, "The region has no worker and no upstream in this failure domain.";
    LastDomain = 205, 409, "The evacuation would leave no failure domain of the region.";
    JobNeverFits = 301, 422, "The job can never run on the healthy hardware of the region.";
    JobUnknown = 302, 404, "No job has this identifier.";
    NotAccepted = 303, 503, "The job was not accepted and is not stored.";
    JobExists = 304, 409, "A different job has this identifier.";
    NotPlacer = 305, 503, "No placer of the region is reachable.";
    AcceptUnknown = 306, 504, "The store did not confirm whether the write took effect.";
    Withdrawn = 307, 410, "The job was cancelled before it was stored; it never runs.";
    NotRun = 401, 503, "The request was not run.";
    OutcomeUnknown = 402, 504, "The request may or may not have run; it is not retried.";
    Truncated = 403, 502, "The upstream's answer was cut off before its end.";
    Overloaded = 404, 503, "The request was not run because every queue was full.";
    DeadlinePassed = 405, 504, "The request was not run before its deadline passed.";
    NoUpstream = 406, 503, "The request was not run because no upstream of the service is available.";
    Draining = 407, 503, "The request was not run because the process is stopping.";
    RateLimited = 408, 429, "The request was not run because the account exceeded its rate limit.";
    UnknownAccount = 409, 403, "The request names no configured client account.";
    UnknownService = 410, 404, "The request names no configured service.";
    BadRequest = 411, 400, "The request is malformed.";
    WrongAnswer = 412, 502, "The upstream answered another request; the answer was discarded.";
    StoreDown = 501, 503, "The key-value service did not answer.";
    StaleEpoch = 502, 409, "The order carries a lower epoch than the worker has seen.";
    Busy = 503, 409, "An accelerator of the order is held by another gang.";
    NoHold = 504, 409, "The gang has no valid hold on the worker.";
    NotReady = 505, 503, "The process has no configuration yet.";
    PeerDown = 506, 503, "The peer did not answer.";
    ConfigUnproven = 507, 503, "The process cannot prove that its configuration is in force.";
    Internal = 599, 500, "The process encountered an unexpected condition.";
}

impl Code {
    /// Returns whether the code guarantees that the request was not run.
    pub const fn is_not_run(self) -> bool {
        matches!(
            self,
            Code::NotRun
                | Code::Overloaded
                | Code::DeadlinePassed
                | Code::NoUpstream
                | Code::Draining
                | Code::RateLimited
                | Code::UnknownAccount
                | Code::UnknownService
                | Code::BadRequest
                | Code::NotReady
                | Code::ConfigUnproven
        )
    }
}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = String;

    fn try_from(number: u16) -> Result<Self, String> {
        Code::ALL
            .iter()
            .copied()
            .find(|code| code.number() == number)
            .ok_or_else(|| format!("no result code {number}"))
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "HB{:03}", self.number())
    }
}

/// The location of an error in a text file.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Location {
    /// The name of the file.
    pub file: SmolStr,
    /// The line, counted from 1; 0 if unknown.
    pub line: usize,
    /// The column, counted from 1; 0 if unknown.
    pub column: usize,
    /// The path of the field, such as `accounts[2].quota[0].count`.
    pub field: SmolStr,
}

/// An error with a result code and an explanation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize, thiserror::Error)]
pub struct Fault {
    /// The result code.
    pub code: Code,
    /// What went wrong, with the names and values concerned.
    pub detail: SmolStr,
    /// The location of the error, if it is in a file.
    #[serde(default, rename = "place", skip_serializing_if = "Option::is_none")]
    pub location: Option<Location>,
}

impl Fault {
    /// Creates a fault without a location.
    pub fn new(code: Code, detail: impl Into<SmolStr>) -> Self {
        Self {
            code,
            detail: detail.into(),
            location: None,
        }
    }

    /// Returns the fault with the given location.
    pub fn with_location(mut self, location: Location) -> Self {
        self.location = Some(location);
        self
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(location) = &self.location {
            write!(
                f,
                "{}:{}:{}: ",
                location.file, location.line, location.column
            )?;
            if !location.field.is_empty() {
                write!(f, "{}: ", location.field)?;
            }
        }
        write!(f, "{}: {}", self.code, self.detail)
    }
}
