#include "telemetry/metrics.h"

#include "base/overloaded.h"

#include <sstream>
#include <stdexcept>

namespace fescuecleat {

namespace {

    std::string escaped(const std::string& text)
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

    std::string labelText(MetricLabels labels, const std::string& bound = {})
    {
        if (!bound.empty())
            labels["le"] = bound;
        if (labels.empty())
            return {};
        std::string text;
        for (const auto& [name, value] : labels)
            text += (text.empty() ? "{" : ",") + name + "=\"" + escaped(value) + "\"";
        return text + "}";
    }

    std::string numberText(double value)
    {
        std::ostringstream out;
        out << value;
        return out.str();
    }

    /** Only every second bucket is written, which halves what each scrape costs. */
    constexpr std::size_t writtenBucketStep = 2;

    void writeLatency(std::ostream& out, const std::string& name, const MetricLabels& labels, const LatencySnapshot& snapshot)
    {
        for (std::size_t i = 0; i < snapshot.upperBounds_.size(); i += writtenBucketStep)
            out << name << "_bucket" << labelText(labels, numberText(snapshot.upperBounds_[i])) << ' ' << snapshot.cumulative_[i] << '\n';
        out << name << "_bucket" << labelText(labels, "+Inf") << ' ' << snapshot.count_ << '\n';
        out << name << "_sum" << labelText(labels) << ' ' << snapshot.sumSeconds_ << '\n';
        out << name << "_count" << labelText(labels) << ' ' << snapshot.count_ << '\n';
    }

}

template <typename Metric>
Metric& Metrics::find(const std::string& name, const std::string& help, const MetricLabels& labels)
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
            throw std::logic_error("metric " + name + " has another type already");
        family.series_.emplace(labels, std::move(metric));
        return reference;
    }
    if (const auto* metric = std::get_if<std::unique_ptr<Metric>>(&found->second))
        return **metric;
    throw std::logic_error("metric " + name + " has another type already");
}

Counter& Metrics::counter(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return find<Counter>(name, help, labels);
}

Gauge& Metrics::gauge(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return find<Gauge>(name, help, labels);
}

LatencyHistogram& Metrics::latency(const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return find<LatencyHistogram>(name, help, labels);
}

std::string Metrics::exposition() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    std::ostringstream out;
    for (const auto& [familyName, family] : families_) {
        // A structured binding can't be captured by a lambda in C++17.
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
                           [&](const std::unique_ptr<Counter>& counter) { out << name << labelText(labels) << ' ' << counter->value() << '\n'; },
                           [&](const std::unique_ptr<Gauge>& gauge) { out << name << labelText(labels) << ' ' << gauge->value() << '\n'; },
                           [&](const std::unique_ptr<LatencyHistogram>& latency) { writeLatency(out, name, labels, latency->snapshot()); },
                       },
                series.second);
        }
    }
    return out.str();
}

}
