#include "routing/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <vector>

using namespace fescuecleat;

namespace {

const Time start = Time(std::chrono::hours(1));
constexpr int slots = 8;
constexpr Duration requestTimeout { std::chrono::seconds(2) };
constexpr double meanServiceMicroseconds = 20000;

MinionId nameOf(int minion) { return MinionId("m" + std::to_string(minion)); }

Dispatcher makeDispatcher(int minions, SelectionPolicy policy)
{
    Dispatcher dispatcher({ DataCentreId("dc0"), 1, policy });
    MinionsListed listed;
    AllowancesChanged allowances;
    for (int minion = 0; minion < minions; ++minion) {
        listed.minions_.push_back({ nameOf(minion), DataCentreId("dc0"), { "10.0.0.1", static_cast<unsigned short>(minion + 1) }, false });
        allowances.allowances_[nameOf(minion)].ownSlots_ = slots;
    }
    dispatcher.apply(listed, start);
    dispatcher.apply(allowances, start);
    return dispatcher;
}

void measureDecisionCost(int minions, SelectionPolicy policy)
{
    constexpr int rounds = 20000;
    Dispatcher dispatcher = makeDispatcher(minions, policy);
    Time now = start;
    std::deque<Ticket> running;
    const auto begin = std::chrono::steady_clock::now();
    for (int round = 1; round <= rounds; ++round) {
        now += std::chrono::microseconds(10);
        dispatcher.apply(Submit { static_cast<Ticket>(round), OrganisationId("o"), "reprice", now + requestTimeout, false, {} }, now);
        running.push_back(static_cast<Ticket>(round));
        // Keeps half of the slots busy.
        if (running.size() > static_cast<std::size_t>(minions) * slots / 2) {
            dispatcher.apply(AttemptEnded { running.front(), HealthSignal::Success, now, false }, now);
            running.pop_front();
        }
    }
    const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - begin;
    std::printf("decision cost: %5d minions, %-12s %8.2f us for a request's start and end\n", minions,
        policy == SelectionPolicy::TwoRandomChoices ? "two choices" : "least loaded", spent.count() / rounds);
}

enum class Policy {
    TwoRandomChoices,
    LeastLoaded,
    Random,
    RoundRobin,
};

const char* nameOf(Policy policy)
{
    switch (policy) {
    case Policy::TwoRandomChoices:
        return "two choices";
    case Policy::LeastLoaded:
        return "least loaded";
    case Policy::Random:
        return "random";
    case Policy::RoundRobin:
        return "round robin";
    }
    return "";
}

/** Results of one simulation. */
struct Outcome {
    std::vector<double> milliseconds_;
    std::vector<int> perMinion_;
    int offered_ = 0;
    int refused_ = 0;
    int late_ = 0;
};

/** Simulates requests in virtual time with exponential gaps and log-normal service times. */
class Simulation {
public:
    Simulation(int minions, double load, Policy policy)
        : minions_(minions)
        , policy_(policy)
        , random_(42)
        , dispatcher_(makeDispatcher(minions, policy == Policy::LeastLoaded ? SelectionPolicy::LeastLoaded : SelectionPolicy::TwoRandomChoices))
        , queues_(static_cast<std::size_t>(minions))
        , busy_(static_cast<std::size_t>(minions))
        , gapMicroseconds_(meanServiceMicroseconds / (minions * slots * load))
    {
        outcome_.perMinion_.resize(static_cast<std::size_t>(minions));
    }

    Outcome run(Duration duration)
    {
        const Time end = start + duration;
        Time arrival = start;
        Time now = start;
        while (now < end) {
            const bool isArrival = completions_.empty() || arrival < completions_.top().first;
            now = isArrival ? arrival : completions_.top().first;
            if (isArrival) {
                arrive(now);
                arrival += Duration(1 + static_cast<Duration::rep>(-std::log(1 - random_.unit()) * gapMicroseconds_));
            } else {
                const Ticket ticket = completions_.top().second;
                completions_.pop();
                finish(ticket, now);
            }
        }
        return outcome_;
    }

private:
    struct Request {
        Time arrivedAt_;
        Duration service_;
        int minion_ = 0;
    };
    using Completion = std::pair<Time, Ticket>;

    bool usesDispatcher() const { return policy_ == Policy::TwoRandomChoices || policy_ == Policy::LeastLoaded; }

    Duration serviceTime()
    {
        const double normal = std::sqrt(-2 * std::log(1 - random_.unit())) * std::cos(2 * M_PI * random_.unit());
        constexpr double sigma = 0.6;
        return Duration(static_cast<Duration::rep>(meanServiceMicroseconds * std::exp(sigma * normal - sigma * sigma / 2)));
    }

    void arrive(Time now)
    {
        const Ticket ticket = ++lastTicket_;
        ++outcome_.offered_;
        requests_[ticket] = { now, serviceTime(), 0 };
        if (usesDispatcher()) {
            apply(dispatcher_.apply(Submit { ticket, OrganisationId("o" + std::to_string(ticket % 4)), "reprice", now + requestTimeout, false, {} }, now), now);
            return;
        }
        const auto minion = policy_ == Policy::Random ? random_.below(static_cast<std::uint64_t>(minions_)) : next_++ % static_cast<std::uint64_t>(minions_);
        requests_[ticket].minion_ = static_cast<int>(minion);
        if (busy_[minion] < slots)
            begin(ticket, now);
        else
            queues_[minion].push_back(ticket);
    }

    void apply(const std::vector<DispatchAction>& actions, Time now)
    {
        for (const DispatchAction& action : actions) {
            if (const auto* send = std::get_if<SendToMinion>(&action)) {
                requests_[send->ticket_].minion_ = send->minion_.address_.port_ - 1;
                begin(send->ticket_, now);
            }
            if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
                ++outcome_.refused_;
                requests_.erase(refusal->ticket_);
            }
        }
    }

    void begin(Ticket ticket, Time now)
    {
        const Request& request = requests_[ticket];
        ++busy_[static_cast<std::size_t>(request.minion_)];
        ++outcome_.perMinion_[static_cast<std::size_t>(request.minion_)];
        completions_.emplace(now + request.service_, ticket);
    }

    void finish(Ticket ticket, Time now)
    {
        const Request request = requests_[ticket];
        requests_.erase(ticket);
        const Duration time = now - request.arrivedAt_;
        if (time <= requestTimeout)
            outcome_.milliseconds_.push_back(static_cast<double>(time.count()) / 1000);
        else
            ++outcome_.late_;
        const auto minion = static_cast<std::size_t>(request.minion_);
        --busy_[minion];
        if (usesDispatcher()) {
            apply(dispatcher_.apply(AttemptEnded { ticket, HealthSignal::Success, now, false }, now), now);
            return;
        }
        // The baseline policies ignore deadlines and serve late requests too.
        if (queues_[minion].empty())
            return;
        const Ticket waiting = queues_[minion].front();
        queues_[minion].pop_front();
        begin(waiting, now);
    }

    int minions_;
    Policy policy_;
    RandomSource random_;
    Dispatcher dispatcher_;
    std::vector<std::deque<Ticket>> queues_;
    std::vector<int> busy_;
    double gapMicroseconds_;
    std::map<Ticket, Request> requests_;
    std::priority_queue<Completion, std::vector<Completion>, std::greater<>> completions_;
    Ticket lastTicket_ = 0;
    std::uint64_t next_ = 0;
    Outcome outcome_;
};

double quantile(std::vector<double>& sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())))];
}

void measureLoad(double load, Policy policy)
{
    constexpr int minions = 50;
    constexpr std::chrono::seconds duration(20);
    Outcome outcome = Simulation(minions, load, policy).run(duration);
    std::sort(outcome.milliseconds_.begin(), outcome.milliseconds_.end());
    const double capacity = minions * slots / meanServiceMicroseconds * 1e6;
    const double goodput = static_cast<double>(outcome.milliseconds_.size()) / static_cast<double>(duration.count()) / capacity;
    const auto [least, most] = std::minmax_element(outcome.perMinion_.begin(), outcome.perMinion_.end());
    std::printf("load %3.0f%%  %-12s p50 %7.1f  p99 %7.1f  p99.9 %7.1f ms  goodput %5.1f%% of capacity  refused %5.1f%%  late %5.1f%%  spread %.2f\n",
        load * 100, nameOf(policy), quantile(outcome.milliseconds_, 0.5), quantile(outcome.milliseconds_, 0.99), quantile(outcome.milliseconds_, 0.999),
        goodput * 100, 100.0 * outcome.refused_ / outcome.offered_, 100.0 * outcome.late_ / outcome.offered_,
        static_cast<double>(*most) / std::max(1, *least));
}

}

/** Measures the cost of decisions, and completion times and goodput of the policies in virtual time. */
int main()
{
    for (const int minions : { 50, 200, 1300 }) {
        measureDecisionCost(minions, SelectionPolicy::TwoRandomChoices);
        measureDecisionCost(minions, SelectionPolicy::LeastLoaded);
    }
    for (const double load : { 0.3, 0.7, 0.95, 1.3 }) {
        for (const Policy policy : { Policy::TwoRandomChoices, Policy::LeastLoaded, Policy::Random, Policy::RoundRobin })
            measureLoad(load, policy);
    }
    return 0;
}
