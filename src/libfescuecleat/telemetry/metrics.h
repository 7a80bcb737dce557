#pragma once

#include "telemetry/counter.h"
#include "telemetry/gauge.h"
#include "telemetry/latencyhistogram.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>

namespace fescuecleat {

/** Label values by label name. Values must come from bounded sets, never from callers, to limit the number of series. */
using MetricLabels = std::map<std::string, std::string>;

/**
 * Registry of all metrics of a process. Names follow the Prometheus conventions:
 * lower case with underscores, counters end in _total, latencies in _seconds.
 * Returned references stay valid for the lifetime of the registry; look a metric
 * up once rather than for each event. A name can't be reused for another type
 * (std::logic_error). Thread-safe.
 */
class Metrics {
public:
    Counter& counter(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Gauge& gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    LatencyHistogram& latency(const std::string& name, const std::string& help, const MetricLabels& labels = {});

    /** Returns all metrics in the Prometheus text exposition format, version 0.0.4. */
    std::string exposition() const;

    /** Content type of the exposition format. */
    static const char* expositionContentType() { return "text/plain; version=0.0.4; charset=utf-8"; }

private:
    using Series = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<LatencyHistogram>>;

    struct Family {
        std::string help_;
        std::map<MetricLabels, Series> series_;
    };

    template <typename Metric>
    Metric& findOrCreate(const std::string& name, const std::string& help, const MetricLabels& labels);

    mutable std::mutex mutex_;
    std::map<std::string, Family> families_;
};

}
