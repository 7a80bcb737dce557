#include "load/arrivalplan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

namespace fescuecleat {

namespace {

    using Random = std::mt19937_64;

    std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    /** Draws from a log-normal distribution with this median; at least 1 ms. */
    Duration logNormal(Duration median, double logSigma, Random& random)
    {
        const double factor = logSigma > 0 ? std::exp(std::normal_distribution<double>(0, logSigma)(random)) : 1;
        return std::max(Duration(1000), Duration(static_cast<std::int64_t>(static_cast<double>(median.count()) * factor)));
    }

    /** Draws the arrivals of one repeat. */
    class Planner {
    public:
        Planner(const Experiment& experiment, const Mix& mix, std::size_t organisations, std::uint64_t seed, std::string prefix)
            : experiment_(experiment)
            , random_(seed)
            , prefix_(std::move(prefix))
        {
            std::vector<double> weights = mix.organisationWeights_;
            weights.resize(organisations, 1);
            organisation_ = std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
        }

        void addRequests(const RequestStream& stream, ArrivalPlan& plan)
        {
            forEachArrival(stream.ratePerSecond_ * experiment_.requestRateFactor_, &Burst::appliesToRequests_, [&](Duration at) {
                PlannedRequest request;
                request.at_ = at;
                request.organisation_ = organisation_(random_);
                request.tag_ = nextTag("r");
                request.kind_ = stream.kind_;
                request.body_ = request.tag_ + "\nwork_ms=" + std::to_string(milliseconds(logNormal(stream.workTime_, stream.logSigma_, random_))) + "\n";
                request.timeout_ = stream.timeout_;
                request.isIdempotent_ = stream.isIdempotent_;
                plan.requests_.push_back(std::move(request));
            });
        }

        void addJobs(const JobStream& stream, ArrivalPlan& plan)
        {
            forEachArrival(stream.ratePerSecond_ * experiment_.jobRateFactor_, &Burst::appliesToJobs_, [&](Duration at) { plan.jobs_.push_back(job(stream, at)); });
        }

    private:
        PlannedJob job(const JobStream& stream, Duration at)
        {
            PlannedJob planned;
            planned.at_ = at;
            planned.organisation_ = organisation_(random_);
            planned.tag_ = nextTag("j");
            const Duration runTime = logNormal(stream.runTime_, stream.logSigma_, random_);
            JobSpec& spec = planned.spec_;
            spec.idempotencyKey_ = planned.tag_;
            spec.tasks_ = stream.tasks_;
            spec.shape_ = stream.shape_;
            spec.adjacency_ = stream.adjacency_;
            spec.isUrgent_ = stream.isUrgent_;
            spec.isIdempotent_ = stream.isIdempotent_;
            spec.canCheckpoint_ = stream.canCheckpoint_;
            spec.declaredRunTime_ = logNormal(runTime, stream.declaredLogSigma_, random_);
            JsonValue payload = jsonObject();
            payload.addMember("run_ms") <<= milliseconds(runTime);
            payload.addMember("tag") <<= planned.tag_;
            payload.addMember("fails") <<= std::bernoulli_distribution(stream.failingShare_)(random_);
            spec.payload_ = writeJson(payload);
            return planned;
        }

        /** Product of the factors of the bursts at this offset. */
        double rateFactor(Duration at, bool Burst::*appliesTo) const
        {
            double value = 1;
            for (const Burst& burst : experiment_.bursts_) {
                if (burst.*appliesTo && at >= burst.from_ && at < burst.until_)
                    value *= burst.factor_;
            }
            return value;
        }

        double maxRateFactor(bool Burst::*appliesTo) const
        {
            double value = 1;
            for (const Burst& burst : experiment_.bursts_) {
                if (burst.*appliesTo)
                    value *= std::max(1.0, burst.factor_);
            }
            return value;
        }

        /** Draws a Poisson process of varying rate by thinning one that has the highest rate throughout. */
        void forEachArrival(double ratePerSecond, bool Burst::*appliesTo, const std::function<void(Duration)>& onArrival)
        {
            const double maxFactor = maxRateFactor(appliesTo);
            if (ratePerSecond * maxFactor <= 0)
                return;
            std::exponential_distribution<double> interArrivalSeconds(ratePerSecond * maxFactor);
            double seconds = 0;
            while (true) {
                seconds += interArrivalSeconds(random_);
                const auto at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
                if (at >= experiment_.duration_)
                    return;
                if (std::uniform_real_distribution<double>(0, maxFactor)(random_) < rateFactor(at, appliesTo))
                    onArrival(at);
            }
        }

        std::string nextTag(const char* kind) { return prefix_ + "-" + kind + std::to_string(++counter_); }

        const Experiment& experiment_;
        Random random_;
        std::string prefix_;
        std::discrete_distribution<std::size_t> organisation_;
        int counter_ = 0;
    };

    template <typename Item>
    void sortByTime(std::vector<Item>& items)
    {
        std::stable_sort(items.begin(), items.end(), [](const Item& a, const Item& b) { return a.at_ < b.at_; });
    }

}

ArrivalPlan planArrivals(const Experiment& experiment, const Mix& mix, std::size_t organisations, std::uint64_t seed, const std::string& prefix)
{
    Planner planner(experiment, mix, organisations, seed, prefix);
    ArrivalPlan plan;
    for (const RequestStream& stream : mix.requests_)
        planner.addRequests(stream, plan);
    for (const JobStream& stream : mix.jobs_)
        planner.addJobs(stream, plan);
    sortByTime(plan.requests_);
    sortByTime(plan.jobs_);
    return plan;
}

}
