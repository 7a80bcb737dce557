#pragma once

#include "operatorrows.h"
#include "platformfaults.h"
#include "poolmodel/fakerowstore.h"
#include "poolmodel/modelworkers.h"
#include "registryrows.h"
#include "standinsettings.h"
#include "storeendpoint.h"
#include "workerendpoint.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace fescuecleat {

/** A change of a worker between two incarnations; empty members stay. */
struct WorkerRestart {
    std::string worker_;
    Duration downtime_ {};
    std::string label_;
    std::string service_;
};

/**
 * Stands in for the users' platform: row store, registry and workers. Learns the jobs from
 * the rows that the instances write, and checks what they order the workers to do.
 */
class PoolStandin {
public:
    PoolStandin(const std::shared_ptr<boost::asio::io_context>&, const StandinSettings&);

    /** Listens on all addresses but the control's, and starts the workers. */
    Result<void> start();

    const PlatformFaults& faults() const { return faults_; }
    void applyFaults(const PlatformFaults&);
    /** A worker that is down is restarted as soon as it is up. */
    Result<void> restart(const WorkerRestart&);
    /** Takes a worker that runs on out of the registry. */
    Result<void> hide(const std::string& worker, Time until);
    /** Changes how many accelerators a worker has, and the rest of its capacity with them. */
    Result<void> resize(const std::string& worker, std::int64_t accelerators);
    /** Stores the configuration; fails if the instances couldn't read it. */
    Result<void> setConfiguration(const std::string& text);
    void setClosed(const std::string& dataCentre, bool isClosed);
    nlohmann::json audit() const;

private:
    struct Member {
        std::unique_ptr<WorkerEndpoint> endpoint_;
        std::string rack_;
        std::string dataCentre_;
        Time nextHeartbeat_ {};
        Time hiddenUntil_ {};
        /** When the worker was last up. */
        Time lastUp_ {};
        /** Incarnation in the registry; 0 if the worker has no entry. */
        std::int64_t registered_ = 0;
        std::uint64_t sequence_ = 0;
    };

    void runWorkers();
    void applyHeldBack();
    void update(Member&, Time now);
    void enter(Member&);
    void leave(Member&);
    Member* find(const std::string& worker);
    void observe(const std::string& table, const StoredRow&);
    void learnJob(const StoredRow&);

    const StandinSettings settings_;
    const OperatorRows operatorRows_;
    const RegistryRows registryRows_;
    PlatformFaults faults_;
    FakeRowStore store_;
    ModelWorkers workers_;
    std::unique_ptr<PoolWorkerClient> client_;
    StoreEndpoint storeEndpoint_;
    std::vector<Member> members_;
    /** Number of tasks of each job. */
    std::map<std::string, int> jobs_;
    Timer workerTimer_;
    Timer heldBackTimer_;
};

}
