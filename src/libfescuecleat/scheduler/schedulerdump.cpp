#include "scheduler/schedulerdump.h"

#include <map>

namespace fescuecleat {

namespace {

    std::int64_t millisecondsUntil(Time time, Time now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(remaining(time, now)).count();
    }

    void dumpWorker(const WorkerState& worker, JsonValue& value)
    {
        value.addMember("worker") <<= worker.id().value();
        value.addMember("rack") <<= worker.rack().value();
        value.addMember("present") <<= worker.isPresent();
        value.addMember("quarantined") <<= worker.trust() == WorkerTrust::Quarantined;
        value.addMember("accelerators") <<= worker.capacity().accelerators_;
        value.addMember("free_accelerators") <<= positionsOf(worker.freeAccelerators());
        value.addMember("free_processor_millis") <<= worker.freeProcessorMillis();
        value.addMember("free_memory_bytes") <<= worker.freeMemoryBytes();
        value.addMember("tasks") <<= static_cast<int>(worker.holdings().size());
    }

    void dumpJob(const JobEntry& entry, const SchedulerState& state, JsonValue& value)
    {
        value.addMember("job") <<= entry.spec_.id_.value();
        value.addMember("organisation") <<= entry.spec_.organisation_.value();
        value.addMember("phase") <<= std::string(jobPhaseName(entry.phase_));
        value.addMember("attempts") <<= entry.attempts_;
        value.addMember("failures") <<= entry.failures_;
        value.addMember("borrower") <<= entry.isBorrower_;
        value.addMember("checkpointed_share") <<= entry.checkpointedShare_;
        JsonValue& workers = value.addMember("workers");
        workers.setCategory(JsonValue::Array);
        for (const GangTask& task : entry.tasks_)
            workers.addMember() <<= state.workers_.at(task.worker_).id().value();
    }

}

JsonValue dumpState(const SchedulerState& state, Time now)
{
    JsonValue value = jsonObject();
    value.addMember("start_permit_ms") <<= millisecondsUntil(state.startPermitUntil_, now);
    value.addMember("taken_out") <<= state.takenOutUntil_.has_value();
    value.addMember("queued") <<= static_cast<std::int64_t>(state.queue_.size());
    value.addMember("strays") <<= static_cast<std::int64_t>(state.strays_.size());
    JsonValue& workers = value.addMember("workers");
    workers.setCategory(JsonValue::Array);
    for (int index = 0; index < state.workers_.size(); ++index)
        dumpWorker(state.workers_.at(index), workers.addMember());
    std::map<JobId, const JobEntry*> ordered;
    for (const auto& [id, entry] : state.jobs_)
        ordered.emplace(id, &entry);
    JsonValue& jobs = value.addMember("jobs");
    jobs.setCategory(JsonValue::Array);
    for (const auto& [id, entry] : ordered)
        dumpJob(*entry, state, jobs.addMember());
    return value;
}

std::string explainJob(const SchedulerState& state, const JobId& id, Time now)
{
    const JobEntry* entry = state.findJob(id);
    if (!entry)
        return "the job is not in this data centre's queue and does not run here";
    if (entry->phase_ != JobPhase::Queued)
        return std::string("the job is ") + jobPhaseName(entry->phase_);
    if (state.takenOutUntil_)
        return "the data centre is taken out: the job waits for it to return or for another data centre to take it";
    if (!state.mayStart(now))
        return "the data centre has no start permit: the job waits until the table or the other data centres confirm that it is in service";
    if (entry->strays_ > 0)
        return "tasks of an earlier attempt have not ended: the job waits until their workers confirm the stop or are lost";
    return "no free place fits the whole gang: a finished or cancelled job or a further worker would free one";
}

}
