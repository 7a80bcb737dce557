#include "daemon/actionsequencer.h"

#include "base/overloaded.h"

#include <algorithm>
#include <utility>

namespace fescuecleat {

namespace {

    /** True for a prepare or start of the task, which wait for records. */
    bool isGatedCommand(const SchedulerAction& action, const TaskKey& task)
    {
        if (const auto* prepare = std::get_if<PrepareTask>(&action))
            return prepare->task_ == task;
        if (const auto* start = std::get_if<StartTask>(&action))
            return start->task_ == task;
        return false;
    }

}

ActionSequencer::Step ActionSequencer::add(std::vector<SchedulerAction> actions)
{
    Step step;
    for (SchedulerAction& action : actions) {
        std::visit(Overloaded {
                       [&](RecordJob& record) { pending_[record.job_].emplace_back(std::move(record)); },
                       [&](PrepareTask& prepare) { addGated(prepare.task_.job_, prepare, step); },
                       [&](StartTask& start) { addGated(start.task_.job_, start, step); },
                       [&](OfferJob& offer) { addGated(offer.job_, offer, step); },
                       [&](StopTask& stop) {
                           dropSuperseded(stop.task_, step);
                           step.ready_.emplace_back(std::move(stop));
                       },
                       [&](auto& immediate) { step.ready_.emplace_back(std::move(immediate)); },
                   },
            action);
    }
    return step;
}

std::vector<RecordJob> ActionSequencer::takeRecords(std::size_t maxCount)
{
    std::vector<RecordJob> records;
    for (const auto& [job, queue] : pending_) {
        if (records.size() >= maxCount)
            break;
        if (inFlight_.count(job))
            continue;
        records.push_back(std::get<RecordJob>(queue.front()));
        inFlight_.insert(job);
    }
    return records;
}

ActionSequencer::Step ActionSequencer::committed(const JobId& job)
{
    Step step;
    const auto found = pending_.find(job);
    if (found == pending_.end() || !inFlight_.erase(job))
        return step;
    found->second.pop_front();
    release(job, step);
    return step;
}

void ActionSequencer::commitFailed(const JobId& job)
{
    inFlight_.erase(job);
}

std::size_t ActionSequencer::pendingRecords() const
{
    std::size_t count = 0;
    for (const auto& [job, queue] : pending_)
        count += static_cast<std::size_t>(std::count_if(queue.begin(), queue.end(), [](const Pending& item) { return std::holds_alternative<RecordJob>(item); }));
    return count;
}

void ActionSequencer::addGated(const JobId& job, SchedulerAction action, Step& step)
{
    const auto found = pending_.find(job);
    if (found == pending_.end())
        step.ready_.push_back(std::move(action));
    else
        found->second.emplace_back(std::move(action));
}

void ActionSequencer::dropSuperseded(const TaskKey& task, Step& step)
{
    const auto found = pending_.find(task.job_);
    if (found == pending_.end())
        return;
    std::deque<Pending>& queue = found->second;
    for (auto item = queue.begin(); item != queue.end();) {
        const auto* action = std::get_if<SchedulerAction>(&*item);
        if (action && isGatedCommand(*action, task)) {
            step.dropped_.push_back(*action);
            item = queue.erase(item);
        } else {
            ++item;
        }
    }
}

void ActionSequencer::release(const JobId& job, Step& step)
{
    // A queue always begins with a record: actions before the next record are ready.
    std::deque<Pending>& queue = pending_[job];
    while (!queue.empty() && std::holds_alternative<SchedulerAction>(queue.front())) {
        step.ready_.push_back(std::move(std::get<SchedulerAction>(queue.front())));
        queue.pop_front();
    }
    if (queue.empty())
        pending_.erase(job);
}

}
