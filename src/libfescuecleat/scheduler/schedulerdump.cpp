#include "scheduler/schedulerdump.h"

#include "scheduler/reservationplanner.h"
#include "scheduler/schedulerlimits.h"

#include <map>
#include <set>

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
        value.addMember("quarantined") <<= worker.health() == WorkerHealth::Quarantined;
        value.addMember("accelerators") <<= worker.capacity().accelerators_;
        value.addMember("free_accelerators") <<= positionsOf(worker.freeAccelerators());
        value.addMember("free_processor_millis") <<= worker.freeProcessorMillis();
        value.addMember("free_memory_bytes") <<= worker.freeMemoryBytes();
        value.addMember("tasks") <<= static_cast<int>(worker.allocations().size());
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
    value.addMember("taken_out") <<= state.drainDeadline_.has_value();
    value.addMember("queued") <<= static_cast<std::int64_t>(state.queue_.size());
    value.addMember("strays") <<= static_cast<std::int64_t>(state.orphans_.size());
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

namespace {

    /** Ids of the jobs that occupy a reserved placement; at most maxNames of them, then their number. */
    std::string jobsHolding(const SchedulerState& state, const Reservation& reservation)
    {
        constexpr std::size_t maxNames = 5;
        std::set<JobId> holders;
        for (const TaskPlace& place : reservation.placement_.tasks_) {
            for (const auto& [key, allocation] : state.workers_.at(place.worker_).allocations()) {
                if ((allocation.accelerators_ & place.accelerators_) != 0 || place.accelerators_ == 0)
                    holders.insert(key.job_);
            }
        }
        std::string names;
        std::size_t count = 0;
        for (const JobId& holder : holders) {
            if (count++ < maxNames)
                names += (names.empty() ? "" : ", ") + holder.value();
        }
        if (count > maxNames)
            names += " and " + std::to_string(count - maxNames) + " more";
        return names.empty() ? "no job" : names;
    }

    std::string explainReservation(const SchedulerState& state, const Reservation& reservation, Time now)
    {
        std::string text = std::string("capacity is reserved for the job (") + reservationKindName(reservation.kind_) + "); the capacity is in use by " + jobsHolding(state, reservation);
        if (reservation.kind_ == ReservationKind::Aged && reservation.stopVictimsAt_ != Time::max())
            return text + "; borrowing jobs there are preempted in " + std::to_string(millisecondsUntil(reservation.stopVictimsAt_, now)) + " ms";
        return text + "; it becomes free when these jobs have written their checkpoints and stopped";
    }

    std::string explainQueued(const SchedulerState& state, const JobEntry& entry)
    {
        int free = 0;
        for (int index = 0; index < state.workers_.size(); ++index) {
            const WorkerState& worker = state.workers_.at(index);
            free += worker.isUsable() ? countAccelerators(worker.availableAccelerators()) : 0;
        }
        const int wanted = entry.spec_.tasks_ * entry.shape_.accelerators_;
        std::string text = "no free placement fits the whole gang: it needs " + std::to_string(wanted) + " accelerators and "
            + std::to_string(free) + " are free";
        if (wanted > 0 && free >= wanted)
            text += ", but they are fragmented or on workers without enough free processors or memory";
        if (!ReservationPlanner(state, Time::min()).planWithinGuarantee(entry))
            text += "; it does not fit within the guarantee of its organisation, so it waits for capacity to borrow";
        return text + "; it is placed when jobs end, workers are added or the guarantee is raised; after the ageing time capacity is reserved for it";
    }

}

std::string explainJob(const SchedulerState& state, const JobId& id, Time now)
{
    const JobEntry* entry = state.findJob(id);
    if (!entry)
        return "the job is neither queued nor running in this data centre";
    if (entry->phase_ != JobPhase::Queued)
        return std::string("the job is ") + jobPhaseName(entry->phase_);
    if (state.drainDeadline_)
        return "the data centre is taken out of service: the job waits until it returns or another data centre takes the job over";
    if (!state.mayStart(now))
        return "the data centre has no start permit: the job waits until the table or the other data centres confirm that it is in service";
    if (entry->orphans_ > 0)
        return "tasks of an earlier attempt have not ended: the job waits until their workers confirm the stop or are lost";
    const auto reservation = state.reservations_.find(id);
    if (reservation != state.reservations_.end())
        return explainReservation(state, reservation->second, now);
    if (state.gangsStarting_ >= maxGangsStarting)
        return "too many gangs are starting at the same time: the job is tried again when some of them are running";
    return explainQueued(state, *entry);
}

}
