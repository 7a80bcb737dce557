#include "node/jobintake.h"

#include <cppunit/extensions/HelperMacros.h>
#include <limits>

using namespace fescuecleat;

/** Stored jobs that no scheduler can run. */
class JobIntakeTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobIntakeTest);
    CPPUNIT_TEST(acceptsLargestJobOfCallers);
    CPPUNIT_TEST(rejectsJobsThatCannotRun);
    CPPUNIT_TEST_SUITE_END();

    void acceptsLargestJobOfCallers()
    {
        JobIntake intake = storable();
        intake.spec_.steps_.assign(256, intake.spec_.steps_.front());
        for (StepSpec& step : intake.spec_.steps_)
            step.taskCount_ = 10000;
        intake.spec_.steps_.back().after_ = { 0, 254 };
        intake.spec_.occurrences_ = 100000;
        intake.spec_.firstDueUnixMs_ = 1700000000000;
        intake.spec_.periodMs_ = 86400000;
        CPPUNIT_ASSERT(isReadable(intake));
    }

    /** Guards against numbers of tasks that overflow, and steps that would never be ready. */
    void rejectsJobsThatCannotRun()
    {
        const auto isRejected = [](auto change) {
            JobIntake intake = storable();
            change(intake.spec_);
            return !isReadable(intake);
        };
        constexpr int maxInt = std::numeric_limits<int>::max();
        CPPUNIT_ASSERT(isRejected([](PoolJobSpec& spec) { spec.steps_.clear(); }));
        CPPUNIT_ASSERT(isRejected([](PoolJobSpec& spec) { spec.steps_[1].taskCount_ = 0; }));
        CPPUNIT_ASSERT(isRejected([](PoolJobSpec& spec) { spec.steps_[1].taskCount_ = -1; }));
        CPPUNIT_ASSERT(isRejected([](PoolJobSpec& spec) { spec.steps_[1].after_ = { 1 }; }));
        CPPUNIT_ASSERT(isRejected([](PoolJobSpec& spec) { spec.steps_[1].after_ = { -1 }; }));
        CPPUNIT_ASSERT(isRejected([](PoolJobSpec& spec) {
            for (StepSpec& step : spec.steps_)
                step.taskCount_ = maxInt;
            spec.steps_.resize(4, spec.steps_.front());
            spec.occurrences_ = maxInt;
        }));
        CPPUNIT_ASSERT(isRejected([](PoolJobSpec& spec) {
            spec.occurrences_ = 2;
            spec.periodMs_ = std::numeric_limits<std::int64_t>::max();
        }));
        CPPUNIT_ASSERT(isRejected([](PoolJobSpec& spec) {
            spec.occurrences_ = 2;
            spec.firstDueUnixMs_ = -1;
        }));
    }

private:
    static JobIntake storable()
    {
        JobIntake intake;
        intake.policy_.queue_ = "queue";
        intake.spec_.steps_.resize(2);
        return intake;
    }

    static bool isReadable(const JobIntake& intake) { return decodeJobIntake(encodeJobIntake(intake)).has_value(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobIntakeTest);
