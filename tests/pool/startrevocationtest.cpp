#include "pool/poolscheduler.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr Time start(100s);
const RunId firstRun { { "00000000000000aa", 0, 0, 0 }, 1 };

/** A scheduler that has begun the start of a job's only task on w1. */
class BegunStart {
public:
    explicit BegunStart(bool isSent)
    {
        put("w1", false);
        StepSpec step;
        step.resources_ = { 1000, 1000, 8 };
        step.estimate_ = 5s;
        PoolJobSpec spec;
        spec.steps_.push_back(step);
        JobPolicy policy;
        policy.service_ = "service";
        policy.maxAttempts_ = 3;
        scheduler_.addJob(firstRun.task_.job_, spec, policy, start, nullptr, start);
        scheduler_.schedule(start, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), scheduler_.takeDecisions().starts_.size());
        CPPUNIT_ASSERT(scheduler_.beginStart(firstRun, start));
        if (isSent)
            scheduler_.startSent(firstRun, start);
    }

    void put(const std::string& id, bool isDraining)
    {
        WorkerInfo info;
        info.key_ = { id, 1 };
        info.service_ = "service";
        info.dataCentre_ = "dc";
        info.endpoint_ = { "127.0.0.1", 1 };
        info.capacity_ = { 64000, 64000, 8 };
        info.isDraining_ = isDraining;
        scheduler_.putWorker(info, start);
        scheduler_.setReachable(info.key_);
    }

    PoolScheduler scheduler_;
};

}

/** Permissions to start that are revoked between the decision and the request. */
class StartRevocationTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(StartRevocationTest);
    CPPUNIT_TEST(namesCauses);
    CPPUNIT_TEST(sentStartIsStopped);
    CPPUNIT_TEST(unsentStartIsPlacedAnewAtOnce);
    CPPUNIT_TEST(acknowledgedRunGoesOn);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against an event that revokes the permission to start without being checked. */
    void namesCauses()
    {
        BegunStart pool(true);
        const auto cause = [&pool] { return findStartRevocation(pool.scheduler_.state(), firstRun); };
        CPPUNIT_ASSERT(!cause() && pool.scheduler_.isStartWanted(firstRun));
        pool.scheduler_.setClosedDataCentres({ "dc" });
        CPPUNIT_ASSERT(cause() == StartRevocation::DataCentreClosed && !pool.scheduler_.isStartWanted(firstRun));
        pool.scheduler_.setClosedDataCentres({});
        pool.put("w1", true);
        CPPUNIT_ASSERT(cause() == StartRevocation::WorkerDraining && !pool.scheduler_.isStartWanted(firstRun));
        pool.put("w1", false);
        CPPUNIT_ASSERT(!cause() && pool.scheduler_.isStartWanted(firstRun));
        pool.scheduler_.delistWorker("w1");
        CPPUNIT_ASSERT(cause() == StartRevocation::WorkerDelisted && !pool.scheduler_.isStartWanted(firstRun));
    }

    /** Guards against a start that is executed late on a draining worker, beside the next run of its task. */
    void sentStartIsStopped()
    {
        BegunStart pool(true);
        pool.put("w2", false);
        pool.put("w1", true);
        CPPUNIT_ASSERT(pool.scheduler_.giveUpRevokedStart(firstRun, start + 1s) == StartRevocation::WorkerDraining);
        pool.scheduler_.schedule(start + 1s, 0);
        const Decisions decisions = pool.scheduler_.takeDecisions();
        CPPUNIT_ASSERT(decisions.starts_.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.stops_.size());
        CPPUNIT_ASSERT(decisions.stops_[0].run_ == firstRun);
    }

    /** Guards against a task that waits for a stop of a run that no worker knows. */
    void unsentStartIsPlacedAnewAtOnce()
    {
        BegunStart pool(false);
        pool.put("w2", false);
        pool.put("w1", true);
        CPPUNIT_ASSERT(pool.scheduler_.giveUpRevokedStart(firstRun, start + 1s).has_value());
        pool.scheduler_.schedule(start + 1s, 0);
        const Decisions decisions = pool.scheduler_.takeDecisions();
        CPPUNIT_ASSERT(decisions.stops_.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), decisions.starts_.size());
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), decisions.starts_[0].worker_.id_);
    }

    /** Guards against stopping the work of a worker that drains after it has accepted it. */
    void acknowledgedRunGoesOn()
    {
        BegunStart pool(true);
        pool.scheduler_.startAnswered(firstRun, StartAnswer::Accepted, start + 10ms);
        pool.put("w1", true);
        CPPUNIT_ASSERT(!pool.scheduler_.giveUpRevokedStart(firstRun, start + 1s));
        CPPUNIT_ASSERT(pool.scheduler_.state().runs_.at(firstRun).phase_ == RunPhase::Running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartRevocationTest);
