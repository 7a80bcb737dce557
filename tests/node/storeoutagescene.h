#pragma once

#include "node/failoverrowstore.h"
#include "node/poolfixture.h"
#include "node/relayrowstore.h"
#include "node/virtualclock.h"
#include "poolmodel/modelworkers.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuecleat {

/**
 * Three instances in virtual time that schedule more tasks than the workers can run at once, and that
 * reach the store over each other when their own path is down. The store fails for all or for the lease holder alone.
 */
class StoreOutageScene {
public:
    StoreOutageScene();
    ~StoreOutageScene();

    /** Runs until a scheduler has started tasks. */
    bool settle();
    void fail(StoreFault, Duration, bool onlyHolder);
    void run(Duration);
    /** The longest time without a start in runs since the scene has settled. */
    Duration longestGap() const { return longestGap_; }
    const std::vector<std::string>& violations() const { return workers_.violations(); }
    /** Epoch of the newest lease. */
    std::int64_t epoch() const;

private:
    struct SceneInstance;

    SceneInstance* holder();
    void submitJob(int number);
    void tick();

    VirtualClock clock_;
    boost::asio::io_context storeLoop_;
    FakeRowStore store_ { storeLoop_ };
    ModelWorkers workers_;
    FakeOperatorFormat operatorFormat_;
    FakeRegistryFormat registryFormat_;
    FakeCallerFormat callerFormat_;
    std::vector<std::unique_ptr<SceneInstance>> instances_;
    Time registryWrittenAt_ {};
    int starts_ = 0;
    Time lastStartAt_ {};
    Duration longestGap_ {};
};

}
