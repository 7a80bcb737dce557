#include "scheduler/fakeworkers.h"
#include "scheduler/indexedfinder.h"
#include "scheduler/naivefinder.h"
#include "support/property.h"

#include "base/overloaded.h"

#include <sstream>

namespace fescuecleat {

namespace {

    constexpr Duration second = std::chrono::seconds(1);
    constexpr int workerCount = 6;
    constexpr int workersPerRack = 3;

    std::string textOf(const SchedulerAction& action)
    {
        std::ostringstream out;
        std::visit(
            Overloaded {
                [&](const PrepareTask& a) {
                    out << "prepare " << a.task_ << ' ' << a.worker_ << ' ' << a.shape_.memoryBytes_;
                    for (const int position : a.accelerators_)
                        out << ' ' << position;
                },
                [&](const StartTask& a) { out << "start " << a.task_ << ' ' << a.worker_ << ' ' << a.deadline_.time_since_epoch().count(); },
                [&](const CheckpointTask& a) { out << "checkpoint " << a.task_ << ' ' << a.worker_ << ' ' << a.deadline_.time_since_epoch().count(); },
                [&](const StopTask& a) { out << "stop " << a.task_ << ' ' << a.worker_; },
                [&](const ThrottleTask& a) { out << "throttle " << a.task_ << ' ' << a.worker_; },
                [&](const RecordJob& a) { out << "record " << a.job_ << ' ' << jobStateName(a.state_) << ' ' << a.attempt_ << ' ' << a.failures_ << ' ' << a.reason_; },
                [&](const OfferJob& a) { out << "offer " << a.job_; } },
            action);
        return out.str();
    }

    std::string textOf(const std::vector<SchedulerAction>& actions)
    {
        std::string text;
        for (const SchedulerAction& action : actions)
            text += textOf(action) + '\n';
        return text;
    }

    Configuration configurationOf(int variant)
    {
        Configuration configuration;
        OrganisationConfiguration studio;
        studio.id_ = OrganisationId("studio");
        studio.guarantee_ = { { CellLevel::Worker, 2 }, { CellLevel::Quad, 1 } };
        OrganisationConfiguration office;
        office.id_ = OrganisationId("office");
        office.guarantee_ = { { variant == 0 ? CellLevel::Worker : CellLevel::Pair, 1 }, { CellLevel::Accelerator, 2 } };
        OrganisationConfiguration guest;
        guest.id_ = OrganisationId("guest");
        configuration.organisations_ = { studio, office, guest };
        configuration.policy_.ageingThreshold_ = std::chrono::minutes(3);
        return configuration;
    }

    /** Applies one random history of events to schedulers with the indexed and the naive finder. */
    class History {
    public:
        History()
        {
            workers_.observer_ = [this](const SchedulerEvent& event, Time now, const std::vector<SchedulerAction>& actions) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE("indexed and naive finder decide differently", textOf(naive_.handle(event, now)), textOf(actions));
            };
            workers_.handle(indexed_, ConfigurationChanged { configurationOf(0) }, now_);
            extendPermit();
            workers_.join(indexed_, workerCount, workersPerRack, now_);
            advanceTime(2 * second);
        }

        void apply(unsigned operation, unsigned argument)
        {
            switch (operation % 14) {
            case 0:
            case 1:
            case 2:
                submit(argument);
                break;
            case 3:
            case 4:
                workers_.deliver(indexed_, 1 + argument % 8, now_);
                break;
            case 5:
                workers_.dropMessage();
                break;
            case 6:
                workers_.delayMessage(argument % 2 == 0);
                break;
            case 7:
            case 8:
                endTask(argument);
                break;
            case 9:
                loseOrJoinWorker(argument);
                break;
            case 10:
                workers_.handle(indexed_, JobCancelled { JobId("j" + std::to_string(argument % (jobs_ + 1))) }, now_);
                break;
            case 11:
                advanceTime((1 + argument % 40) * second);
                break;
            case 12:
                changeConfigurationOrService(argument);
                break;
            case 13:
                repeatOldReport(argument);
                break;
            default:
                break;
            }
            check();
        }

        /** Reclaims every guaranteed cell in a copy of the scheduler and the workers. */
        void checkReclaim() const
        {
            SchedulerCore copy = indexed_;
            FakeWorkers workers = workers_;
            workers.observer_ = nullptr;
            Time now = now_;
            workers.setTakenOut(false);
            workers.handle(copy, DataCentreReturned {}, now);
            workers.setPermit(now + std::chrono::hours(1));
            workers.handle(copy, StartPermitExtended { now + std::chrono::hours(1) }, now);
            for (int job = 0; job < jobs_; ++job) {
                const JobEntry* entry = copy.state().findJob(JobId("j" + std::to_string(job)));
                if (entry && entry->phase_ == JobPhase::Queued)
                    workers.handle(copy, JobCancelled { entry->spec_.id_ }, now);
            }
            now = workers.advanceTime(copy, now, 2 * second);
            std::map<int, JobId> demands;
            for (const auto& [id, cell] : copy.state().guarantees_.cells()) {
                const WorkerState& worker = copy.state().workers_.at(cell.parts_.front().worker_);
                if (!worker.isUsable() || worker.health() == WorkerHealth::Probation || GuaranteeAllocator::isUsed(cell, copy.state().workers_))
                    continue;
                JobSubmitted demand;
                demand.spec_.id_ = JobId("demand" + std::to_string(id));
                demand.spec_.organisation_ = cell.organisation_;
                const int size = countAccelerators(cell.parts_.front().accelerators_);
                demand.spec_.shape_ = TaskShape { size, worker.processorShare(size), worker.memoryShare(size) };
                // Non-idempotent jobs must not borrow, so only the guarantee can provide the capacity.
                demand.spec_.isIdempotent_ = false;
                demand.submitted_ = now;
                demands[id] = demand.spec_.id_;
                workers.handle(copy, demand, now);
            }
            now = workers.advanceTime(copy, now, 90 * second);
            for (const auto& [cell, id] : demands) {
                const bool isRunning = workers.records().count(id) > 0 && workers.records().at(id).state_ == JobState::Running;
                const auto same = copy.state().guarantees_.cells().find(cell);
                // Another job of the organisation may have taken the cell first.
                const bool isUsed = same != copy.state().guarantees_.cells().end() && GuaranteeAllocator::isUsed(same->second, copy.state().workers_) && !copy.state().reservations_.count(id);
                CPPUNIT_ASSERT_MESSAGE("guarantee not reclaimed by " + id.value(), isRunning || isUsed);
            }
        }

        /** Advances time until the scheduler has settled and checks that it still tracks every job that has not ended. */
        void checkNoJobLost()
        {
            for (int i = 0; i < 20; ++i)
                advanceTime(10 * second);
            for (int job = 0; job < jobs_; ++job) {
                const JobId id("j" + std::to_string(job));
                const auto record = workers_.records().find(id);
                const bool isEnded = record != workers_.records().end() && isFinal(record->second.state_);
                CPPUNIT_ASSERT_MESSAGE("job lost: " + id.value(), isEnded != (indexed_.state().findJob(id) != nullptr));
                if (record != workers_.records().end())
                    CPPUNIT_ASSERT(record->second.failures_ <= configurationOf(0).policy_.maxAttempts_);
                CPPUNIT_ASSERT_MESSAGE("started twice", isIdempotent_.at(id) || workers_.startsOf(id) <= 1);
            }
        }

    private:
        void extendPermit()
        {
            permit_ = now_ + 20 * second;
            workers_.setPermit(permit_);
            workers_.handle(indexed_, StartPermitExtended { permit_ }, now_);
        }

        void advanceTime(Duration duration)
        {
            // Messages in transit are delivered only for some durations.
            const Time end = now_ + duration;
            while (now_ < end) {
                now_ = std::min({ end, now_ + 10 * second, std::max(indexed_.nextDeadline(), now_ + second) });
                if (duration % (7 * second) != Duration::zero())
                    extendPermit();
                workers_.handle(indexed_, Tick {}, now_);
                if (duration % (3 * second) != Duration::zero())
                    workers_.deliver(indexed_, 64, now_);
            }
        }

        void submit(unsigned argument)
        {
            static const std::vector<std::string> organisations { "studio", "office", "guest", "guest" };
            static const std::vector<int> accelerators { 1, 2, 4, 8, 3, 0, 1, 2 };
            JobSubmitted job;
            job.spec_.id_ = JobId("j" + std::to_string(jobs_++));
            job.spec_.organisation_ = OrganisationId(organisations[argument % 4]);
            job.spec_.tasks_ = 1 + static_cast<int>(argument / 4 % 4);
            job.spec_.shape_ = TaskShape { accelerators[argument / 16 % 8], std::int64_t { 1000 } * static_cast<int>(argument / 128 % 3 * 8), 1LL << 30 };
            job.spec_.adjacency_ = static_cast<Adjacency>(argument / 512 % 3);
            job.spec_.isUrgent_ = argument / 2048 % 5 == 0;
            job.spec_.isIdempotent_ = argument / 16384 % 4 != 0;
            job.spec_.canCheckpoint_ = argument / 65536 % 3 != 0;
            job.spec_.declaredRunTime_ = std::chrono::minutes(argument % 7);
            job.submitted_ = now_;
            isIdempotent_[job.spec_.id_] = job.spec_.isIdempotent_;
            workers_.handle(indexed_, job, now_);
        }

        void endTask(unsigned argument)
        {
            const std::vector<TaskKey> running = workers_.runningTasks();
            if (running.empty())
                return;
            const TaskKey& key = running[argument % running.size()];
            if (argument % 5 == 0) {
                workers_.endTask(indexed_, key, TaskState::Failed, now_);
                return;
            }
            for (const TaskKey& sibling : running) {
                if (sibling.job_ == key.job_)
                    workers_.endTask(indexed_, sibling, TaskState::Finished, now_);
            }
        }

        void loseOrJoinWorker(unsigned argument)
        {
            const WorkerId worker("w" + std::to_string(100 + argument % workerCount));
            if (workers_.has(worker))
                workers_.loseWorker(indexed_, worker, now_);
            else
                workers_.join(indexed_, workerCount, workersPerRack, now_);
        }

        void changeConfigurationOrService(unsigned argument)
        {
            if (argument % 3 == 0) {
                workers_.handle(indexed_, ConfigurationChanged { configurationOf(static_cast<int>(argument / 3 % 2)) }, now_);
                return;
            }
            isTakenOut_ = !isTakenOut_ && argument % 3 == 1;
            workers_.setTakenOut(isTakenOut_);
            if (isTakenOut_)
                workers_.handle(indexed_, DataCentreTakenOut { now_ + 90 * second }, now_);
            else
                workers_.handle(indexed_, DataCentreReturned {}, now_);
        }

        /** Repeats a report of the first attempt of a job. */
        void repeatOldReport(unsigned argument)
        {
            if (workers_.tasks().empty() || jobs_ == 0)
                return;
            TaskReported late;
            late.task_ = TaskKey { JobId("j" + std::to_string(argument % static_cast<unsigned>(jobs_))), 1, 0 };
            const auto record = workers_.records().find(late.task_.job_);
            if (record == workers_.records().end() || record->second.attempt_ < 2)
                return;
            late.worker_ = workers_.tasks().begin()->second.first;
            late.state_ = argument % 2 == 0 ? TaskState::Running : TaskState::Prepared;
            workers_.handle(indexed_, late, now_);
        }

        void check()
        {
            checkGuaranteedCells();
            checkNoWaitingJobFits();
            std::map<OrganisationId, std::int64_t> borrowed;
            for (const auto& [id, entry] : indexed_.state().jobs_) {
                if (entry.isBorrower_)
                    borrowed[entry.spec_.organisation_] += capacityUnitsOf(entry.spec_.shape_) * entry.spec_.tasks_;
            }
            for (const auto& [organisation, units] : indexed_.state().borrowedUnits_)
                CPPUNIT_ASSERT_EQUAL(borrowed[organisation], units);
        }

        /** Checks that guaranteed cells are disjoint, and that work charged to a cell runs in it and belongs to its organisation. */
        void checkGuaranteedCells() const
        {
            const SchedulerState& state = indexed_.state();
            std::map<int, AcceleratorMask> bound;
            for (const auto& [id, cell] : state.guarantees_.cells()) {
                for (const GuaranteedCellPart& part : cell.parts_) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE("guaranteed cells overlap", AcceleratorMask { 0 }, bound[part.worker_] & part.accelerators_);
                    bound[part.worker_] |= part.accelerators_;
                }
            }
            for (const auto& [id, entry] : state.jobs_) {
                for (const GangTask& task : entry.tasks_) {
                    if (task.guaranteedCell_ == noGuaranteedCell || hasEnded(task.state_))
                        continue;
                    const GuaranteedCell& cell = state.guarantees_.cells().at(task.guaranteedCell_);
                    CPPUNIT_ASSERT_MESSAGE("charged to a cell of another organisation", cell.organisation_ == entry.spec_.organisation_);
                    const bool isInside = std::any_of(cell.parts_.begin(), cell.parts_.end(), [&](const GuaranteedCellPart& part) { return part.worker_ == task.worker_ && (task.accelerators_ & ~part.accelerators_) == 0; });
                    CPPUNIT_ASSERT_MESSAGE("runs outside of its cell", isInside);
                }
            }
        }

        /** Checks that no queued job has a free placement. */
        void checkNoWaitingJobFits()
        {
            const SchedulerState& state = indexed_.state();
            if (!state.mayStart(now_))
                return;
            WorkerTable workers = state.workers_;
            for (const auto& [jobClass, classQueue] : state.queue_.classQueues()) {
                const JobEntry& entry = state.jobs_.at(classQueue.jobs_.begin()->second);
                // A job that can't be resumed waits until its reserved cells are free.
                const bool waitsForReservation = entry.hasReservation_ && !(entry.spec_.isIdempotent_ && entry.spec_.canCheckpoint_);
                if (entry.orphans_ == 0 && !waitsForReservation)
                    CPPUNIT_ASSERT_MESSAGE("left out: " + entry.spec_.id_.value(), !NaiveFinder().findFree(freeQueryOf(entry), workers));
            }
        }

        SchedulerCore indexed_ { std::make_unique<IndexedFinder>() };
        SchedulerCore naive_ { std::make_unique<NaiveFinder>() };
        FakeWorkers workers_;
        Time now_ { std::chrono::hours(1) };
        Time permit_;
        bool isTakenOut_ = false;
        int jobs_ = 0;
        std::map<JobId, bool> isIdempotent_;
    };

}

/** Invariants under random histories with task and worker failures, expired permits, and lost, repeated and reordered messages. */
class HistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HistoryTest);
    CPPUNIT_TEST(holdsOnRandomHistories);
    CPPUNIT_TEST_SUITE_END();

public:
    void holdsOnRandomHistories()
    {
        CHECK_PROPERTY("a random history", [] {
            const auto length = *rc::gen::inRange(1, 90);
            const auto seeds = *rc::gen::container<std::vector<std::uint32_t>>(static_cast<std::size_t>(length), rc::gen::arbitrary<std::uint32_t>());
            History history;
            int steps = 0;
            for (const std::uint32_t seed : seeds) {
                const auto spread = seed * 2654435761U;
                history.apply(spread >> 24U, spread & 0xffffffU);
                if (++steps % 10 == 0)
                    history.checkReclaim();
            }
            history.checkNoJobLost();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryTest);

}
