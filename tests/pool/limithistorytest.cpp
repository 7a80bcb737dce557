#include "pool/virtualpool.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <random>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

unsigned environmentValue(const char* name, unsigned fallback)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
}

/** A random history of jobs of several organisations whose limits change, of silent workers and takeovers. */
class LimitHistory {
public:
    explicit LimitHistory(unsigned seed)
        : random_(seed)
    {
        pool_.addWorkers(12, 4, { 64000, 256000, 8 });
        changeLimits();
        pool_.scheduler().setGuarantees(guarantees_);
    }

    void run()
    {
        for (int step = 0; step < 150; ++step) {
            submit();
            if (draw(0, 3) == 0)
                disrupt();
            pool_.advance(100ms);
        }
        for (std::size_t i = 0; i < pool_.workerCount(); ++i)
            pool_.worker(static_cast<int>(i)).isDisconnected_ = false;
        pool_.advance(10s);
        // What a lowered limit can't hold may run in the end.
        pool_.setOrganisations({});
        pool_.advance(60s);
    }

    VirtualPool pool_;
    std::vector<std::string> jobs_;

private:
    int draw(int from, int to) { return std::uniform_int_distribution<>(from, to)(random_); }
    std::string organisation() { return std::string(1, static_cast<char>('a' + draw(0, 3))); }

    void changeLimits()
    {
        std::map<std::string, OrganisationPolicy> policies;
        for (const char* const name : { "a", "b", "c" })
            policies[name] = { draw(0, 1) == 0 ? 0.0 : draw(1, 4), { draw(0, 2) == 0 ? 0 : draw(50, 300) * 1000, draw(0, 2) == 0 ? 0 : draw(200, 1000) * 1000, draw(0, 2) == 0 ? 0 : draw(6, 60) } };
        pool_.setOrganisations(policies);
    }

    void submit()
    {
        StepSpec step;
        step.taskCount_ = draw(0, 2) == 0 ? draw(2, 12) : 1;
        step.isGang_ = step.taskCount_ > 1 && draw(0, 1) == 0;
        step.wantsOneRack_ = draw(0, 3) == 0;
        step.isFiller_ = draw(0, 9) == 0;
        step.savesProgress_ = draw(0, 1) == 0;
        step.resources_ = { draw(1, 8) * std::int64_t(1000), draw(1, 30) * std::int64_t(1000), draw(0, 4) };
        step.estimate_ = std::chrono::milliseconds(draw(300, 3000));
        jobs_.push_back(pool_.submit(step, draw(0, 2), organisation()));
    }

    void disrupt()
    {
        const int index = draw(0, static_cast<int>(pool_.workerCount()) - 1);
        switch (draw(0, 2)) {
        case 0:
            return changeLimits();
        case 1: {
            VirtualPool::WorkerModel& worker = pool_.worker(index);
            worker.isDisconnected_ = !worker.isDisconnected_;
            if (worker.isDisconnected_)
                pool_.scheduler().setSilent(worker.info_.key_, pool_.now(), pool_.now());
            return;
        }
        default:
            pool_.takeOver();
            pool_.scheduler().setGuarantees(guarantees_);
        }
    }

    std::mt19937 random_;
    std::map<std::string, std::int64_t> guarantees_ { { "a", 16 }, { "b", 8 } };
};

}

/** Guards against any order of events in which runs pass a limit, or work that fits is never started. */
class LimitHistoryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(LimitHistoryTest);
    CPPUNIT_TEST(limitsHoldInRandomHistories);
    CPPUNIT_TEST_SUITE_END();

    void limitsHoldInRandomHistories()
    {
        const unsigned first = environmentValue("POOL_SEED", 20261207);
        const unsigned count = environmentValue("POOL_HISTORIES", 6);
        for (unsigned seed = first; seed < first + count; ++seed) {
            LimitHistory history(seed);
            history.run();
            const std::string name = "seed " + std::to_string(seed) + ": ";
            for (const std::string& violation : history.pool_.violations())
                CPPUNIT_FAIL(name + violation);
            for (const std::string& job : history.jobs_)
                CPPUNIT_ASSERT_MESSAGE(name + job, history.pool_.state(job) == PoolJobState::Completed);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LimitHistoryTest);
