//! Metrics of the retry budgets, by service.

use prometheus::{IntGaugeVec, Opts, Registry};
use threadledge_dispatch::Dispatcher;
use threadledge_types::Timestamp;

/// Gauges of the retries and of the current slack. Clones share them.
#[derive(Clone)]
pub(super) struct RetryMetrics {
    retries: IntGaugeVec,
    slack: IntGaugeVec,
}

impl RetryMetrics {
    /// Registers the metrics.
    ///
    /// # Errors
    ///
    /// Never occurs with the names compiled in; the library checks them at run
    /// time.
    pub(super) fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let retries = IntGaugeVec::new(
            Opts::new(
                "threadledge_gateway_retries",
                "Retries since the start, by what became of them",
            ),
            &["service", "end"],
        )?;
        let slack = IntGaugeVec::new(
            Opts::new(
                "threadledge_gateway_retry_slack_thousandths",
                "Thousandths of a retry allowed beside those that the requests allow",
            ),
            &["service"],
        )?;
        registry.register(Box::new(retries.clone()))?;
        registry.register(Box::new(slack.clone()))?;
        Ok(RetryMetrics { retries, slack })
    }

    /// Sets the gauges to the dispatcher's counts.
    pub(super) fn update(&self, now: Timestamp, dispatcher: &Dispatcher) {
        for (service, counts, slack) in dispatcher.retry_stats(now) {
            let service = service.as_str();
            let ends = [
                ("sent", counts.sent),
                ("denied", counts.denied),
                ("given-back", counts.given_back),
                ("given-back-late", counts.given_back_late),
            ];
            for (end, count) in ends {
                let gauge = self.retries.with_label_values(&[service, end]);
                gauge.set(count as i64);
            }
            let slack = (slack * 1_000.0) as i64;
            self.slack.with_label_values(&[service]).set(slack);
        }
    }
}
