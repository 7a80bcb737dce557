#include "support/property.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"
#include "telemetry/processmetrics.h"
#include "json/json.h"

#include <algorithm>
#include <cmath>
#include <cppunit/extensions/HelperMacros.h>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace fescuecleat;

/** Tests concurrent metrics, the exposition format and the fields of log lines. */
class TelemetryTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(TelemetryTest);
    CPPUNIT_TEST(countsConcurrentUpdates);
    CPPUNIT_TEST(quantilesAgreeWithExactValues);
    CPPUNIT_TEST(writesExpositionFormat);
    CPPUNIT_TEST(rejectsNameReuseWithOtherType);
    CPPUNIT_TEST(writesLogLines);
    CPPUNIT_TEST(reportsResidentMemory);
    CPPUNIT_TEST_SUITE_END();

    void countsConcurrentUpdates()
    {
        constexpr std::uint64_t threadCount = 12;
        constexpr std::uint64_t rounds = 2000;
        Metrics metrics;
        std::vector<std::thread> threads;
        threads.reserve(threadCount);
        for (std::uint64_t i = 0; i < threadCount; ++i) {
            threads.emplace_back([&] {
                Counter& counter = metrics.counter("events_total", "Events");
                LatencyHistogram& latency = metrics.latency("wait_seconds", "Wait");
                for (std::uint64_t round = 0; round < rounds; ++round) {
                    counter.add();
                    latency.record(std::chrono::milliseconds(1));
                }
            });
        }
        metrics.exposition();
        for (std::thread& thread : threads)
            thread.join();
        CPPUNIT_ASSERT_EQUAL(threadCount * rounds, metrics.counter("events_total", "").value());
        CPPUNIT_ASSERT_EQUAL(threadCount * rounds, metrics.latency("wait_seconds", "").snapshot().count_);
    }

    void quantilesAgreeWithExactValues()
    {
        CHECK_PROPERTY("a quantile is the upper bound of the bucket of the exact value", [] {
            const auto values = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50000000)));
            const double fraction = *rc::gen::inRange(1, 101) / 100.0;
            LatencyHistogram latency;
            for (const int value : values)
                latency.record(Duration(value));
            std::vector<int> sorted = values;
            std::sort(sorted.begin(), sorted.end());
            const double exact = 1e-6 * sorted[static_cast<std::size_t>(std::ceil(fraction * static_cast<double>(sorted.size()))) - 1];
            const double estimated = latency.snapshot().quantile(fraction);
            RC_ASSERT(estimated >= exact * 0.9999);
            RC_ASSERT(estimated <= std::max(exact, 1e-4) * std::pow(10.0, 1.0 / 8) * 1.0001);
        });
    }

    void writesExpositionFormat()
    {
        Metrics metrics;
        metrics.counter("requests_total", "Requests", { { "outcome", "not \"run\"" } }).add(3);
        metrics.gauge("free", "Free").set(-2);
        metrics.latency("wait_seconds", "Wait").record(std::chrono::hours(1));
        const std::string text = metrics.exposition();
        for (const char* line : { "# TYPE requests_total counter\n", "requests_total{outcome=\"not \\\"run\\\"\"} 3\n", "# HELP free Free\n", "free -2\n",
                 "# TYPE wait_seconds histogram\n", "wait_seconds_bucket{le=\"1000\"} 0\n", "wait_seconds_bucket{le=\"+Inf\"} 1\n", "wait_seconds_sum 3600\n", "wait_seconds_count 1\n" })
            CPPUNIT_ASSERT_MESSAGE(line + text, text.find(line) != std::string::npos);
    }

    void rejectsNameReuseWithOtherType()
    {
        Metrics metrics;
        metrics.counter("name", "A counter", { { "a", "1" } });
        CPPUNIT_ASSERT_THROW(metrics.gauge("name", "A gauge", { { "a", "1" } }), std::logic_error);
        CPPUNIT_ASSERT_THROW(metrics.gauge("name", "A gauge", { { "a", "2" } }), std::logic_error);
    }

    /** Returns what `logLines` writes to standard error. */
    template <typename Function>
    static std::string captureStandardError(const Function& logLines)
    {
        const char* const name = "telemetrytest.log";
        std::fflush(stderr);
        const int savedStderr = dup(STDERR_FILENO);
        const int file = open(name, O_CREAT | O_TRUNC | O_WRONLY | O_CLOEXEC, 0600);
        dup2(file, STDERR_FILENO);
        logLines();
        std::fflush(stderr);
        dup2(savedStderr, STDERR_FILENO);
        close(file);
        close(savedStderr);
        std::ifstream in(name);
        std::ostringstream text;
        text << in.rdbuf();
        std::remove(name);
        return text.str();
    }

    void writesLogLines()
    {
        Settings settings;
        settings.logFormat_ = LogFormat::Text;
        const auto logLines = [&] {
            setUpLog(settings);
            logStateChange("lease", "lease taken", { { "data_centre", "catania" }, { "reason", "holder lapsed\nx" } });
            logStateChange("lease", "unseen", {}, LogLevel::Debug);
        };
        const std::string text = captureStandardError(logLines);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("INFO  lease: lease taken data_centre=catania reason=\"holder lapsed x\"\n") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(text, text.find("unseen") == std::string::npos);

        settings.logFormat_ = LogFormat::Json;
        const std::string json = captureStandardError(logLines);
        const Result<JsonValue> value = parseJson(json);
        CPPUNIT_ASSERT_MESSAGE(json, value);
        std::string message;
        value->getMember("message").getValue(message);
        CPPUNIT_ASSERT_EQUAL(std::string("lease taken"), message);
        CPPUNIT_ASSERT_MESSAGE(json, json.find("\"data_centre\"") != std::string::npos && json.find("catania") != std::string::npos);
    }

    void reportsResidentMemory()
    {
        Metrics metrics;
        updateProcessMetrics(metrics);
        CPPUNIT_ASSERT(metrics.gauge("fescuecleat_resident_bytes", "").value() > 1000000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TelemetryTest);
