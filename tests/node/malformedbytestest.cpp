#include "base/bootclock.h"
#include "node/peerrowstore.h"
#include "node/poolfixture.h"
#include "node/storecall.h"
#include "node/storelayout.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <random>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

/** For a longer run: FESCUECLEAT_FUZZ_ROUNDS=1000000 FESCUECLEAT_FUZZ_SEED=7 build/tests/test_node MalformedBytesTest */
constexpr unsigned defaultRounds = 2000;
constexpr unsigned defaultSeed = 20261205;

unsigned environmentValue(const char* name, unsigned fallback)
{
    const char* text = std::getenv(name);
    return text != nullptr ? static_cast<unsigned>(std::strtoul(text, nullptr, 10)) : fallback;
}

/** Draws malformed variants of valid inputs. */
class Mutator {
public:
    std::size_t below(std::size_t end) { return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_); }

    const std::string& pick(const std::vector<std::string>& texts) { return texts[below(texts.size())]; }

    /** Replaces, inserts, repeats and removes bytes, or returns the text as it is. */
    std::string mutate(std::string text)
    {
        for (std::size_t i = below(4); i > 0; --i) {
            const std::size_t at = below(text.size() + 1);
            switch (below(5)) {
            case 0:
                text.insert(at, 1, static_cast<char>(below(256)));
                break;
            case 1:
                text.resize(at);
                break;
            case 2:
                text.insert(at, std::string(below(300), '['));
                break;
            case 3:
                text.insert(at, text.substr(at, below(20)));
                break;
            default:
                if (at < text.size())
                    text[at] = static_cast<char>(below(256));
            }
        }
        return text;
    }

private:
    std::mt19937 random_ { environmentValue("FESCUECLEAT_FUZZ_SEED", defaultSeed) };
};

}

/** No bytes of a caller, a peer or the store may end the process: no exception leaves a handler. */
class MalformedBytesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(MalformedBytesTest);
    CPPUNIT_TEST(callersRequests);
    CPPUNIT_TEST(peersMessages);
    CPPUNIT_TEST(storedRows);
    CPPUNIT_TEST_SUITE_END();

    const unsigned rounds_ = environmentValue("FESCUECLEAT_FUZZ_ROUNDS", defaultRounds);

    /** Each request is answered once, with a status that callers know. */
    void callersRequests()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        const auto scheduler = pool.scheduler("a");
        auto configuration = std::make_shared<PoolConfiguration>(testConfiguration());
        configuration->organisations_.push_back({ "org", { "secret" }, 0 });
        for (const char* prefix : { "/public/", "/keyed/" }) {
            QueueConfiguration queue;
            queue.name_ = queue.prefix_ = prefix;
            queue.host_ = "host";
            queue.service_ = "service";
            queue.isPublic_ = queue.prefix_ == "/public/";
            configuration->queues_.push_back(queue);
        }
        JobApi api(pool.context_, { [&configuration] { return configuration; }, [] { return true; }, [&scheduler] { return scheduler->controller(); }, [&scheduler](const StoredRow& row) {
                                       if (scheduler->controller() != nullptr)
                                           scheduler->controller()->handleStoredIntake(row); } });
        Mutator mutator;
        const std::vector<int> statuses { 200, 400, 401, 404, 405, 410, 413, 503, 504 };
        unsigned answers = 0;
        for (unsigned round = 0; round < rounds_; ++round) {
            ServerRequest request;
            request.method_ = mutator.pick({ "GET", "POST", "DELETE", "PUT" });
            request.path_ = mutator.pick({ "/public/", "/keyed/", "/public/00000000000000AB", "/keyed/00000000000000ab", "/public/00000000000000cd?x" });
            request.host_ = "host:80";
            request.authorization_ = "secret";
            request.body_ = mutator.pick({ "{}", "bad", R"({"spec":"x","steps":[{"count":1}]})" });
            // One field at a time: a request that is malformed elsewhere is refused before the others are looked at.
            const std::vector<std::string*> fields { &request.method_, &request.path_, &request.host_, &request.authorization_, &request.body_ };
            std::string& field = *fields[mutator.below(fields.size())];
            field = mutator.mutate(field);
            int answersOfRequest = 0;
            api.handle(request, [&](const ServerResponse& response) {
                ++answersOfRequest;
                CPPUNIT_ASSERT(std::count(statuses.begin(), statuses.end(), response.status_) == 1);
            });
            CPPUNIT_ASSERT(pool.runUntil([&answersOfRequest] { return answersOfRequest > 0; }));
            CPPUNIT_ASSERT_EQUAL(1, answersOfRequest);
            ++answers;
        }
        CPPUNIT_ASSERT_EQUAL(rounds_, answers);
    }

    void peersMessages()
    {
        PoolFixture pool;
        RowTransaction transaction { "part", { { "table", "key", 3 } }, { { "table", "key", std::string("\x00\xff", 2) } }, { { "table", "other" } } };
        const std::vector<std::string> calls { encodeStoreCall({ CommitCall { transaction }, 1s }), encodeStoreCall({ ReadCall { { "table", "part", "a", "b" } }, 1s }), encodeStoreCall({ FollowCall { "table", 7, 100ms }, 1s }) };
        const std::vector<std::string> outcomes { encodeStoreOutcome(RowPage { { { "key", "value", 4, false } }, true, { 5, 6, {}, {} } }), encodeStoreOutcome(tl::unexpected<StoreFailure>({ StoreFailureKind::Conflict, { { "key", "value", 4, false } }, "message" })) };
        Mutator mutator;
        unsigned answers = 0;
        for (unsigned round = 0; round < rounds_; ++round) {
            static_cast<void>(decodeStoreOutcome(mutator.mutate(mutator.pick(outcomes))));
            PeerRowStore::serve(pool.store_, mutator.mutate(mutator.pick(calls)), [&answers](const ServerResponse&) { ++answers; });
        }
        CPPUNIT_ASSERT(pool.runUntil([&] { return answers == rounds_; }));
    }

    /** Malformed rows of all tables, as a later version or another writer may leave them; a sound job still runs. */
    void storedRows()
    {
        PoolFixture pool;
        pool.addWorker("w1");
        const std::vector<std::string> intakeRows = [&pool] {
            StepSpec step = oneTask();
            step.requiredLabel_ = "missing"; // most of these jobs wait, so that room is left
            pool.submit("00000000000000ff", step);
            std::vector<std::string> rows { "{}", pool.store_.value(intakeTable, "00000000000000ff").value_or("") };
            pool.store_.erase(intakeTable, "00000000000000ff");
            return rows;
        }();
        const std::vector<std::string> records { encodePoolJobRecord({ PoolJobState::Running, { { 0, 0, 0, 1, 0, false, "checkpoint", { { 0, { "w1", 1 }, "machine" } }, { { 0, {} } }, 1 } }, { { 0, 3 } }, 0 }), encodePoolJobRecord({ PoolJobState::Completed, {}, {}, 17 }) };
        Mutator mutator;
        const unsigned jobs = std::min(rounds_, 2000U);
        for (unsigned i = 0; i < jobs; ++i) {
            char id[17];
            std::snprintf(id, sizeof(id), "%x%015u", i % 16, i);
            const std::string key = mutator.below(8) == 0 ? mutator.mutate(id) : id;
            if (mutator.below(2) == 0)
                pool.store_.put(JobRecorder::table, mutator.mutate(mutator.pick({ key, key + ".7.000000000001" })), mutator.mutate(mutator.pick(records)), schedulerPart);
            if (mutator.below(8) != 0)
                pool.store_.put(intakeTable, key, mutator.mutate(mutator.pick(intakeRows)), intakePartOf(id));
            if (mutator.below(8) == 0)
                pool.store_.put(intakeTable, mutator.mutate(cancelKey(id)), mutator.mutate("{}"), intakePartOf(id));
            pool.store_.put("registry", "x" + std::to_string(i % 50), mutator.mutate("r0 1 ready service"));
        }
        pool.store_.put("lease", "other", mutator.mutate("{}"), schedulerPart);
        const auto scheduler = pool.scheduler("a");
        CPPUNIT_ASSERT(pool.runUntil([&] { return scheduler->controller() != nullptr && scheduler->controller()->waitingJobs("queue").has_value(); }));
        pool.runFor(500ms);
        StepSpec step = oneTask();
        step.requiredLabel_ = "sound";
        pool.store_.put("registry", "sound", "r0 1 ready service sound");
        pool.submit(jobId, step);
        CPPUNIT_ASSERT(pool.runUntil([&] { return pool.workers_.startCount({ jobId, 0, 0, 0 }) == 1; }, 20s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MalformedBytesTest);
