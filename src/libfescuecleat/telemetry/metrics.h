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

/** Label values by label name. Values come from bounded sets, never from callers. */
using MetricLabels = std::map<std::string, std::string>;

/**
 * All metrics of a process. Names follow the text exposition format: lower
 * case with underscores, counters end in _total, latencies in _seconds. The
 * references stay valid as long as the registry; look them up once, not for
 * each event. Thread-safe.
 */
class Metrics {
public:
    Counter& counter(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Gauge& gauge(const std::string& name, const std::string& help, const MetricLabels& labels = {});
    LatencyHistogram& latency(const std::string& name, const std::string& help, const MetricLabels& labels = {});

    /** Everything in the text exposition format, version 0.0.4. */
    std::string exposition() const;

    /** Content type of that text. */
    static const char* expositionContentType() { return "text/plain; version=0.0.4; charset=utf-8"; }

private:
    using Series = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<LatencyHistogram>>;

    struct Family {
        std::string help_;
        std::map<MetricLabels, Series> series_;
    };

    template <typename Metric>
    Metric& find(const std::string& name, const std::string& help, const MetricLabels& labels);

    mutable std::mutex mutex_;
    std::map<std::string, Family> families_;
};

}
