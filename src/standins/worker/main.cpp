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

/** Interval at which the state of all workers is advanced. */
constexpr Duration advanceInterval = std::chrono::milliseconds(10);
/** The clocks of any two workers differ by at least this much. */
constexpr Duration clockOffsetStep = std::chrono::seconds(1000);

/** Command line options. */
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
        { "address", 'a', POPT_ARG_STRING, &options.address_, 0, "Address of the first worker; the others use the ports after it", "IP:PORT" },
        { "fault-address", 'f', POPT_ARG_STRING, &options.faultAddress_, 0, "Address of the fault port", "IP:PORT" },
        { "platform", 'p', POPT_ARG_STRING, &options.platform_, 0, "Fault port of the platform stand-in, where the workers register", "IP:PORT" },
        { "data-centre", 'd', POPT_ARG_STRING, &options.dataCentre_, 0, "Data centre of the workers", "NAME" },
        { "prefix", 0, POPT_ARG_STRING, &options.prefix_, 0, "Prefix of the workers' names", "NAME" },
        { "workers", 'n', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.workers_, 0, "Workers in this process", "N" },
        { "rack-size", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.rackSize_, 0, "Workers per rack", "N" },
        { "accelerators", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.accelerators_, 0, "Accelerators per worker", "N" },
        { "processor-millis", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.processorMillis_, 0, "Processor cores per worker, in thousandths", "N" },
        { "memory-gb", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.memoryGigabytes_, 0, "Memory per worker", "GB" },
        { "checkpoint-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.checkpointMilliseconds_, 0, "Time to write a checkpoint", "MS" },
        { "usage-lag-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.usageLagMilliseconds_, 0, "Delay until the usage of a task is reported", "MS" },
        { "run-scale", 0, POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT, &options.runScale_, 0, "Factor applied to declared run times", "X" },
        { "seed", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.seed_, 0, "Random seed of the faults", "N" },
        POPT_AUTOHELP
            POPT_TABLEEND
    };
    parseCommandLine(argc, argv, table, "\nStands in for workers in tests and in the demo.");
    return options;
}

WorkerIdentity workerIdentity(const Options& options, int index)
{
    WorkerIdentity worker;
    const std::string dataCentre = options.dataCentre_;
    worker.id_ = dataCentre + "-" + options.prefix_ + "-" + std::to_string(index);
    worker.rack_ = dataCentre + "-" + options.prefix_ + "-rack-" + std::to_string(index / std::max(1, options.rackSize_));
    worker.dataCentre_ = dataCentre;
    worker.capacity_.accelerators_ = options.accelerators_;
    worker.capacity_.processorMillis_ = options.processorMillis_;
    worker.capacity_.memoryBytes_ = static_cast<std::int64_t>(options.memoryGigabytes_) << 30U;
    worker.clockOffset_ = clockOffsetStep * (index + 1);
    return worker;
}

JsonValue instanceEntries(const std::vector<std::unique_ptr<WorkerModel>>& models, const Address& first, bool isLeaving)
{
    JsonValue list = jsonArray();
    int index = 0;
    for (const auto& model : models) {
        const WorkerIdentity& worker = model->identity();
        JsonValue& item = list.addMember("");
        item = instanceEntry(worker.id_, "worker", worker.dataCentre_, withPortOffset(first, index++), worker.rack_, isLeaving);
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
    const WorkerTiming timing { std::chrono::milliseconds(options.checkpointMilliseconds_), std::chrono::milliseconds(options.usageLagMilliseconds_) };

    std::vector<std::unique_ptr<WorkerModel>> models;
    std::vector<std::unique_ptr<WorkerEndpoint>> endpoints;
    std::vector<std::unique_ptr<HttpListener>> listeners;
    for (int index = 0; index < options.workers_; ++index) {
        models.push_back(std::make_unique<WorkerModel>(workerIdentity(options, index), timing, log, faults, checkpoints));
        endpoints.push_back(std::make_unique<WorkerEndpoint>(*models.back(), options.runScale_));
        listeners.push_back(std::make_unique<HttpListener>(loop, withPortOffset(first, index), *endpoints.back(), &faults, models.back()->identity().id_, &traffic));
    }
    loop.runEvery(advanceInterval, [&models] {
        for (const auto& model : models)
            model->advance(monotonicNow());
    });

    std::vector<std::thread> registrations;
    const auto registerWorkers = [&](bool isLeaving) {
        if (options.platform_)
            registrations.emplace_back(registerInstances, addressOption("platform", options.platform_), instanceEntries(models, first, isLeaving));
    };
    FaultPort faultPort(faults, log, traffic, [&](const HttpRequest& request) {
        if (request.method_ != "POST" || request.path_ != "/leave")
            return notFound(request);
        registerWorkers(true);
        return jsonResponse(200, jsonObject());
    });
    const HttpListener faultListener(loop, addressOption("fault-address", options.faultAddress_), faultPort, nullptr, "");
    registerWorkers(false);
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
