use transport::TransportError;

/// An exchange with an upstream that gave no valid response.
#[derive(Debug)]
pub struct FailedExchange {
    /// Kind of failure, one of a few names.
    pub cause: &'static str,
    /// The request was sent on an idle connection.
    pub reused: bool,
    /// Description for the log.
    pub why: String,
}

impl FailedExchange {
    /// An exchange that ended in `error`.
    pub fn new(error: &TransportError, reused: bool) -> Self {
        FailedExchange {
            cause: error.cause(),
            reused,
            why: error.to_string(),
        }
    }

    /// An exchange with an invalid request or response.
    pub fn invalid(reused: bool, why: String) -> Self {
        FailedExchange {
            cause: "invalid",
            reused,
            why,
        }
    }

    /// An exchange that ended within its response.
    pub fn truncated(reused: bool, why: String) -> Self {
        FailedExchange {
            cause: "truncated",
            reused,
            why,
        }
    }

    /// An exchange that did not begin before newer weights came into force.
    pub fn outdated(reused: bool) -> Self {
        FailedExchange {
            cause: "silent",
            reused,
            why: "not begun before newer weights came into force".to_owned(),
        }
    }

    /// Counts the exchange in the metrics.
    pub fn count(&self) {
        let connection = if self.reused { "reused" } else { "new" };
        let labels = [("cause", self.cause), ("connection", connection)];
        metrics::counter!("turmerichold_exchanges_failed_total", &labels).increment(1);
    }
}
