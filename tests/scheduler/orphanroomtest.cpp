#include "scheduler/fakeworkers.h"
#include "scheduler/indexedfinder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace fescuecleat {

/** Room of tasks that a worker reports and whose job is not known. */
class OrphanRoomTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OrphanRoomTest);
    CPPUNIT_TEST(unknownTaskHoldsProcessors);
    CPPUNIT_TEST(staleAttemptOfAKnownJobHoldsItsAccelerators);
    CPPUNIT_TEST_SUITE_END();

    const Time now_ { std::chrono::hours(1) };
    SchedulerCore scheduler_ { std::make_unique<IndexedFinder>() };
    FakeWorkers workers_;

public:
    void setUp() override
    {
        workers_.setPermit(now_ + std::chrono::seconds(100));
        workers_.handle(scheduler_, ConfigurationChanged {}, now_);
        workers_.handle(scheduler_, StartPermitExtended { now_ + std::chrono::seconds(100) }, now_);
        workers_.join(scheduler_, 1, 1, now_);
    }

    static JobSubmitted jobOf(const std::string& id, int accelerators, std::int64_t processorMillis)
    {
        JobSubmitted job;
        job.spec_.id_ = JobId(id);
        job.spec_.organisation_ = OrganisationId("studio");
        job.spec_.shape_.accelerators_ = accelerators;
        job.spec_.shape_.processorMillis_ = processorMillis;
        return job;
    }

    int prepares() const
    {
        int count = 0;
        for (const SchedulerAction& message : workers_.messages())
            count += static_cast<int>(std::holds_alternative<PrepareTask>(message));
        return count;
    }

    void unknownTaskHoldsProcessors()
    {
        workers_.handle(scheduler_, WorkerJoined { WorkerId("w100"), RackId("r0"), WorkerCapacity { 0, 64000, 256LL << 30 } }, now_);
        TaskReported reported;
        reported.task_ = TaskKey { JobId("unknown"), 1, 0 };
        reported.worker_ = WorkerId("w100");
        reported.state_ = TaskState::Running;
        reported.processorShare_ = 1;
        workers_.handle(scheduler_, reported, now_);
        workers_.handle(scheduler_, jobOf("a", 0, 64000), now_);
        CPPUNIT_ASSERT_EQUAL(0, prepares());
    }

    void staleAttemptOfAKnownJobHoldsItsAccelerators()
    {
        // Job a needs more than fits, so it waits; an earlier attempt of it turns up, before it is stopped.
        JobSubmitted waiting = jobOf("a", 8, 1000);
        waiting.spec_.tasks_ = 2;
        waiting.attempts_ = 2;
        workers_.handle(scheduler_, waiting, now_);
        TaskReported reported;
        reported.task_ = TaskKey { JobId("a"), 1, 0 };
        reported.worker_ = WorkerId("w100");
        reported.state_ = TaskState::Running;
        reported.accelerators_ = { 0, 1, 2, 3, 4, 5, 6, 7 };
        workers_.handle(scheduler_, reported, now_);
        workers_.handle(scheduler_, jobOf("b", 8, 1000), now_);
        CPPUNIT_ASSERT_EQUAL(0, prepares());
    }
};

CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(OrphanRoomTest, "incarnations");

}
