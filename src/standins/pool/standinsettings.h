#pragma once

#include "base/result.h"
#include "base/time.h"
#include "net/socketaddress.h"
#include "pool/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace fescuecleat {

/** What the stand-in reads at its start. Members that the file lacks keep these values. */
struct StandinSettings {
    std::uint32_t seed_ = 1;
    SocketAddress store_;
    SocketAddress control_;
    std::string workerHost_ = "127.0.0.1";
    /** Worker i listens on this port plus i. */
    std::uint16_t firstWorkerPort_ = 0;
    int workerCount_ = 0;
    int workersPerRack_ = 8;
    /** Racks are assigned to data centres in turn. */
    std::vector<std::string> dataCentres_ { "north" };
    std::string service_ = "service";
    Resources capacity_ { 64000, 256000, 8 };
    Duration heartbeatPeriod_ = std::chrono::milliseconds(1500);
    Duration maxLease_ = std::chrono::seconds(6);
    double runTimeFactor_ = 1;
    /** Jobs with this payload have a first task that crashes each worker that starts it; empty for none. */
    std::string deadlyPayload_;
};

/** Parses settings: JSON with comments. Fails if a member is unknown, invalid, or required and missing. */
Result<StandinSettings> parseStandinSettings(const std::string& text);

}
