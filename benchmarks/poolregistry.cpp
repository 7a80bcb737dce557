// The lease holder's view of a registry whose workers rewrite their entries continuously: how long after its entry a
// draining worker is known to drain, and what keeps the holder busy. Also the cost of decoding entries and pages.

#include "base/bootclock.h"
#include "node/poolfixture.h"
#include "registryrows.h"
#include "rowcodec.h"
#include "server/rowstoreserver.h"
#include "server/workerserver.h"

#include <cstdio>
#include <cstdlib>
#include <ctime>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t pageRows = 500;
constexpr Duration heartbeatPeriod = 1500ms;
constexpr Duration tick = 10ms;
constexpr Duration measuredTime = 12s;
constexpr Duration warmUp = 4s;
constexpr Duration drainInterval = 500ms;

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

WorkerInfo worker(int number)
{
    WorkerInfo info;
    info.key_ = { "w" + std::to_string(number), 1796400000000 + number };
    info.machine_ = "m" + std::to_string(number);
    info.service_ = "service";
    info.dataCentre_ = "catania";
    info.labels_ = { "kind", "rack-" + std::to_string(number / 8) };
    info.endpoint_ = { "127.0.0.1", 1 };
    info.capacity_ = { 64000, 256000, 8 };
    return info;
}

/** Workers that rewrite their entries in turn. */
class RewrittenRegistry {
public:
    RewrittenRegistry(FakeRowStore& store, int workers)
        : store_(store)
        , workers_(workers)
        , drains_(static_cast<std::size_t>(workers))
    {
        for (int i = 0; i < workers; ++i)
            put(i);
    }

    void rewriteDue(Duration passed)
    {
        const auto due = static_cast<std::uint64_t>(static_cast<double>(passed.count()) / static_cast<double>(heartbeatPeriod.count()) * workers_);
        for (; rewritten_ < due; ++rewritten_)
            put(static_cast<int>(rewritten_ % static_cast<std::uint64_t>(workers_)));
    }

    std::string drain(int number)
    {
        drains_[static_cast<std::size_t>(number)] = true;
        put(number);
        return "w" + std::to_string(number);
    }

private:
    void put(int number)
    {
        WorkerInfo info = worker(number);
        info.isDraining_ = drains_[static_cast<std::size_t>(number)];
        store_.put(RegistryRows().table(), info.key_.id_, workerserver::encodeEntry(info, ++sequence_));
    }

    FakeRowStore& store_;
    int workers_;
    std::vector<bool> drains_;
    std::uint64_t rewritten_ = 0;
    std::uint64_t sequence_ = 0;
};

void measureLag(int workers)
{
    PoolFixture pool;
    pool.settings_.maxWorkerLease_ = 6s;
    pool.store_.setPageRows(pageRows);
    pool.store_.setFeedRows(pageRows);
    pool.store_.setHistoryLimit(20000);
    const RegistryRows format;
    NodeContext context { pool.loop_, pool.settings_, pool.log_, pool.store_, pool.workers_, pool.operatorFormat_, format, pool.callerFormat_, pool.clock_ };
    RewrittenRegistry registry(pool.store_, workers);
    for (int i = 0; i < workers; ++i)
        pool.workers_.worker(worker(i).key_.id_).born_ = worker(i).key_.startedUnixMs_;
    SchedulerUnderTest scheduler(context, "a");
    const Time begin = bootTimeNow();
    Time processorFrom {};
    double processorBefore = 0;
    std::map<std::string, Time> draining;
    std::vector<double> lags;
    Time nextDrain = begin + warmUp;
    int drained = 0;
    while (bootTimeNow() < begin + warmUp + measuredTime) {
        const Time now = bootTimeNow();
        registry.rewriteDue(now - begin);
        if (now >= nextDrain) {
            if (drained == 0) {
                processorBefore = processorSeconds();
                processorFrom = now;
            }
            draining[registry.drain(workers / 2 + drained++)] = now;
            nextDrain += drainInterval;
        }
        pool.runFor(tick);
        for (auto it = draining.begin(); scheduler.controller() != nullptr && it != draining.end();) {
            const auto& known = scheduler.controller()->state().workers_;
            const auto entry = known.lower_bound({ it->first, 0 });
            if (entry == known.end() || entry->first.id_ != it->first || !entry->second.info_.isDraining_) {
                ++it;
                continue;
            }
            lags.push_back(std::chrono::duration<double>(bootTimeNow() - it->second).count());
            it = draining.erase(it);
        }
    }
    std::sort(lags.begin(), lags.end());
    const double seconds = std::chrono::duration<double>(bootTimeNow() - processorFrom).count();
    std::printf("%5d workers: %2zu of %2d drains seen, median %.2f s, longest %.2f s; processor %.0f%%, fakes included; %s\n", workers, lags.size(), drained,
        lags.empty() ? 0 : lags[lags.size() / 2], lags.empty() ? 0 : lags.back(), 100 * (processorSeconds() - processorBefore) / seconds,
        scheduler.controller() == nullptr ? "LEASE LOST" : "lease held");
    if (scheduler.controller() != nullptr) {
        const std::string metrics = scheduler.controller()->times().metrics();
        for (std::size_t at = 0, end = 0; (end = metrics.find('\n', at)) != std::string::npos; at = end + 1) {
            const std::string line = metrics.substr(at, end - at);
            if (line.find("_sum") != std::string::npos || line.find("_count") != std::string::npos)
                std::printf("        %s\n", line.c_str());
        }
    }
}

template <typename Function>
void measureCost(const char* name, int repeats, Function function)
{
    const double before = processorSeconds();
    for (int i = 0; i < repeats; ++i)
        function(i);
    std::printf("%-44s %8.2f us\n", name, (processorSeconds() - before) / repeats * 1e6);
}

void measureCosts()
{
    const RegistryRows format;
    RowPage page;
    for (int i = 0; i < static_cast<int>(pageRows); ++i)
        page.rows_.push_back({ worker(i).key_.id_, workerserver::encodeEntry(worker(i), 1000 + static_cast<std::uint64_t>(i)), static_cast<std::uint64_t>(i) + 1, false });
    const std::string body = rowstoreserver::encodeFeedAnswer(format.table(), page)->body_;
    const std::string next = workerserver::encodeEntry(worker(0), 2000);
    std::printf("an entry has %zu bytes, a page of %zu entries %zu\n", next.size(), pageRows, body.size());
    measureCost("decoding a page of 500 entries", 200, [&body](int) { static_cast<void>(decodePage(body)); });
    measureCost("decoding an entry", 100000, [&format, &page](int i) { static_cast<void>(format.decode(page.rows_[static_cast<std::size_t>(i) % pageRows])); });
    measureCost("detecting that only the heartbeat changed", 100000, [&](int) { static_cast<void>(format.isHeartbeat(page.rows_[0].value_, next)); });
}

}

int main(int argc, char** argv)
{
    measureCosts();
    if (argc < 2) {
        measureLag(350);
        measureLag(3000);
    }
    for (int i = 1; i < argc; ++i)
        measureLag(std::atoi(argv[i]));
    return EXIT_SUCCESS;
}
