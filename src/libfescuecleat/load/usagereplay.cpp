#include "load/usagereplay.h"

#include <algorithm>

namespace fescuecleat {

namespace {

    constexpr Duration sampleInterval = std::chrono::seconds(1);

    double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double mean(const Series& series)
    {
        double sum = 0;
        for (const auto& [second, value] : series)
            sum += value;
        return series.empty() ? 0 : sum / static_cast<double>(series.size());
    }

    std::string taskKey(const LogEntry& entry)
    {
        return entry.field("job") + "/" + entry.field("attempt") + "/" + entry.field("index");
    }

}

UsageReplay::UsageReplay(const Testbed& testbed, Time start, Time end)
    : start_(start)
    , end_(end)
    , nextSample_(start + sampleInterval)
{
    for (const TestbedDataCentre& dataCentre : testbed.dataCentres_) {
        totalAccelerators_ += dataCentre.workers_ * dataCentre.acceleratorsPerWorker_;
        acceleratorsPerWorker_ = std::max(acceleratorsPerWorker_, dataCentre.acceleratorsPerWorker_);
    }
}

void UsageReplay::apply(const LogEntry& entry)
{
    if (entry.source_ != LogSource::Worker || entry.field("job").empty())
        return;
    sampleUntil(entry.at_);
    const std::string key = taskKey(entry);
    if (entry.event_ == "prepared") {
        tasks_[key].accelerators_ = entry.number("accelerators");
        takenByWorker_[entry.instance_] += entry.number("accelerators");
    } else if (entry.event_ == "started") {
        tasks_[key].startedAt_ = entry.at_;
    } else if (entry.event_ != "start_refused") {
        endTask(key, entry);
    }
}

void UsageReplay::endTask(const std::string& key, const LogEntry& entry)
{
    const auto task = tasks_.find(key);
    if (task == tasks_.end())
        return;
    takenByWorker_[entry.instance_] -= task->second.accelerators_;
    if (task->second.startedAt_ != Time::max()) {
        const double work = task->second.accelerators_ * seconds(entry.at_ - task->second.startedAt_);
        workByEndEvent_[entry.event_] += work;
        if (entry.event_ == "finished")
            finishedSinceSample_ += work;
    }
    tasks_.erase(task);
}

void UsageReplay::sampleUntil(Time time)
{
    for (; nextSample_ <= std::min(time, end_); nextSample_ += sampleInterval)
        sample(seconds(nextSample_ - start_));
}

void UsageReplay::sample(double second)
{
    int taken = 0;
    int unusable = 0;
    for (const auto& [worker, accelerators] : takenByWorker_) {
        taken += accelerators;
        if (accelerators > 0)
            unusable += acceleratorsPerWorker_ - accelerators;
    }
    const double total = std::max(1, totalAccelerators_);
    fragmentation_.emplace_back(second, unusable / total);
    takenShare_.emplace_back(second, taken / total);
    finishedWork_.emplace_back(second, finishedSinceSample_);
    finishedSinceSample_ = 0;
}

void UsageReplay::finish(RepeatMeasures& measures)
{
    sampleUntil(end_);
    measures.values_["fragmentation_mean_share"] = mean(fragmentation_);
    measures.values_["accelerators_taken_mean_share"] = mean(takenShare_);
    measures.values_["work_finished_accelerator_seconds"] = workByEndEvent_["finished"];
    measures.values_["work_lost_accelerator_seconds"] = workByEndEvent_["stopped"] + workByEndEvent_["failed"];
    measures.values_["work_checkpointed_accelerator_seconds"] = workByEndEvent_["checkpointed"];
    measures.series_["fragmentation (share of accelerators)"] = fragmentation_;
    measures.series_["accelerators taken (share)"] = takenShare_;
    measures.series_["work finished (accelerator seconds in each second)"] = finishedWork_;
}

}
