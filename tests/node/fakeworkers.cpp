#include "node/fakeworkers.h"

#include "node/nodeclock.h"

#include <algorithm>
#include <boost/asio/post.hpp>

namespace fescuecleat {

FakeWorkers::FakeWorkers(boost::asio::io_context& loop)
    : loop_(loop)
{
}

PoolWorkerReport FakeWorkers::reportOf(const std::string& id)
{
    Worker& worker = workers_[id];
    PoolWorkerReport report;
    report.bornUnixMs_ = worker.born_;
    report.clockMs_ = wholeMilliseconds(bootTimeNow().time_since_epoch());
    for (const auto& [task, run] : worker.running_)
        report.running_.push_back({ { task, run }, "", 10 });
    for (const ReportedEnd& end : worker.ended_) {
        if (end.sequence_ > worker.seenEnds_)
            report.ended_.push_back(end);
    }
    return report;
}

void FakeWorkers::hold(const WorkerInfo& info, const HoldOrder& order, Duration, HoldHandler handler)
{
    const std::string id = info.key_.id_;
    boost::asio::post(loop_, [this, id, order, handler = std::move(handler)] {
        Worker& worker = workers_[id];
        if (worker.isCut_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
        if (order.fence_ < worker.fence_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::FenceIsOld));
        worker.fence_ = order.fence_;
        worker.seenEnds_ = std::max(worker.seenEnds_, order.seenEnds_);
        if (order.wait_ == Duration::zero() || !reportOf(id).ended_.empty())
            return handler(reportOf(id));
        const auto waiter = std::make_shared<Waiter>(Waiter { id, handler, std::make_unique<Timer>(loop_) });
        waiters_.push_back(waiter);
        waiter->timer_->start(order.wait_, [this, id] { answerWaiters(id); });
    });
}

void FakeWorkers::answerWaiters(const std::string& id)
{
    for (const auto& waiter : std::exchange(waiters_, {})) {
        if (waiter->id_ != id) {
            waiters_.push_back(waiter);
            continue;
        }
        boost::asio::post(loop_, [this, id, waiter] {
            if (workers_[id].isCut_)
                return waiter->handler_(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
            waiter->handler_(reportOf(id));
        });
    }
}

StartAnswer FakeWorkers::begin(const std::string& id, const StartOrder& order)
{
    Worker& worker = workers_[id];
    const TaskId& task = order.run_.task_;
    const auto running = worker.running_.find(task);
    if (running != worker.running_.end() && running->second == order.run_.number_)
        return StartAnswer::Accepted;
    const auto barred = worker.barred_.find(task);
    if (barred != worker.barred_.end() && order.run_.number_ <= barred->second)
        return StartAnswer::RunIsOld;
    for (const auto& [other, state] : workers_)
        hasRunTwice_ = hasRunTwice_ || state.running_.count(task) > 0;
    worker.running_[task] = order.run_.number_;
    ++begins_[task];
    return StartAnswer::Accepted;
}

void FakeWorkers::start(const WorkerInfo& info, const StartOrder& order, Duration, StartHandler handler)
{
    const std::string id = info.key_.id_;
    boost::asio::post(loop_, [this, id, order, handler = std::move(handler)] {
        ++startsSeen_;
        Worker& worker = workers_[id];
        if (worker.isCut_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
        if (order.fence_ < worker.fence_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::FenceIsOld));
        if (startAnswersToLose_ > 0) {
            --startAnswersToLose_;
            if (losesLate_)
                late_.emplace_back(id, order);
            else
                begin(id, order);
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
        }
        handler(begin(id, order));
    });
}

void FakeWorkers::loseStartAnswers(int count, bool isLate)
{
    startAnswersToLose_ = count;
    losesLate_ = isLate;
}

int FakeWorkers::carryOutLate()
{
    int begun = 0;
    for (const auto& [id, order] : std::exchange(late_, {})) {
        if (order.fence_ < workers_[id].fence_)
            continue;
        const std::size_t before = workers_[id].running_.size();
        begin(id, order);
        begun += workers_[id].running_.size() > before ? 1 : 0;
    }
    return begun;
}

void FakeWorkers::stop(const WorkerInfo& info, const StopOrder& order, Duration, StopHandler handler)
{
    const std::string id = info.key_.id_;
    boost::asio::post(loop_, [this, id, order, handler = std::move(handler)] {
        Worker& worker = workers_[id];
        if (worker.isCut_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
        if (order.fence_ < worker.fence_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::FenceIsOld));
        int& barred = worker.barred_[order.run_.task_];
        barred = std::max(barred, order.run_.number_);
        const auto running = worker.running_.find(order.run_.task_);
        if (running != worker.running_.end() && running->second == order.run_.number_)
            finish(id, order.run_.task_, EndReason::Stopped);
        handler({});
    });
}

void FakeWorkers::finish(const std::string& id, const TaskId& task, EndReason reason)
{
    Worker& worker = workers_[id];
    const auto running = worker.running_.find(task);
    if (running == worker.running_.end())
        return;
    worker.ended_.push_back({ worker.nextEnd_++, { task, running->second }, reason, "" });
    worker.barred_[task] = std::max(worker.barred_[task], running->second);
    worker.running_.erase(running);
    answerWaiters(id);
}

void FakeWorkers::reborn(const std::string& id)
{
    Worker next;
    next.born_ = workers_[id].born_ + 1;
    workers_[id] = next;
    answerWaiters(id);
}

int FakeWorkers::beginsOf(const TaskId& task) const
{
    const auto begins = begins_.find(task);
    return begins == begins_.end() ? 0 : begins->second;
}

}
