#include "node/activitytimes.h"

#include <cstdio>
#include <initializer_list>

namespace fescuecleat {

namespace {

    /** A lease lasts 3 s and is renewed long before its end, so this delays no renewal too far. */
    constexpr Duration slowTime = std::chrono::milliseconds(200);
    /** Upper bounds of the buckets, in seconds. */
    constexpr std::initializer_list<double> bounds { 0, 0.001, 0.005, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 3 };

    const char* nameOf(Activity activity)
    {
        switch (activity) {
        case Activity::Pass:
            return "pass";
        case Activity::Report:
            return "report";
        case Activity::Record:
            return "record";
        case Activity::Loading:
            return "loading";
        case Activity::Job:
            return "job";
        }
        return "unknown";
    }

}

ActivityTimes::ActivityTimes(JsonEventLog& log)
    : log_(log)
{
    histograms_.fill(Histogram(std::make_tuple(Axis(bounds))));
}

void ActivityTimes::record(Activity activity, Duration duration, const std::string& job)
{
    const auto index = static_cast<std::size_t>(activity);
    const double seconds = std::chrono::duration<double>(duration).count();
    histograms_.at(index)(seconds);
    sumSeconds_.at(index) += seconds;
    if (duration < slowTime)
        return;
    ++slowCount_;
    nlohmann::json fields { { "activity", nameOf(activity) }, { "tookMs", wholeMilliseconds(duration) } };
    if (!job.empty())
        fields["job"] = job;
    log_.write("scheduler.slow", std::move(fields));
}

std::string ActivityTimes::metrics() const
{
    std::string text;
    for (std::size_t i = 0; i < activityCount; ++i) {
        const std::string activity = std::string("activity=\"") + nameOf(static_cast<Activity>(i)) + "\"";
        const auto add = [&text](const std::string& name, const std::string& value) { text += "fescuecleat_activity_seconds" + name + " " + value + "\n"; };
        const auto& axis = histograms_.at(i).axis();
        std::uint64_t count = 0;
        for (int bucket = 0; bucket < axis.size(); ++bucket) {
            count += histograms_.at(i).at(bucket);
            char bound[32];
            std::snprintf(bound, sizeof(bound), "%g", axis.bin(bucket).upper());
            add("_bucket{" + activity + ",le=\"" + bound + "\"}", std::to_string(count));
        }
        count += histograms_.at(i).at(axis.size());
        add("_bucket{" + activity + ",le=\"+Inf\"}", std::to_string(count));
        add("_count{" + activity + "}", std::to_string(count));
        add("_sum{" + activity + "}", std::to_string(sumSeconds_.at(i)));
    }
    return text;
}

}
