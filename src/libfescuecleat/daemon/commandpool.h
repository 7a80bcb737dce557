#pragma once

#include "base/time.h"

#include <condition_variable>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace fescuecleat {

/** Thread pool for blocking commands, each with an earliest start time. */
class CommandPool {
public:
    explicit CommandPool(std::size_t threads);
    /** Drops commands that have not started and waits for those that run. */
    ~CommandPool();

    CommandPool(const CommandPool&) = delete;
    CommandPool& operator=(const CommandPool&) = delete;

    void post(Time notBefore, std::function<void()> command);

    /** Drops commands that have not started. */
    void clear();

    /** Number of commands that have not started. */
    std::size_t queued() const;

private:
    void run();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<Time, std::function<void()>> commands_;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

}
