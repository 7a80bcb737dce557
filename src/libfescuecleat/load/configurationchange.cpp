#include "load/configurationchange.h"

#include <thread>

namespace fescuecleat {

namespace {

    constexpr Duration retryInterval = std::chrono::milliseconds(500);
    constexpr int firstErrorStatus = 400;
    constexpr int statusConflict = 409;

    void copyMember(const JsonValue& from, const char* name, JsonValue& to)
    {
        const JsonValue* member = from.findMember(name);
        if (!member)
            return;
        JsonValue& copied = to.addMember(name);
        copied = *member;
        copied.setName(name);
    }

    std::string submissionBody(const HttpResponse& current, const std::function<void(JsonValue& base)>& edit)
    {
        const Result<JsonValue> shown = parseJson(current.body_);
        JsonValue body = jsonObject();
        body.addMember("expected_version") <<= versionOf(current);
        body.addMember("who") <<= std::string("fescuecleat-load");
        copyMember(*shown, "base", body);
        copyMember(*shown, "overlays", body);
        if (JsonValue* base = body.findMember("base"))
            edit(*base);
        return writeJson(body);
    }

}

Result<AcceptedConfiguration> changeConfiguration(const OperatorClient& operators, const std::function<void(JsonValue& base)>& edit, const std::atomic<bool>& isStopped)
{
    const auto current = operators.callAny("GET", "/v1/configuration", "");
    if (!current || versionOf(*current) < 0)
        return failure(ErrorKind::Unavailable, "the configuration can't be read", "wait until the store is back");
    AcceptedConfiguration accepted;
    accepted.requestedAt_ = monotonicNow();
    const auto written = operators.callAny("PUT", "/v1/configuration", submissionBody(*current, edit));
    if (!written || written->status_ >= firstErrorStatus)
        return failure(written && written->status_ == statusConflict ? ErrorKind::Conflict : ErrorKind::Unavailable, "the configuration could not be written: " + (written ? written->body_ : written.error().message_), "read the newest version and try again");
    accepted.version_ = versionOf(*written);
    bool isAccepted = memberText(*written, "status") == "accepted";
    while (!isAccepted && !isStopped) {
        std::this_thread::sleep_for(retryInterval);
        const auto response = operators.callAny("GET", "/v1/configuration", "");
        isAccepted = response && versionOf(*response) >= accepted.version_ && memberText(*response, "status") == "accepted";
    }
    accepted.acceptedAt_ = monotonicNow();
    if (!isAccepted)
        return failure(ErrorKind::Unavailable, "version " + std::to_string(accepted.version_) + " was written but is not in force in every data centre", "check which data centres are missing");
    return accepted;
}

void setPolicy(JsonValue& base, const JsonValue& policy)
{
    JsonValue* present = base.findMember("policy");
    JsonValue& target = present ? *present : base.addMember("policy");
    target.setCategory(JsonValue::Object);
    for (const JsonValue& member : policy) {
        JsonValue* old = target.findMember(member.name());
        JsonValue& changed = old ? *old : target.addMember(member.name());
        changed = member;
        changed.setName(member.name());
    }
}

}
