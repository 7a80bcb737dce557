#include "standinsettings.h"

#include "checkedobject.h"

namespace fescuecleat {

namespace {

    using Json = nlohmann::json;

    constexpr std::int64_t maxPort = 65535;
    constexpr std::int64_t maxWorkers = 1000;
    constexpr std::int64_t maxAmount = 1LL << 40;
    constexpr std::int64_t maxDurationMs = 86400000;

    SocketAddress readAddress(CheckedObject& object, const char* name)
    {
        const auto text = object.text(name);
        if (!text)
            object.refuse(name, "is missing");
        const auto address = parseSocketAddress(*text);
        if (!address)
            object.refuse(name, "is no address: " + address.error().message_);
        return *address;
    }

    void readWorkers(CheckedObject object, StandinSettings& settings)
    {
        settings.workerHost_ = object.text("host").value_or(settings.workerHost_);
        if (!parseSocketAddress(settings.workerHost_ + ":1"))
            object.refuse("host", "is no IPv4 address");
        const auto port = object.integer("firstPort", 1, maxPort);
        if (!port)
            object.refuse("firstPort", "is missing");
        const auto count = object.integer("count", 1, maxWorkers);
        if (!count)
            object.refuse("count", "is missing");
        if (*port + *count - 1 > maxPort)
            object.refuse("count", "leaves no port for the last worker");
        settings.firstWorkerPort_ = static_cast<std::uint16_t>(*port);
        settings.workerCount_ = static_cast<int>(*count);
        settings.workersPerRack_ = static_cast<int>(object.integer("perRack", 1, maxWorkers).value_or(settings.workersPerRack_));
        settings.dataCentres_ = object.texts("dataCentres").value_or(settings.dataCentres_);
        settings.service_ = object.text("service").value_or(settings.service_);
        Resources& capacity = settings.capacity_;
        capacity.cpuMillis_ = object.integer("cpuMillis", 0, maxAmount).value_or(capacity.cpuMillis_);
        capacity.memoryMb_ = object.integer("memoryMb", 0, maxAmount).value_or(capacity.memoryMb_);
        capacity.accelerators_ = object.integer("accelerators", 0, maxAmount).value_or(capacity.accelerators_);
        object.refuseOthers();
    }

    Duration readMilliseconds(CheckedObject& object, const char* name, Duration fallback)
    {
        return std::chrono::milliseconds(object.integer(name, 1, maxDurationMs).value_or(wholeMilliseconds(fallback)));
    }

}

Result<StandinSettings> parseStandinSettings(const std::string& text)
{
    try {
        const Json json = Json::parse(text, nullptr, true, true);
        CheckedObject object(json, {});
        StandinSettings settings;
        settings.seed_ = static_cast<std::uint32_t>(object.integer("seed", 0, UINT32_MAX).value_or(settings.seed_));
        settings.store_ = readAddress(object, "store");
        settings.control_ = readAddress(object, "control");
        auto workers = object.object("workers");
        if (!workers)
            object.refuse("workers", "is missing");
        readWorkers(*workers, settings);
        settings.heartbeatPeriod_ = readMilliseconds(object, "heartbeatMs", settings.heartbeatPeriod_);
        settings.maxLease_ = readMilliseconds(object, "maxLeaseMs", settings.maxLease_);
        settings.deadlyPayload_ = object.text("deadlyPayload").value_or(settings.deadlyPayload_);
        settings.runTimeFactor_ = object.number("runTimeFactor", 0, 1000).value_or(settings.runTimeFactor_);
        object.refuseOthers();
        return settings;
    } catch (const Json::exception& error) {
        return failure(ErrorKind::InvalidSyntax, std::string("the settings can't be read: ") + error.what(), "correct the named member");
    }
}

}
