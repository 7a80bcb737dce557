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

namespace {

    /** Names of what holds a reserved place, as far as they fit in a line. */
    std::string holdersOf(const SchedulerState& state, const Reservation& reservation)
    {
        constexpr std::size_t mostNames = 5;
        std::set<JobId> holders;
        for (const TaskPlace& place : reservation.placement_.tasks_) {
            for (const auto& [key, holding] : state.workers_.at(place.worker_).holdings()) {
                if ((holding.accelerators_ & place.accelerators_) != 0 || place.accelerators_ == 0)
                    holders.insert(key.job_);
            }
        }
        std::string names;
        std::size_t count = 0;
        for (const JobId& holder : holders) {
            if (count++ < mostNames)
                names += (names.empty() ? "" : ", ") + holder.value();
        }
        if (count > mostNames)
            names += " and " + std::to_string(count - mostNames) + " more";
        return names.empty() ? "nothing any more" : names;
    }

    std::string explainReservation(const SchedulerState& state, const Reservation& reservation, Time now)
    {
        std::string text = std::string("a place is kept for it (") + reservationKindName(reservation.kind_) + "); it is held by " + holdersOf(state, reservation);
        if (reservation.kind_ == ReservationKind::Aged && reservation.stopVictimsAt_ != Time::max())
            return text + ", and borrowers there are stopped in " + std::to_string(millisecondsUntil(reservation.stopVictimsAt_, now)) + " ms";
        return text + ", and is free once these wrote their checkpoints and stopped";
    }

    std::string explainQueued(const SchedulerState& state, const JobEntry& entry)
    {
        int free = 0;
        for (int index = 0; index < state.workers_.size(); ++index) {
            const WorkerState& worker = state.workers_.at(index);
            free += worker.isUsable() ? countAccelerators(worker.availableAccelerators()) : 0;
        }
        const int wanted = entry.spec_.tasks_ * entry.shape_.accelerators_;
        std::string text = "no free place fits the whole gang: it needs " + std::to_string(wanted) + " accelerators and "
            + std::to_string(free) + " are free";
        if (wanted > 0 && free >= wanted)
            text += ", in pieces that are too small or on workers without processors or memory left";
        if (!ReservationPlanner(state, Time::min()).planInHomes(entry))
            text += "; its organisation's guarantee has no room for it, so it waits to borrow";
        return text + "; a job that ends, a further worker or a larger guarantee would free a place, and past the ageing time one is reserved";
    }

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
    const auto reservation = state.reservations_.find(id);
    if (reservation != state.reservations_.end())
        return explainReservation(state, reservation->second, now);
    if (state.gangsStarting_ >= maxGangsStarting)
        return "many gangs are starting at once: the job is looked at again as soon as some of them run";
    return explainQueued(state, *entry);
}

}
