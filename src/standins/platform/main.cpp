#include "standins/common/commandline.h"
#include "standins/common/faultport.h"
#include "standins/common/httplistener.h"
#include "standins/common/signals.h"
#include "standins/platform/platformendpoint.h"

#include <exception>
#include <iostream>

using namespace fescuecleat;
using namespace fescuecleat::standins;

namespace {

/** Command line options. */
struct Options {
    char* address_ = nullptr;
    char* faultAddress_ = nullptr;
    int writesPerSecond_ = 400;
    int readsPerSecond_ = 2000;
    int latencyMicroseconds_ = 500;
    int instanceLagMilliseconds_ = 2000;
    int seed_ = 1;
};

Options parse(int argc, const char** argv)
{
    Options options;
    const poptOption table[] = {
        { "address", 'a', POPT_ARG_STRING, &options.address_, 0, "Address that serves the platform's API", "IP:PORT" },
        { "fault-address", 'f', POPT_ARG_STRING, &options.faultAddress_, 0, "Address of the fault port", "IP:PORT" },
        { "writes-per-second", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.writesPerSecond_, 0, "Maximum number of writes per second", "N" },
        { "reads-per-second", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.readsPerSecond_, 0, "Maximum number of reads per second", "N" },
        { "latency-us", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.latencyMicroseconds_, 0, "Latency added to each call", "US" },
        { "instance-lag-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.instanceLagMilliseconds_, 0, "Delay until changes of the instance list are visible", "MS" },
        { "seed", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.seed_, 0, "Random seed of the faults", "N" },
        POPT_AUTOHELP
            POPT_TABLEEND
    };
    parseCommandLine(argc, argv, table, "\nStands in for the platform in tests and in the demo.");
    return options;
}

void run(const Options& options)
{
    EventLoop loop;
    stopOnSignals(loop);
    FaultSet faults(static_cast<std::uint64_t>(options.seed_));
    EventLog log;
    Traffic traffic;
    PlatformLimits limits;
    limits.writesPerSecond_ = std::max(1, options.writesPerSecond_);
    limits.readsPerSecond_ = std::max(1, options.readsPerSecond_);
    limits.latency_ = Duration(options.latencyMicroseconds_);
    limits.instanceLag_ = std::chrono::milliseconds(options.instanceLagMilliseconds_);
    PlatformEndpoint endpoint(loop, log, limits);
    FaultPort faultPort(faults, log, traffic, [&endpoint](const HttpRequest& request) { return endpoint.handleFaultPort(request); });
    const HttpListener apiListener(loop, addressOption("address", options.address_), endpoint, &faults, "", &traffic);
    const HttpListener faultListener(loop, addressOption("fault-address", options.faultAddress_), faultPort, nullptr, "");
    loop.run();
}

}

/** The platform stand-in. */
int main(int argc, const char** argv)
{
    try {
        run(parse(argc, argv));
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "fescuecleat-standin-platform: " << error.what() << "\n";
        return 1;
    }
}
