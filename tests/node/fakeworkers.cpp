#include "node/fakeworkers.h"

#include "base/bootclock.h"

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
    report.startedUnixMs_ = worker.born_;
    report.clockMs_ = wholeMilliseconds(bootTimeNow().time_since_epoch());
    for (const auto& [task, run] : worker.running_)
        report.running_.push_back({ { task, run }, "", 10 });
    for (const ReportedEnd& end : worker.ended_) {
        if (end.sequence_ > worker.acknowledgedEnds_)
            report.ended_.push_back(end);
    }
    return report;
}

void FakeWorkers::poll(const WorkerInfo& info, const PollRequest& request, Duration, PollHandler handler)
{
    const std::string id = info.key_.id_;
    boost::asio::post(loop_, [this, id, request, handler = std::move(handler)] {
        Worker& worker = workers_[id];
        worker.lastPoll_ = request;
        if (worker.isUnreachable_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
        if (request.epoch_ < worker.epoch_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::StaleEpoch));
        worker.epoch_ = request.epoch_;
        worker.acknowledgedEnds_ = std::max(worker.acknowledgedEnds_, request.acknowledgedEnds_);
        if (request.wait_ == Duration::zero() || !reportOf(id).ended_.empty())
            return handler(reportOf(id));
        const auto longPoll = std::make_shared<LongPoll>(LongPoll { id, handler, std::make_unique<Timer>(loop_) });
        longPolls_.push_back(longPoll);
        longPoll->timer_->start(request.wait_, [this, id] { answerLongPolls(id); });
    });
}

void FakeWorkers::answerLongPolls(const std::string& id)
{
    for (const auto& longPoll : std::exchange(longPolls_, {})) {
        if (longPoll->id_ != id) {
            longPolls_.push_back(longPoll);
            continue;
        }
        boost::asio::post(loop_, [this, id, longPoll] {
            if (workers_[id].isUnreachable_)
                return longPoll->handler_(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
            longPoll->handler_(reportOf(id));
        });
    }
}

StartAnswer FakeWorkers::startRun(const std::string& id, const StartRequest& request)
{
    Worker& worker = workers_[id];
    const TaskId& task = request.run_.task_;
    const auto running = worker.running_.find(task);
    if (running != worker.running_.end() && running->second == request.run_.number_)
        return StartAnswer::Accepted;
    const auto lastStopped = worker.lastStoppedRuns_.find(task);
    if (lastStopped != worker.lastStoppedRuns_.end() && request.run_.number_ <= lastStopped->second)
        return StartAnswer::StaleRun;
    for (const auto& [other, state] : workers_)
        hadOverlappingRuns_ = hadOverlappingRuns_ || state.running_.count(task) > 0;
    worker.running_[task] = request.run_.number_;
    ++startCounts_[task];
    return StartAnswer::Accepted;
}

void FakeWorkers::start(const WorkerInfo& info, const StartRequest& request, Duration, StartHandler handler)
{
    const std::string id = info.key_.id_;
    boost::asio::post(loop_, [this, id, request, handler = std::move(handler)] {
        ++startsSeen_;
        Worker& worker = workers_[id];
        if (worker.isUnreachable_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
        if (request.epoch_ < worker.epoch_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::StaleEpoch));
        if (startAnswersToLose_ > 0) {
            --startAnswersToLose_;
            if (areLostStartsLate_)
                lateStarts_.emplace_back(id, request);
            else
                startRun(id, request);
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
        }
        handler(startRun(id, request));
    });
}

void FakeWorkers::loseStartAnswers(int count, bool isLate)
{
    startAnswersToLose_ = count;
    areLostStartsLate_ = isLate;
}

int FakeWorkers::executeLateStarts()
{
    int started = 0;
    for (const auto& [id, request] : std::exchange(lateStarts_, {})) {
        if (request.epoch_ < workers_[id].epoch_)
            continue;
        const std::size_t before = workers_[id].running_.size();
        startRun(id, request);
        started += workers_[id].running_.size() > before ? 1 : 0;
    }
    return started;
}

void FakeWorkers::stop(const WorkerInfo& info, const StopRequest& request, Duration, StopHandler handler)
{
    const std::string id = info.key_.id_;
    boost::asio::post(loop_, [this, id, request, handler = std::move(handler)] {
        Worker& worker = workers_[id];
        if (worker.isUnreachable_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
        if (request.epoch_ < worker.epoch_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::StaleEpoch));
        const bool isLost = stopsToLose_ > 0;
        stopsToLose_ -= isLost ? 1 : 0;
        if (isLost && !areLostStopsExecuted_)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
        int& lastStopped = worker.lastStoppedRuns_[request.run_.task_];
        lastStopped = std::max(lastStopped, request.run_.number_);
        const auto running = worker.running_.find(request.run_.task_);
        if (running != worker.running_.end() && running->second == request.run_.number_)
            finish(id, request.run_.task_, EndReason::Stopped);
        if (isLost)
            return handler(tl::unexpected<WorkerFailure>(WorkerFailure::NoAnswer));
        handler({});
    });
}

void FakeWorkers::loseStops(int count, bool areExecuted)
{
    stopsToLose_ = count;
    areLostStopsExecuted_ = areExecuted;
}

void FakeWorkers::finish(const std::string& id, const TaskId& task, EndReason reason)
{
    Worker& worker = workers_[id];
    const auto running = worker.running_.find(task);
    if (running == worker.running_.end())
        return;
    worker.ended_.push_back({ worker.nextEndSequence_++, { task, running->second }, reason, "" });
    worker.lastStoppedRuns_[task] = std::max(worker.lastStoppedRuns_[task], running->second);
    worker.running_.erase(running);
    answerLongPolls(id);
}

void FakeWorkers::restart(const std::string& id)
{
    Worker next;
    next.born_ = workers_[id].born_ + 1;
    workers_[id] = next;
    answerLongPolls(id);
}

int FakeWorkers::startCount(const TaskId& task) const
{
    const auto count = startCounts_.find(task);
    return count == startCounts_.end() ? 0 : count->second;
}

}
