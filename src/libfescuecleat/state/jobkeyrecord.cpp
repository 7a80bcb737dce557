#include "state/jobkeyrecord.h"

#include "state/recordreader.h"

#include <array>
#include <sodium.h>

namespace fescuecleat {

namespace {

    constexpr std::size_t hashBytes = 16;
    constexpr std::size_t maxNameBytes = 256;

}

std::string writeJobKeyRecord(const JobKeyRecord& record)
{
    JsonValue value = jsonObject();
    value.addMember("format") <<= jobKeyRecordFormat;
    value.addMember("job") <<= record.job_.value();
    value.addMember("data_centre") <<= record.dataCentre_.value();
    value.addMember("request_hash") <<= record.requestHash_;
    return writeJson(value);
}

Result<JobKeyRecord> parseJobKeyRecord(const std::string& text, const std::string& location)
{
    const Result<JsonValue> value = parseJson(text, location);
    if (!value)
        return tl::unexpected<Error>(value.error());
    std::vector<Error> errors;
    ObjectReader reader(*value, location, errors);
    if (!readFormat(reader, jobKeyRecordFormat))
        return tl::unexpected<Error>(errors.front());
    JobKeyRecord record;
    record.job_ = JobId(reader.string("job", maxNameBytes));
    record.dataCentre_ = DataCentreId(reader.string("data_centre", maxNameBytes));
    record.requestHash_ = reader.string("request_hash", maxNameBytes);
    reader.finish();
    if (!errors.empty())
        return tl::unexpected<Error>(errors.front());
    return record;
}

std::string hashText(const std::string& text)
{
    std::array<unsigned char, hashBytes> hash {};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(text.data()), text.size(), nullptr, 0);
    std::array<char, 2 * hashBytes + 1> digits {};
    sodium_bin2hex(digits.data(), digits.size(), hash.data(), hash.size());
    return digits.data();
}

}
