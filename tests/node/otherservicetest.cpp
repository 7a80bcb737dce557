#include "node/poolfixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

/** Sorts before all workers, so that its link would be opened first. */
constexpr const char* foreignWorker = "a0";
constexpr std::int64_t foreignEpoch = 99;

/** A pool with a worker of another service, which has accepted a high epoch of that service's scheduler. */
class SharedRegistry {
public:
    SharedRegistry()
    {
        pool_.store_.put("registry", foreignWorker, "r0 1 ready video");
        pool_.workers_.worker(foreignWorker).epoch_ = foreignEpoch;
        pool_.addWorker("w1");
        pool_.addWorker("w2");
    }

    bool wasPolled() { return pool_.workers_.worker(foreignWorker).lastPoll_.epoch_ > 0; }

    PoolFixture pool_;
};

}

/** Tests that entries of other services in the registry change nothing. */
class OtherServiceTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(OtherServiceTest);
    CPPUNIT_TEST(workerOfOtherServiceIsNotPolled);
    CPPUNIT_TEST(workerIsUsedOnceItsServiceIsNamed);
    CPPUNIT_TEST(workerThatBecomesOneOfAnotherServiceIsDelisted);
    CPPUNIT_TEST(refusedEpochEndsNoLeaseThatTheStoreConfirms);
    CPPUNIT_TEST_SUITE_END();

    /** Guards against an entry of another service that makes each holder abandon its lease. */
    void workerOfOtherServiceIsNotPolled()
    {
        SharedRegistry test;
        const auto scheduler = test.pool_.scheduler("a");
        test.pool_.submit(jobId, gang(2));
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.pool_.workers_.startCount({ jobId, 0, 0, 1 }) == 1; }));
        test.pool_.store_.put("registry", foreignWorker, "r0 1 ready video");
        test.pool_.runFor(1s);
        CPPUNIT_ASSERT(!test.wasPolled());
        CPPUNIT_ASSERT(scheduler->controller() != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), scheduler->controller()->state().workers_.size());
    }

    void workerIsUsedOnceItsServiceIsNamed()
    {
        SharedRegistry test;
        const auto scheduler = test.pool_.scheduler("a");
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return scheduler->controller() != nullptr && scheduler->controller()->state().workers_.size() == 2; }));
        PoolConfiguration configuration = testConfiguration();
        configuration.version_ = 2;
        configuration.services_ = { "video" };
        scheduler->controller()->setConfiguration(configuration);
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.wasPolled(); }));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), scheduler->controller()->state().workers_.size());
    }

    void workerThatBecomesOneOfAnotherServiceIsDelisted()
    {
        SharedRegistry test;
        const auto scheduler = test.pool_.scheduler("a");
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return scheduler->controller() != nullptr && scheduler->controller()->state().workers_.size() == 2; }));
        test.pool_.workers_.restart("w1");
        test.pool_.store_.put("registry", "w1", "r0 2 ready video");
        test.pool_.runFor(1s);
        test.pool_.submit(jobId, gang(2));
        test.pool_.runFor(1s);
        CPPUNIT_ASSERT_EQUAL(0, test.pool_.workers_.startCount({ jobId, 0, 0, 0 }));
        test.pool_.store_.put("registry", "w1", "r0 2 ready");
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.pool_.workers_.startCount({ jobId, 0, 0, 0 }) == 1; }));
    }

    /** Guards against a worker's word that ends the lease though nobody else has taken it. */
    void refusedEpochEndsNoLeaseThatTheStoreConfirms()
    {
        SharedRegistry test;
        test.pool_.workers_.worker("w1").epoch_ = foreignEpoch;
        const auto scheduler = test.pool_.scheduler("a");
        test.pool_.submit(jobId, oneTask());
        CPPUNIT_ASSERT(test.pool_.runUntil([&] { return test.pool_.workers_.startCount({ jobId, 0, 0, 0 }) == 1; }));
        test.pool_.runFor(3s);
        CPPUNIT_ASSERT(scheduler->controller() != nullptr);
        CPPUNIT_ASSERT(test.pool_.workers_.worker("w2").epoch_ == 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OtherServiceTest);
