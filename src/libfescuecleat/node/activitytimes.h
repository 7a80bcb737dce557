#pragma once

#include "base/time.h"
#include "node/jsoneventlog.h"

#include <array>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>

namespace fescuecleat {

/** What keeps the event loop of a lease holder busy. */
enum class Activity {
    /** Deciding what to start and stop, and passing that on. */
    Pass,
    /** Taking a worker's report. */
    Report,
    /** Encoding the record of a job. */
    Record,
    /** Taking a page of records at the begin of a term. */
    Loading,
    /** Adding or restoring a job. */
    Job,
};

/** How long the activities of a lease holder take, as histograms; logs each that would delay the lease's renewal. */
class ActivityTimes {
public:
    explicit ActivityTimes(JsonEventLog&);

    /** Measures the time until its end. */
    class Scope {
    public:
        /** `job`: the job that the activity is about, or empty. */
        Scope(ActivityTimes& times, Activity activity, std::string job = {})
            : times_(times)
            , activity_(activity)
            , job_(std::move(job))
        {
        }
        ~Scope() { times_.record(activity_, std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin_), job_); }
        Scope(const Scope&) = delete;
        Scope& operator=(const Scope&) = delete;

    private:
        ActivityTimes& times_;
        Activity activity_;
        std::string job_;
        std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
    };

    void record(Activity, Duration, const std::string& job);
    std::uint64_t slowCount() const { return slowCount_; }
    /** Cumulative buckets, count and sum of each activity in the text format of the metrics. */
    std::string metrics() const;

private:
    using Axis = boost::histogram::axis::variable<double>;
    using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>>;

    static constexpr std::size_t activityCount = static_cast<std::size_t>(Activity::Job) + 1;

    JsonEventLog& log_;
    std::array<Histogram, activityCount> histograms_;
    std::array<double, activityCount> sumSeconds_ {};
    std::uint64_t slowCount_ = 0;
};

}
