// Time to update counters and histograms from several threads, with and without sharding, and to write the exposition.

#include "telemetry/metrics.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

using namespace fescuecleat;

namespace {

constexpr int threadCount = 6;
constexpr int roundsPerThread = 2000000;

template <typename Function>
double nanosecondsPerOperation(const Function& function)
{
    const auto start = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (int i = 0; i < threadCount; ++i) {
        threads.emplace_back([&] {
            for (int round = 0; round < roundsPerThread; ++round)
                function(round);
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / roundsPerThread;
}

}

int main()
{
    Metrics metrics;
    Counter& counter = metrics.counter("events_total", "Events");
    LatencyHistogram& latency = metrics.latency("wait_seconds", "Wait");
    std::atomic<std::uint64_t> plain { 0 };
    std::mutex mutex;
    std::uint64_t locked = 0;
    std::printf("%d threads, nanoseconds per operation on each thread\n", threadCount);
    std::printf("sharded counter     %.1f\n", nanosecondsPerOperation([&](int) { counter.add(); }));
    std::printf("one atomic          %.1f\n", nanosecondsPerOperation([&](int) { plain.fetch_add(1, std::memory_order_relaxed); }));
    std::printf("counter under lock  %.1f\n", nanosecondsPerOperation([&](int) {
        const std::lock_guard<std::mutex> lock(mutex);
        ++locked;
    }));
    std::printf("sharded histogram   %.1f\n", nanosecondsPerOperation([&](int round) { latency.record(Duration(round)); }));
    std::printf("histogram bytes     %zu without its buckets\n", sizeof(LatencyHistogram));

    for (int i = 0; i < 50; ++i)
        metrics.latency("request_seconds", "Requests", { { "service", std::to_string(i) } }).record(Duration(i));
    const auto start = std::chrono::steady_clock::now();
    const std::string text = metrics.exposition();
    const double microseconds = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
    std::printf("exposition          %.0f us for 51 histograms, %zu bytes\n", microseconds, text.size());
    return 0;
}
