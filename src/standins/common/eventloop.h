#pragma once

#include "base/time.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace fescuecleat::standins {

/**
 * Single-threaded loop for sockets and timers. A stand-in hosts dozens of
 * workers or minions in one process, so none of them has a thread of its own.
 */
class EventLoop {
public:
    using Callback = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /** Calls `ready` whenever the descriptor is readable (`wantsRead`) or writable (`wantsWrite`). Replaces an earlier watch. */
    void watch(int descriptor, bool wantsRead, bool wantsWrite, Callback ready);
    void unwatch(int descriptor);

    /** Runs the callback once, not before the given time. */
    void runAt(Time, Callback);

    /** Runs the callback periodically, first after one interval. */
    void runEvery(Duration, const Callback&);

    /** Runs until stop() is called, which any thread or signal handler may do. */
    void run();
    void stop() { isStopped_ = true; }

private:
    void runTimers(Time now);
    int epollTimeoutMs(Time now) const;

    int epoll_;
    std::map<int, std::shared_ptr<Callback>> watches_;
    std::multimap<Time, Callback> timers_;
    std::atomic<bool> isStopped_ { false };
};

}
