#pragma once

#include "base/time.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace fescuecleat::standins {

/**
 * One thread that waits for sockets and timers. A stand-in hosts dozens of
 * workers or minions in one process, so none of them may hold a thread.
 */
class EventLoop {
public:
    using Callback = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /** Calls `ready` whenever the descriptor can be read, or written if `wantsWrite`. Replaces an earlier watch. */
    void watch(int descriptor, bool wantsRead, bool wantsWrite, Callback ready);
    void unwatch(int descriptor);

    /** Calls once, not before the time. */
    void at(Time, Callback);

    /** Calls again and again. */
    void every(Duration, const Callback&);

    /** Runs until stop() was called, from any thread or a signal handler. */
    void run();
    void stop() { isStopped_ = true; }

private:
    void runTimers(Time now);
    int waitMilliseconds(Time now) const;

    int epoll_;
    std::map<int, std::shared_ptr<Callback>> watches_;
    std::multimap<Time, Callback> timers_;
    std::atomic<bool> isStopped_ { false };
};

}
