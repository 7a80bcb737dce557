#pragma once

#include "base/result.h"
#include "json/json.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Reads the members of one JSON object into typed values and collects every
 * error instead of stopping at the first. Parse functions of aggregates use it:
 *
 *     ObjectReader reader(value, path, errors);
 *     job.tasks_ = reader.integer("tasks", 1, 128);
 *     reader.finish();   // reports members that nobody asked for
 */
class ObjectReader {
public:
    /** `path` locates the object in errors; `errors` outlives the reader. */
    ObjectReader(const JsonValue& value, std::string path, std::vector<Error>& errors);

    bool has(const std::string& name) const;
    const std::string& path() const { return path_; }
    std::string pathOf(const std::string& name) const;

    /** A required integer within [least, most]; `least` after an error. */
    std::int64_t integer(const std::string& name, std::int64_t least, std::int64_t most);
    std::int64_t integerOr(const std::string& name, std::int64_t fallback, std::int64_t least, std::int64_t most);

    /** A required number within [least, most]; `least` after an error. */
    double number(const std::string& name, double least, double most);
    double numberOr(const std::string& name, double fallback, double least, double most);

    /** A required string of 1 to `longest` bytes. */
    std::string string(const std::string& name, std::size_t longest = 256);
    std::string stringOr(const std::string& name, std::string fallback, std::size_t longest = 256);

    bool boolean(const std::string& name);
    bool booleanOr(const std::string& name, bool fallback);

    /** A member of category Object or nullptr; missing is an error only if `required`. */
    const JsonValue* object(const std::string& name, bool required = true);

    /** A member of category Array or nullptr; missing is an error only if `required`. */
    const JsonValue* array(const std::string& name, bool required = true);

    /** Any member, unchecked, or nullptr. */
    const JsonValue* any(const std::string& name);

    /** Reports every member that was not read. */
    void finish();

    void report(ErrorKind, std::string message, std::string remedy, const std::string& name);

private:
    const JsonValue* find(const std::string& name, bool required);

    const JsonValue& value_;
    std::string path_;
    std::vector<Error>& errors_;
    std::set<std::string> read_;
};

}
