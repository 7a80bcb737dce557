#include "telemetry/metrics.h"

#include "base/overloaded.h"

#include <sstream>
#include <stdexcept>

namespace fescuecleat {

namespace {

    std::string escapeLabelValue(const std::string& text)
    {
        std::string out;
        for (const char c : text) {
            if (c == '\n') {
                out += "\\n";
                continue;
            }
            if (c == '"' || c == '\\')
                out += '\\';
            out += c;
        }
        return out;
    }

    std::string formatLabels(MetricLabels labels, const std::string& bound = {})
    {
        if (!bound.empty())
            labels["le"] = bound;
        if (labels.empty())
            return {};
        std::string text;
        for (const auto& [name, value] : labels)
            text += (text.empty() ? "{" : ",") + name + "=\"" + escapeLabelValue(value) + "\"";
        return text + "}";
    }

    std::string formatNumber(double value)
    {
        std::ostringstream out;
        out << value;
        return out.str();
    }

    /** Writing only every second bucket halves the cost of a scrape. */
    constexpr std::size_t exposedBucketStep = 2;

    void writeLatency(std::ostream& out, const std::string& name, const MetricLabels& labels, const LatencySnapshot& snapshot)
    {
        for (std::size_t i = 0; i < snapshot.upperBounds_.size(); i += exposedBucketStep)
            out << name << "_bucket" << formatLabels(labels, formatNumber(snapshot.upperBounds_[i])) << ' ' << snapshot.cumulativeCounts_[i] << '\n';
        out << name << "_bucket" << formatLabels(labels, "+Inf") << ' ' << snapshot.count_ << '\n';
        out << name << "_sum" << formatLabels(labels) << ' ' << snapshot.sumSeconds_ << '\n';
        out << name << "_count" << formatLabels(labels) << ' ' << snapshot.count_ << '\n';
    }

}

template <typename Metric>
Metric& Metrics::findOrCreate(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    Family& family = families_[name];
    if (family.help_.empty())
        family.help_ = help;
    const auto found = family.series_.find(labels);
    if (found == family.series_.end()) {
        auto metric = std::make_unique<Metric>();
        Metric& reference = *metric;
        if (!family.series_.empty() && !std::holds_alternative<std::unique_ptr<Metric>>(family.series_.begin()->second))
            throw std::logic_error("metric " + name + " is already registered with another type");
        family.series_.emplace(labels, std::move(metric));
        return reference;
    }
    if (const auto* metric = std::get_if<std::unique_ptr<Metric>>(&found->second))
        return **metric;
    throw std::logic_error("metric " + name + " is already registered with another type");
}

Counter& Metrics::counter(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return findOrCreate<Counter>(name, help, labels);
}

Gauge& Metrics::gauge(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return findOrCreate<Gauge>(name, help, labels);
}

LatencyHistogram& Metrics::latency(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return findOrCreate<LatencyHistogram>(name, help, labels);
}

std::string Metrics::exposition() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::ostringstream out;
    for (const auto& [familyName, family] : families_) {
        // Lambdas can't capture structured bindings in C++17.
        const std::string& name = familyName;
        const Overloaded typeName {
            [](const std::unique_ptr<Counter>&) { return "counter"; },
            [](const std::unique_ptr<Gauge>&) { return "gauge"; },
            [](const std::unique_ptr<LatencyHistogram>&) { return "histogram"; },
        };
        out << "# HELP " << name << ' ' << family.help_ << '\n';
        out << "# TYPE " << name << ' ' << std::visit(typeName, family.series_.begin()->second) << '\n';
        for (const auto& series : family.series_) {
            const MetricLabels& labels = series.first;
            std::visit(Overloaded {
                           [&](const std::unique_ptr<Counter>& counter) { out << name << formatLabels(labels) << ' ' << counter->value() << '\n'; },
                           [&](const std::unique_ptr<Gauge>& gauge) { out << name << formatLabels(labels) << ' ' << gauge->value() << '\n'; },
                           [&](const std::unique_ptr<LatencyHistogram>& latency) { writeLatency(out, name, labels, latency->snapshot()); },
                       },
                series.second);
        }
    }
    return out.str();
}

}
