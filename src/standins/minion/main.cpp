#include "standins/common/commandline.h"
#include "standins/common/faultport.h"
#include "standins/common/httplistener.h"
#include "standins/common/registration.h"
#include "standins/common/signals.h"
#include "standins/minion/minionmodel.h"

#include <exception>
#include <iostream>
#include <memory>
#include <thread>
#include <vector>

using namespace fescuecleat;
using namespace fescuecleat::standins;

namespace {

/** Command line options. */
struct Options {
    char* address_ = nullptr;
    char* faultAddress_ = nullptr;
    char* platform_ = nullptr;
    const char* dataCentre_ = "catania";
    const char* service_ = "rilievo";
    const char* prefix_ = "minion";
    int minions_ = 1;
    int slots_ = 8;
    int queueLimit_ = 52;
    int workMilliseconds_ = 20;
    int seed_ = 1;
};

Options parse(int argc, const char** argv)
{
    Options options;
    const poptOption table[] = {
        { "address", 'a', POPT_ARG_STRING, &options.address_, 0, "Address of the first minion; the others use the ports after it", "IP:PORT" },
        { "fault-address", 'f', POPT_ARG_STRING, &options.faultAddress_, 0, "Address of the fault port", "IP:PORT" },
        { "platform", 'p', POPT_ARG_STRING, &options.platform_, 0, "Fault port of the platform stand-in, where the minions register", "IP:PORT" },
        { "data-centre", 'd', POPT_ARG_STRING, &options.dataCentre_, 0, "Data centre of the minions", "NAME" },
        { "service", 's', POPT_ARG_STRING, &options.service_, 0, "Service of the minions", "NAME" },
        { "prefix", 0, POPT_ARG_STRING, &options.prefix_, 0, "Prefix of the minions' names", "NAME" },
        { "minions", 'n', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.minions_, 0, "Minions in this process", "N" },
        { "slots", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.slots_, 0, "Requests that a minion processes at the same time", "N" },
        { "queue", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.queueLimit_, 0, "Maximum number of queued requests per minion", "N" },
        { "work-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.workMilliseconds_, 0, "Processing time of a request that specifies none", "MS" },
        { "seed", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &options.seed_, 0, "Random seed of the faults", "N" },
        POPT_AUTOHELP
            POPT_TABLEEND
    };
    parseCommandLine(argc, argv, table, "\nStands in for minions in tests and in the demo.");
    return options;
}

/** The minions of one process. */
class Minions {
public:
    Minions(const Options& options, EventLoop& loop, EventLog& log, FaultSet& faults, Traffic& traffic)
        : options_(options)
        , first_(addressOption("address", options.address_))
    {
        for (int index = 0; index < options.minions_; ++index) {
            MinionIdentity identity;
            identity.id_ = std::string(options.dataCentre_) + "-" + options.prefix_ + "-" + std::to_string(index);
            identity.service_ = options.service_;
            identity.slots_ = options.slots_;
            identity.queueLimit_ = options.queueLimit_;
            identity.defaultWorkTime_ = std::chrono::milliseconds(options.workMilliseconds_);
            models_.push_back(std::make_unique<MinionModel>(identity, loop, log));
            listeners_.push_back(std::make_unique<HttpListener>(loop, withPortOffset(first_, index), *models_.back(), &faults, identity.id_, &traffic));
        }
    }

    ~Minions()
    {
        for (std::thread& registration : registrations_)
            registration.join();
    }

    /** Registers the minion with the id `only`, or all if it is empty, at the platform stand-in. */
    void registerMinions(const std::string& only, bool isLeaving)
    {
        if (!options_.platform_)
            return;
        JsonValue entries = jsonArray();
        for (std::size_t index = 0; index < models_.size(); ++index) {
            const MinionIdentity& identity = models_[index]->identity();
            if (!only.empty() && only != identity.id_)
                continue;
            JsonValue& item = entries.addMember("");
            item = instanceEntry(identity.id_, "minion", options_.dataCentre_, withPortOffset(first_, static_cast<int>(index)), identity.service_, isLeaving);
            item.setName("");
        }
        registrations_.emplace_back(registerInstances, addressOption("platform", options_.platform_), entries);
    }

    HttpResponse handleFaultPort(const HttpRequest& request)
    {
        if (request.method_ != "POST" || request.path_ != "/leave")
            return notFound(request);
        const auto named = request.query_.find("instance");
        const std::string only = named == request.query_.end() ? "" : named->second;
        for (const auto& model : models_) {
            if (only.empty() || only == model->identity().id_)
                model->startLeaving();
        }
        registerMinions(only, true);
        return jsonResponse(200, jsonObject());
    }

private:
    const Options& options_;
    Address first_;
    std::vector<std::unique_ptr<MinionModel>> models_;
    std::vector<std::unique_ptr<HttpListener>> listeners_;
    std::vector<std::thread> registrations_;
};

void run(const Options& options)
{
    EventLoop loop;
    stopOnSignals(loop);
    FaultSet faults(static_cast<std::uint64_t>(options.seed_));
    EventLog log;
    Traffic traffic;
    Minions minions(options, loop, log, faults, traffic);
    FaultPort faultPort(faults, log, traffic, [&minions](const HttpRequest& request) { return minions.handleFaultPort(request); });
    const HttpListener faultListener(loop, addressOption("fault-address", options.faultAddress_), faultPort, nullptr, "");
    minions.registerMinions("", false);
    loop.run();
}

}

/** The minion stand-in. */
int main(int argc, const char** argv)
{
    try {
        run(parse(argc, argv));
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "fescuecleat-standin-minion: " << error.what() << "\n";
        return 1;
    }
}
