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

/** Threads that run blocking commands, each not before its moment. */
class CommandPool {
public:
    explicit CommandPool(std::size_t threads);
    /** Drops what has not begun and waits for the rest. */
    ~CommandPool();

    CommandPool(const CommandPool&) = delete;
    CommandPool& operator=(const CommandPool&) = delete;

    void post(Time notBefore, std::function<void()> command);

    /** Drops what has not begun. */
    void clear();

    std::size_t waiting() const;

private:
    void run();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::multimap<Time, std::function<void()>> commands_;
    bool isStopping_ = false;
    std::vector<std::thread> threads_;
};

}
