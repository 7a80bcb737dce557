#include "api/drainrequest.h"

#include "json/objectreader.h"

namespace fescuecleat {

namespace {

    constexpr std::int64_t maxDrainMs = std::int64_t { 24 } * 3600 * 1000; // one day

}

ValidationResult<DrainRequest> parseDrainRequest(const JsonValue& value, Time now)
{
    std::vector<Error> errors;
    ObjectReader reader(value, {}, errors);
    DrainRequest request;
    request.deadline_ = now + std::chrono::milliseconds(reader.integer("deadline_ms", 0, maxDrainMs));
    reader.finish();
    if (!errors.empty())
        return tl::make_unexpected(std::move(errors));
    return request;
}

}
