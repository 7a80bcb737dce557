#include "../common/deployment.h"

using namespace review;

namespace {

constexpr const char* scheduleQueue = "/pule252/"; // termografia
constexpr const char* plainQueue = "/lohu930/"; // fotogrammetria
/** A time each minute for ten weeks; an instance accepts that many. */
constexpr int occurrences = 100000;
constexpr std::int64_t periodMs = 60000;
/** RULES.md, LOST: jobs are asked for this long after the end of the traffic. */
constexpr int finishMs = 14000;
/** How long a client waits for an answer, and how often each instance is asked. */
constexpr int timeLimitMs = 3000;
constexpr int rounds = 6;

JobPlan plainJob(int number)
{
    return { jobId(number), "facade", { StepPlan { 2, false, false, false, 500, 1, 5600, 29000 } } };
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

}

/** A client hands in a long schedule whose times have passed, all of them but for the last. */
int main(int argc, char** argv)
{
    const CaseArguments arguments = parseArguments(argc, argv);
    Record record(arguments.record_);
    Deployment::Options options;
    Deployment deployment(arguments.program_, arguments.folder_, record, options);
    if (!deployment.start() || !deployment.submit(plainQueue, plainJob(1), 500))
        return couldNotRun;
    const std::int64_t firstMs = arguments.hasTrouble_ ? unixMs() - (occurrences - 1) * periodMs : unixMs() + 1000;
    JobPlan schedule = plainJob(2);
    schedule.steps_.front().count_ = 1;
    const Json times { { "repeats", occurrences }, { "firstMs", firstMs }, { "periodMs", periodMs } };
    if (!deployment.submit(scheduleQueue, schedule, 500, times.dump()))
        return couldNotRun;
    record.write("end of the traffic");
    sleepMs(finishMs);
    int unanswered = 0;
    int calls = 0;
    std::vector<bool> answered(deployment.instances());
    for (int round = 0; round < rounds; ++round) {
        for (std::size_t i = 0; i < deployment.instances(); ++i) {
            const CallResult result = deployment.call(i, "GET", plainQueue, jobId(1), {}, timeLimitMs);
            record.write("GET %s%s at instance %zu: %s%d %s", plainQueue, jobId(1).c_str(), i + 1, result.status_ == 0 ? "no answer within 3 s, " : "", result.status_, result.body_.c_str());
            ++calls;
            unanswered += result.status_ == 0 ? 1 : 0;
            answered[i] = answered[i] || result.status_ != 0;
        }
        sleepMs(1000);
    }
    std::size_t hanging = 0;
    for (std::size_t i = 0; i < deployment.instances(); ++i)
        hanging += !answered[i] && !deployment.hasEnded(i) ? 1 : 0;
    record.write("%d of %d calls had no answer; %zu of %zu instances run but never answered", unanswered, calls, hanging, deployment.instances());
    return hanging == deployment.instances() ? ruleBroken : ruleHeld;
}
