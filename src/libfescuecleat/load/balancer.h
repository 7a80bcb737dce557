#pragma once

#include "http/httpclient.h"
#include "load/testbed.h"

#include <atomic>
#include <deque>
#include <optional>

namespace fescuecleat {

/** Simulates the platform's load balancer: distributes calls round robin over the ready entry instances. Thread-safe. */
class Balancer {
public:
    Balancer(const Testbed&, HttpClient&);

    /** Runs a readiness probe against every instance. */
    void probe();

    /** The next ready instance other than `excludedInstance`; none if there is none. */
    std::optional<TestbedEntry> next(const std::string& excludedInstance = {});

    std::size_t entries() const { return members_.size(); }

private:
    struct Member {
        explicit Member(TestbedEntry entry)
            : entry_(std::move(entry))
        {
        }
        TestbedEntry entry_;
        std::atomic<bool> isReady_ { false };
    };

    HttpClient& client_;
    std::deque<Member> members_;
    std::atomic<std::size_t> nextMember_ { 0 };
};

}
