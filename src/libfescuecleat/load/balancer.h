#pragma once

#include "http/httpclient.h"
#include "load/testbed.h"

#include <atomic>
#include <deque>
#include <optional>

namespace fescuecleat {

/** Plays the platform's balancer: spreads callers over the entry instances that say that they are ready. Thread-safe. */
class Balancer {
public:
    Balancer(const Testbed&, HttpClient&);

    /** Asks every instance whether it is ready. */
    void probe();

    /** The next ready instance, other than `avoided`; none if no instance is ready. */
    std::optional<TestbedEntry> next(const std::string& avoided = {});

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
    std::atomic<std::size_t> turn_ { 0 };
};

}
