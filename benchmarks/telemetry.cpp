// Cost of counting and recording from several threads, sharded and not, and of one exposition.

#include "telemetry/metrics.h"

#include <atomic>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

using namespace fescuecleat;

namespace {

constexpr int threads = 6;
constexpr int rounds = 2000000;

template <typename Function>
double nanosecondsEach(const Function& function)
{
    const auto begin = std::chrono::steady_clock::now();
    std::vector<std::thread> running;
    running.reserve(threads);
    for (int i = 0; i < threads; ++i) {
        running.emplace_back([&] {
            for (int round = 0; round < rounds; ++round)
                function(round);
        });
    }
    for (std::thread& thread : running)
        thread.join();
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / rounds;
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
    std::printf("threads %d, each nanoseconds an operation and thread\n", threads);
    std::printf("sharded counter     %.1f\n", nanosecondsEach([&](int) { counter.add(); }));
    std::printf("one atomic          %.1f\n", nanosecondsEach([&](int) { plain.fetch_add(1, std::memory_order_relaxed); }));
    std::printf("counter under lock  %.1f\n", nanosecondsEach([&](int) {
        const std::lock_guard<std::mutex> lock(mutex);
        ++locked;
    }));
    std::printf("sharded histogram   %.1f\n", nanosecondsEach([&](int round) { latency.record(Duration(round)); }));
    std::printf("histogram bytes     %zu and its buckets\n", sizeof(LatencyHistogram));

    for (int i = 0; i < 50; ++i)
        metrics.latency("request_seconds", "Requests", { { "service", std::to_string(i) } }).record(Duration(i));
    const auto begin = std::chrono::steady_clock::now();
    const std::string text = metrics.exposition();
    const double microseconds = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count();
    std::printf("exposition          %.0f us for 51 histograms, %zu bytes\n", microseconds, text.size());
    return 0;
}
