#include "load/experimentresult.h"

#include "json/objectreader.h"

#include <algorithm>
#include <limits>
#include <optional>

namespace fescuecleat {

namespace {

    constexpr std::size_t maxTextBytes = 65536;

    void writeSeries(const Series& series, JsonValue& list)
    {
        list.setCategory(JsonValue::Array);
        for (const auto& [second, value] : series) {
            JsonValue& point = list.addMember("");
            point.setCategory(JsonValue::Array);
            point.addMember("") <<= second;
            point.addMember("") <<= value;
        }
    }

    Series readSeries(const JsonValue& list)
    {
        Series series;
        for (const JsonValue& point : list) {
            std::vector<double> pair;
            for (const JsonValue& number : point) {
                pair.push_back(0);
                number.getValue(pair.back());
            }
            if (pair.size() == 2)
                series.emplace_back(pair[0], pair[1]);
        }
        return series;
    }

    void writeViolation(const Violation& violation, JsonValue& value)
    {
        value.setCategory(JsonValue::Object);
        value.addMember("kind") <<= std::string(violationKindName(violation.kind_));
        value.addMember("item") <<= violation.item_;
        value.addMember("what") <<= violation.description_;
        JsonValue& trace = value.addMember("trace");
        trace.setCategory(JsonValue::Array);
        for (const std::string& line : violation.trace_)
            trace.addMember("") <<= line;
    }

    Violation parseViolation(const JsonValue& value, std::vector<Error>& errors)
    {
        ObjectReader reader(value, "violations", errors);
        Violation violation;
        const std::optional<ViolationKind> kind = violationKind(reader.string("kind"));
        if (!kind)
            reader.report(ErrorKind::OutOfRange, "unknown violation kind", "use a result file written by this version", "kind");
        violation.kind_ = kind.value_or(ViolationKind::IncompleteLog);
        violation.item_ = reader.stringOr("item", "", maxTextBytes);
        violation.description_ = reader.stringOr("what", "", maxTextBytes);
        if (const JsonValue* trace = reader.array("trace")) {
            for (const JsonValue& line : *trace)
                line.getValue(violation.trace_.emplace_back());
        }
        reader.finish();
        return violation;
    }

    RepeatResult parseRepeat(const JsonValue& value, std::vector<Error>& errors)
    {
        ObjectReader reader(value, "repeats", errors);
        RepeatResult repeat;
        repeat.seed_ = static_cast<std::uint64_t>(reader.integer("seed", 0, std::numeric_limits<std::int64_t>::max()));
        if (const JsonValue* measures = reader.object("measures")) {
            for (const JsonValue& member : *measures)
                member.getValue(repeat.measures_.values_[member.name()]);
        }
        if (const JsonValue* series = reader.object("series")) {
            for (const JsonValue& member : *series)
                repeat.measures_.series_[member.name()] = readSeries(member);
        }
        if (const JsonValue* violations = reader.array("violations")) {
            for (const JsonValue& item : *violations)
                repeat.violations_.push_back(parseViolation(item, errors));
        }
        reader.finish();
        return repeat;
    }

}

std::map<std::string, MeasureSummary> summarise(const ExperimentResult& result)
{
    std::map<std::string, std::vector<double>> values;
    for (const RepeatResult& repeat : result.repeats_) {
        for (const auto& [name, value] : repeat.measures_.values_)
            values[name].push_back(value);
    }
    std::map<std::string, MeasureSummary> summaries;
    for (const auto& [name, list] : values) {
        double sum = 0;
        for (const double value : list)
            sum += value;
        summaries[name] = { sum / static_cast<double>(list.size()), *std::min_element(list.begin(), list.end()), *std::max_element(list.begin(), list.end()) };
    }
    return summaries;
}

JsonValue toJson(const ExperimentResult& result)
{
    JsonValue value = jsonObject();
    value.addMember("experiment") <<= result.experiment_;
    value.addMember("deployment") <<= result.deployment_;
    JsonValue& repeats = value.addMember("repeats");
    repeats.setCategory(JsonValue::Array);
    for (const RepeatResult& repeat : result.repeats_) {
        JsonValue& item = repeats.addMember("");
        item.setCategory(JsonValue::Object);
        item.addMember("seed") <<= repeat.seed_;
        JsonValue& measures = item.addMember("measures");
        measures.setCategory(JsonValue::Object);
        for (const auto& [name, number] : repeat.measures_.values_)
            measures.addMember(name) <<= number;
        JsonValue& series = item.addMember("series");
        series.setCategory(JsonValue::Object);
        for (const auto& [name, points] : repeat.measures_.series_)
            writeSeries(points, series.addMember(name));
        JsonValue& violations = item.addMember("violations");
        violations.setCategory(JsonValue::Array);
        for (const Violation& violation : repeat.violations_)
            writeViolation(violation, violations.addMember(""));
    }
    return value;
}

ValidationResult<ExperimentResult> parseResult(const JsonValue& value)
{
    std::vector<Error> errors;
    ObjectReader reader(value, "", errors);
    ExperimentResult result;
    result.experiment_ = reader.string("experiment");
    result.deployment_ = reader.string("deployment");
    if (const JsonValue* repeats = reader.array("repeats")) {
        for (const JsonValue& item : *repeats)
            result.repeats_.push_back(parseRepeat(item, errors));
    }
    reader.finish();
    if (!errors.empty())
        return tl::unexpected<std::vector<Error>>(errors);
    return result;
}

}
