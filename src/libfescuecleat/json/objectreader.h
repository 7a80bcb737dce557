#pragma once

#include "base/result.h"
#include "json/json.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Reads the members of a JSON object as typed values and collects all errors
 * instead of stopping at the first one:
 *
 *     ObjectReader reader(value, path, errors);
 *     job.tasks_ = reader.integer("tasks", 1, 128);
 *     reader.finish();   // reports unknown members
 */
class ObjectReader {
public:
    /** `path` is the location of the object in errors. `value` and `errors` must outlive the reader. */
    ObjectReader(const JsonValue& value, std::string path, std::vector<Error>& errors);

    bool has(const std::string& name) const;
    const std::string& path() const { return path_; }
    std::string pathOf(const std::string& name) const;

    /** Reads a required integer within [min, max]. Returns `min` after an error. */
    std::int64_t integer(const std::string& name, std::int64_t min, std::int64_t max);
    std::int64_t integerOr(const std::string& name, std::int64_t fallback, std::int64_t min, std::int64_t max);

    /** Reads a required number within [min, max]. Returns `min` after an error. */
    double number(const std::string& name, double min, double max);
    double numberOr(const std::string& name, double fallback, double min, double max);

    /** Reads a required string of 1 to `maxBytes` bytes. Returns an empty string after an error. */
    std::string string(const std::string& name, std::size_t maxBytes = 256);
    std::string stringOr(const std::string& name, std::string fallback, std::size_t maxBytes = 256);

    bool boolean(const std::string& name);
    bool booleanOr(const std::string& name, bool fallback);

    /** Returns an object member, or nullptr if it is missing or has another type. Missing is an error only if `required`. */
    const JsonValue* object(const std::string& name, bool required = true);

    /** Returns an array member, or nullptr if it is missing or has another type. Missing is an error only if `required`. */
    const JsonValue* array(const std::string& name, bool required = true);

    /** Returns a member of any type without checking it, or nullptr if it is missing. */
    const JsonValue* any(const std::string& name);

    /** Reports each member that was not read as unknown. */
    void finish();

    /** Adds an error located at the member `name`. */
    void report(ErrorKind, std::string message, std::string remedy, const std::string& name);

private:
    const JsonValue* find(const std::string& name, bool required);

    const JsonValue& value_;
    std::string path_;
    std::vector<Error>& errors_;
    std::set<std::string> readMembers_;
};

}
