#include "standins/common/commandline.h"
#include "standins/common/faultport.h"
#include "standins/common/httplistener.h"
#include "standins/common/registration.h"
#include "standins/common/signals.h"
#include "standins/worker/workerendpoint.h"

#include <algorithm>
#include <exception>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

using namespace fescuecleat;
using namespace fescuecleat::standins;

namespace {

/** How often due work is looked for. */
constexpr Duration advanceInterval = std::chrono::milliseconds(10);
/** Clocks of two workers differ by at least this much. */
constexpr Duration clockStep = std::chrono::seconds(1000);

/** Values of the command line. */
struct Options {
    char* address_ = nullptr;
    char* faultAddress_ = nullptr;
    char* platform_ = nullptr;
    const char* dataCentre_ = "catania";
    const char* prefix_ = "worker";
    int workers_ = 1;
    int rackSize_ = 8;
    int accelerators_ = 8;
    int processorMillis_ = 64000;
    int memoryGigabytes_ = 256;
    int checkpointMilliseconds_ = 200;
    int usageLagMilliseconds_ = 1000;
    double runScale_ = 1;
    int seed_ = 1;
};

Options parse(int argc, const char** argv)
{
    Options options;
    const poptOption table[] = {
        { "address", 'a', POPT_ARG_STRING, &options.address_, 0, "Address of the first worker; the others take the ports after it", "IP:PORT" },
        { "fault-address", 'f', POPT_ARG_STRING, &options.faultAddress_, 0, "Where faults are set", "IP:PORT" },
        { "platform", 'p', POPT_ARG_STRING, &options.platform_, 0, "Fault port of the platform stand-in, where the workers are listed", "IP:PORT" },
        { "data-centre", 'd', POPT_ARG_STRING, &options.dataCentre_, 0, "Data centre of the workers", "NAME" },
        { "prefix", 0, POPT_ARG_STRING, &options.prefix_, 0, "Begin of the workers' names", "NAME" },
        { "workers", 'n', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.workers_, 0, "Workers in this process", "N" },
        { "rack-size", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.rackSize_, 0, "Workers of a rack", "N" },
        { "accelerators", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.accelerators_, 0, "Accelerators of a worker", "N" },
        { "processor-millis", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.processorMillis_, 0, "Processor cores of a worker in thousandths", "N" },
        { "memory-gb", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.memoryGigabytes_, 0, "Memory of a worker", "GB" },
        { "checkpoint-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.checkpointMilliseconds_, 0, "Time that a checkpoint takes", "MS" },
        { "usage-lag-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.usageLagMilliseconds_, 0, "Lag of the reported usage", "MS" },
        { "run-scale", 0, POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, &options.runScale_, 0, "Factor on declared run times", "X" },
        { "seed", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.seed_, 0, "Seed of the faults", "N" },
        POPT_AUTOHELP
            POPT_TABLEEND
    };
    parseCommandLine(argc, argv, table, "\nTakes the place of workers in tests and in the demo.");
    return options;
}

WorkerIdentity identity(const Options& options, int index)
{
    WorkerIdentity worker;
    const std::string dataCentre = options.dataCentre_;
    worker.id_ = dataCentre + "-" + options.prefix_ + "-" + std::to_string(index);
    worker.rack_ = dataCentre + "-" + options.prefix_ + "-rack-" + std::to_string(index / std::max(1, options.rackSize_));
    worker.dataCentre_ = dataCentre;
    worker.capacity_.accelerators_ = options.accelerators_;
    worker.capacity_.processorMillis_ = options.processorMillis_;
    worker.capacity_.memoryBytes_ = static_cast<std::int64_t>(options.memoryGigabytes_) << 30U;
    worker.clockOffset_ = clockStep * (index + 1);
    return worker;
}

JsonValue listing(const std::vector<std::unique_ptr<WorkerModel>>& models, const Address& first, bool isLeaving)
{
    JsonValue list = jsonArray();
    int index = 0;
    for (const auto& model : models) {
        const WorkerIdentity& worker = model->identity();
        JsonValue& item = list.addMember("");
        item = listedInstance(worker.id_, "worker", worker.dataCentre_, shifted(first, index++), worker.rack_, isLeaving);
        item.setName("");
    }
    return list;
}

void run(const Options& options)
{
    EventLoop loop;
    stopOnSignals(loop);
    FaultSet faults(static_cast<std::uint64_t>(options.seed_));
    EventLog log;
    Traffic traffic;
    Checkpoints checkpoints;
    const Address first = addressOption("address", options.address_);
    const WorkerTimes times { std::chrono::milliseconds(options.checkpointMilliseconds_), std::chrono::milliseconds(options.usageLagMilliseconds_) };

    std::vector<std::unique_ptr<WorkerModel>> models;
    std::vector<std::unique_ptr<WorkerEndpoint>> endpoints;
    std::vector<std::unique_ptr<HttpListener>> listeners;
    for (int index = 0; index < options.workers_; ++index) {
        models.push_back(std::make_unique<WorkerModel>(identity(options, index), times, log, faults, checkpoints));
        endpoints.push_back(std::make_unique<WorkerEndpoint>(*models.back(), options.runScale_));
        listeners.push_back(std::make_unique<HttpListener>(loop, shifted(first, index), *endpoints.back(), &faults, models.back()->identity().id_, &traffic));
    }
    loop.every(advanceInterval, [&models] {
        for (const auto& model : models)
            model->advance(monotonicNow());
    });

    std::vector<std::thread> registrations;
    const auto list = [&](bool isLeaving) {
        if (options.platform_)
            registrations.emplace_back(registerInstances, addressOption("platform", options.platform_), listing(models, first, isLeaving));
    };
    FaultPort faultPort(faults, log, traffic, [&](const HttpRequest& request) {
        if (request.method_ != "POST" || request.path_ != "/leave")
            return notFound(request);
        list(true);
        return jsonResponse(200, jsonObject());
    });
    const HttpListener control(loop, addressOption("fault-address", options.faultAddress_), faultPort, nullptr, "");
    list(false);
    loop.run();
    for (std::thread& registration : registrations)
        registration.join();
}

}

/** The worker stand-in. */
int main(int argc, const char** argv)
{
    try {
        run(parse(argc, argv));
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "fescuecleat-standin-worker: " << error.what() << "\n";
        return 1;
    }
}
