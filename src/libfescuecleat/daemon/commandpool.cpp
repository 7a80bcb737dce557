#include "daemon/commandpool.h"

#include <utility>

namespace fescuecleat {

CommandPool::CommandPool(std::size_t threads)
{
    for (std::size_t i = 0; i < threads; ++i)
        threads_.emplace_back([this] { run(); });
}

CommandPool::~CommandPool()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        isStopping_ = true;
    }
    changed_.notify_all();
    for (std::thread& thread : threads_)
        thread.join();
}

void CommandPool::post(Time notBefore, std::function<void()> command)
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        commands_.emplace(notBefore, std::move(command));
    }
    changed_.notify_one();
}

void CommandPool::clear()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    commands_.clear();
}

std::size_t CommandPool::queued() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return commands_.size();
}

void CommandPool::run()
{
    std::unique_lock<std::mutex> lock(mutex_);
    while (!isStopping_) {
        if (commands_.empty()) {
            changed_.wait(lock);
            continue;
        }
        const auto first = commands_.begin();
        if (first->first > monotonicNow()) {
            // A copy, since another thread may take the command during the wait.
            const Time dueAt = first->first;
            changed_.wait_until(lock, dueAt);
            continue;
        }
        const std::function<void()> command = std::move(first->second);
        commands_.erase(first);
        lock.unlock();
        command();
        lock.lock();
    }
}

}
