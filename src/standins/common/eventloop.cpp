#include "standins/common/eventloop.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace fescuecleat::standins {

namespace {

    /** stop() only sets a flag; this limits the delay until the loop sees it. */
    constexpr int maxWaitMs = 100;
    constexpr int maxEventsPerWait = 64;

}

EventLoop::EventLoop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC))
{
    if (epoll_ < 0)
        throw std::runtime_error("can't create an epoll descriptor; raise the limit of open files");
}

EventLoop::~EventLoop()
{
    close(epoll_);
}

void EventLoop::watch(int descriptor, bool wantsRead, bool wantsWrite, Callback ready)
{
    epoll_event event {};
    event.data.fd = descriptor;
    if (wantsRead)
        event.events |= EPOLLIN;
    if (wantsWrite)
        event.events |= EPOLLOUT;
    const int operation = watches_.count(descriptor) ? EPOLL_CTL_MOD : EPOLL_CTL_ADD;
    if (epoll_ctl(epoll_, operation, descriptor, &event) != 0)
        throw std::runtime_error("can't watch a descriptor; raise the limit of open files");
    watches_[descriptor] = std::make_shared<Callback>(std::move(ready));
}

void EventLoop::unwatch(int descriptor)
{
    if (watches_.erase(descriptor))
        epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void EventLoop::runAt(Time time, Callback callback)
{
    timers_.emplace(time, std::move(callback));
}

void EventLoop::runEvery(Duration interval, const Callback& callback)
{
    runAt(monotonicNow() + interval, [this, interval, callback] {
        callback();
        runEvery(interval, callback);
    });
}

void EventLoop::run()
{
    std::array<epoll_event, maxEventsPerWait> events {};
    while (!isStopped_) {
        const int count = epoll_wait(epoll_, events.data(), maxEventsPerWait, epollTimeoutMs(monotonicNow()));
        for (int i = 0; i < count; ++i) {
            const auto found = watches_.find(events[i].data.fd);
            if (found == watches_.end())
                continue;
            // The callback may replace or remove its own watch.
            const std::shared_ptr<Callback> ready = found->second;
            (*ready)();
        }
        runTimers(monotonicNow());
    }
}

void EventLoop::runTimers(Time now)
{
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const Callback callback = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        callback();
    }
}

int EventLoop::epollTimeoutMs(Time now) const
{
    if (timers_.empty())
        return maxWaitMs;
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(remaining(timers_.begin()->first, now));
    return static_cast<int>(std::min<std::int64_t>(wait.count(), maxWaitMs));
}

}
