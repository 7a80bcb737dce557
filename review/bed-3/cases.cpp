#include "bed.h"

#include "base/bootclock.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace bed;

namespace {

constexpr int held = 0;
constexpr int broken = 1;
constexpr int notRun = 2;

using std::chrono::milliseconds;
using std::chrono::seconds;

bool hasTrouble()
{
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

PoolConfiguration configuration(int priority = 0, double stretch = 3, Duration latencyTarget = seconds(60))
{
    PoolConfiguration configuration;
    configuration.version_ = 7;
    QueueConfiguration queue;
    queue.name_ = "queue";
    queue.host_ = "jobs.example";
    queue.prefix_ = "/queue/";
    queue.service_ = "service";
    queue.priority_ = priority;
    queue.maxAttempts_ = 4;
    queue.stretch_ = stretch;
    queue.latencyTarget_ = latencyTarget;
    configuration.queues_.push_back(queue);
    configuration.services_.insert("service");
    configuration.organisations_.push_back({ "tenant", { "key-1" }, 0, {} });
    return configuration;
}

void addWorkers(Bed& bed, int count, int perRack)
{
    for (int i = 0; i < count; ++i) {
        const std::string number = std::to_string(i + 1);
        bed.addWorker({ "w" + number, "m" + number, "a", "r" + std::to_string(i / perRack), { 64000, 262144, 8 } });
    }
}

PoolJobSpec job(const std::string& payload, int tasks, int accelerators, Duration estimate)
{
    PoolJobSpec spec;
    spec.payload_ = payload;
    StepSpec step;
    step.taskCount_ = tasks;
    step.resources_ = { 4000, 8192, accelerators };
    step.estimate_ = estimate;
    spec.steps_.push_back(step);
    return spec;
}

std::string jobId(int number)
{
    char id[17];
    std::snprintf(id, sizeof(id), "%016x", number);
    return id;
}

/** The daemons have been up and undisturbed for longer than it takes to be in touch. */
bool settle(Bed& bed)
{
    if (!bed.awaitReady())
        return false;
    bed.runUntil(milliseconds(4500));
    return bed.awaitReady();
}

/**
 * All workers but one are busy. The idle one falls silent, and a job is submitted that would fit on it. The job has
 * not begun, and waits until a busy worker becomes free; the queue's count of waiting jobs has to include it.
 */
int waitingCount(Bed& bed)
{
    constexpr int workers = 12;
    constexpr Duration countedAfter = seconds(5); // 3 s until jobs are shown, and 2 s
    constexpr Duration answerTime = milliseconds(500);
    bed.behaviour_ = [](const RunId&, const std::string& payload) { return Behaviour { payload == "long" ? seconds(45) : seconds(2), EndReason::Done, 1 }; };
    addWorkers(bed, workers, 4);
    bed.setConfiguration(configuration());
    bed.startDaemons(2);
    if (!settle(bed))
        return bed.finish(notRun, "the daemons did not become ready");
    for (int i = 1; i < workers; ++i) {
        if (!bed.submitAndWait(jobId(i), job("long", 1, 8, seconds(45))))
            return bed.finish(notRun, "a job was not accepted");
    }
    const auto idle = [&bed] { return std::count_if(bed.workers().begin(), bed.workers().end(), [](const auto& worker) { return worker->isIdle(); }); };
    if (!bed.runUntil(seconds(10), [&] { return idle() == 1; }))
        return bed.finish(notRun, "the workers did not become busy");
    bed.runUntil(seconds(6));
    const auto& all = bed.workers();
    Worker& last = **std::find_if(all.begin(), all.end(), [](const auto& worker) { return worker->isIdle(); });
    if (hasTrouble())
        last.goDark();
    bed.runUntil(milliseconds(100));
    const std::string waiting = jobId(100);
    if (!bed.submitAndWait(waiting, job("short", 1, 8, seconds(2))))
        return bed.finish(notRun, "the job was not accepted");
    const Time acceptedAt = bootTimeNow();
    int wrong = 0;
    int right = 0;
    while (bootTimeNow() < acceptedAt + seconds(25) && !bed.hasBegun(waiting)) {
        for (std::size_t daemon = 0; daemon < bed.daemons(); ++daemon) {
            std::optional<std::pair<int, std::string>> answer;
            const Time askedAt = bootTimeNow();
            bed.countWaiting(daemon, [&](int status, const std::string& body) { answer = { status, body }; });
            bed.runUntil(seconds(4), [&] { return answer.has_value(); });
            const auto count = answer && answer->first == 200 ? std::make_optional(callerrequests::decodeWaiting(answer->second)) : std::nullopt;
            const bool isCounted = askedAt > acceptedAt + countedAfter + answerTime && !bed.hasBegun(waiting);
            bed.record("GET of the queue at daemon " + std::to_string(daemon + 1) + " is answered " + std::to_string(answer ? answer->first : 0) + " " + (answer ? answer->second : ""));
            if (!isCounted || !count || !*count)
                continue;
            // One job has been accepted for long enough and has not begun.
            (2 * **count < 1 ? wrong : right) += 1;
        }
        bed.runUntil(milliseconds(500));
    }
    bed.stateOf(0, waiting);
    const std::string result = std::to_string(wrong) + " answers of less than half of the jobs that had not begun, " + std::to_string(right) + " others";
    return wrong > 0 ? bed.finish(broken, "MIXED broken: " + result) : bed.finish(held, "held: " + result);
}

/**
 * Small tasks that last hold one accelerator of most workers. Two jobs take the two idle workers, and a third one that
 * needs a whole worker waits for them. When they have ended, it has to begin.
 */
int jobBehindOthers(Bed& bed)
{
    constexpr int workers = 10;
    constexpr Duration finish = seconds(14);
    constexpr Duration span = seconds(3);
    bed.behaviour_ = [](const RunId&, const std::string& payload) {
        if (payload == "lasting")
            return Behaviour { std::nullopt, EndReason::Done, 1 };
        return Behaviour { payload == "long" ? seconds(9) : seconds(1), EndReason::Done, 1 };
    };
    addWorkers(bed, workers, 5);
    bed.setConfiguration(configuration(1, 1.5, milliseconds(250)));
    bed.startDaemons(2);
    if (!settle(bed))
        return bed.finish(notRun, "the daemons did not become ready");
    PoolJobSpec lasting = job("lasting", 8, 1, seconds(1));
    lasting.steps_[0].isLongRunning_ = true;
    lasting.steps_[0].maxTasksPerWorker_ = 1;
    if (!bed.submitAndWait(jobId(1), lasting))
        return bed.finish(notRun, "a job was not accepted");
    const auto idle = [&bed] { return std::count_if(bed.workers().begin(), bed.workers().end(), [](const auto& worker) { return worker->isIdle(); }); };
    if (!bed.runUntil(seconds(10), [&] { return idle() == 2; }))
        return bed.finish(notRun, "the tasks that last did not begin");
    bed.runUntil(seconds(2));
    if (hasTrouble()) {
        for (int i = 2; i <= 3; ++i) {
            if (!bed.submitAndWait(jobId(i), job("long", 1, 8, seconds(1))))
                return bed.finish(notRun, "a job was not accepted");
        }
        if (!bed.runUntil(seconds(10), [&] { return idle() == 0; }))
            return bed.finish(notRun, "the jobs in front did not begin");
    }
    const std::string waiting = jobId(100);
    if (!bed.submitAndWait(waiting, job("short", 1, 8, seconds(1))))
        return bed.finish(notRun, "the job was not accepted");
    const Time acceptedAt = bootTimeNow();
    Time idleSince = acceptedAt + finish;
    Duration longest {};
    while (bootTimeNow() < acceptedAt + finish + seconds(30) && !bed.hasBegun(waiting)) {
        bed.runUntil(milliseconds(50));
        const Time now = bootTimeNow();
        // Two workers are idle: room for the job twice over. In use are 8 of 80 accelerators.
        if (idle() < 2)
            idleSince = std::max(idleSince, now);
        longest = std::max<Duration>(longest, now - std::min(now, idleSince));
    }
    bed.stateOf(0, waiting);
    bed.stateOf(1, waiting);
    const std::string result = std::string("the job ") + (bed.hasBegun(waiting) ? "has begun" : "has not begun") + "; after the time to finish it had nothing running for " + std::to_string(wholeMilliseconds(longest)) + " ms on end beside two idle workers";
    return longest >= span ? bed.finish(broken, "LOST broken: " + result) : bed.finish(held, "held: " + result);
}

/**
 * Small tasks that last hold one accelerator of most workers, and a task that lasts holds a whole one. That worker is
 * lost for good, and the task has to be started again; two workers are idle.
 */
int lostLastingTask(Bed& bed)
{
    constexpr int workers = 11;
    constexpr Duration span = seconds(9); // 3 s, from 6 s after its last run
    bed.behaviour_ = [](const RunId&, const std::string&) { return Behaviour { std::nullopt, EndReason::Done, 1 }; };
    addWorkers(bed, workers, 5);
    bed.setConfiguration(configuration(1, 1.5, milliseconds(250)));
    bed.startDaemons(2);
    if (!settle(bed))
        return bed.finish(notRun, "the daemons did not become ready");
    PoolJobSpec small = job("small", 8, 1, seconds(1));
    small.steps_[0].isLongRunning_ = true;
    small.steps_[0].maxTasksPerWorker_ = 1;
    PoolJobSpec whole = job("whole", 1, 8, seconds(1));
    whole.steps_[0].isLongRunning_ = true;
    const std::string lasting = jobId(100);
    if (!bed.submitAndWait(jobId(1), small) || !bed.submitAndWait(lasting, whole))
        return bed.finish(notRun, "a job was not accepted");
    const auto idle = [&bed] { return std::count_if(bed.workers().begin(), bed.workers().end(), [](const auto& worker) { return worker->isIdle(); }); };
    const auto soundAndIdle = [&bed] { return std::count_if(bed.workers().begin(), bed.workers().end(), [](const auto& worker) { return worker->isSound() && worker->isIdle(); }); };
    if (!bed.runUntil(seconds(10), [&] { return idle() == 2 && bed.workerOf(lasting) != nullptr; }))
        return bed.finish(notRun, "the tasks that last did not begin");
    bed.runUntil(seconds(15));
    if (hasTrouble())
        bed.workerOf(lasting)->crash();
    Time lastRunAt = bootTimeNow();
    Duration longest {};
    const Time until = lastRunAt + seconds(40);
    while (bootTimeNow() < until) {
        bed.runUntil(milliseconds(50));
        const Time now = bootTimeNow();
        // Two workers are idle: room for the task twice over.
        if (bed.workerOf(lasting) != nullptr || soundAndIdle() < 2)
            lastRunAt = now;
        longest = std::max<Duration>(longest, now - lastRunAt);
    }
    bed.stateOf(0, lasting);
    const std::string result = "the task that lasts had nothing running for " + std::to_string(wholeMilliseconds(longest)) + " ms on end beside two idle workers";
    return longest >= span ? bed.finish(broken, "LOST broken: " + result) : bed.finish(held, "held: " + result);
}

/**
 * A poll that acknowledges ends gets no answer. Its worker restarts under its id and runs further tasks; then the poll is
 * carried out, and the worker forgets ends that it has not reported yet. None of these tasks may be started again.
 */
int lateAcknowledgement(Bed& bed)
{
    constexpr int tasks = 8;
    // The tasks of a job end together, as those of one size that began together.
    bed.behaviour_ = [](const RunId&, const std::string&) {
        const std::int64_t nowMs = wholeMilliseconds(bootTimeNow().time_since_epoch());
        return Behaviour { milliseconds(1000 - nowMs % 500), EndReason::Done, 1 };
    };
    addWorkers(bed, 11, 4);
    bed.addWorker({ "w12", "m12", "b", "r2", { 64000, 262144, 8 } });
    Worker& worker = *bed.workers().back();
    bed.setConfiguration(configuration());
    // As on the sheets: a transaction takes 5 ms.
    bed.store_.setCommitDelay(milliseconds(5));
    bed.startDaemons(2);
    if (!settle(bed))
        return bed.finish(notRun, "the daemons did not become ready");
    PoolJobSpec spec = job("short", tasks, 1, seconds(1));
    spec.steps_[0].requiredLabel_ = "b";
    const auto doneTasks = [&bed](const std::string& id) {
        std::set<TaskId> done;
        for (const RunEvent& event : bed.runs()) {
            if (event.run_.task_.job_ == id && event.how_ == "done")
                done.insert(event.run_.task_);
        }
        return done.size();
    };
    if (hasTrouble())
        worker.loseNextPoll(tasks);
    if (!bed.submitAndWait(jobId(1), spec) || !bed.runUntil(seconds(10), [&] { return doneTasks(jobId(1)) == tasks; }))
        return bed.finish(notRun, "the first job was not done");
    if (hasTrouble()) {
        if (!bed.runUntil(seconds(3), [&] { return worker.hasLostPoll(); }))
            return bed.finish(notRun, "no poll with that acknowledgement came");
        bed.runUntil(milliseconds(200));
        worker.crash();
        bed.runUntil(milliseconds(500));
        worker.restart();
    }
    bed.runUntil(milliseconds(1500));
    for (int i = 2; i <= 6; ++i) {
        if (!bed.submitAndWait(jobId(i), spec) || !bed.runUntil(seconds(15), [&] { return doneTasks(jobId(i)) == tasks; }))
            return bed.finish(notRun, "a later job was not done");
        if (worker.hasCarriedOutLatePoll())
            break;
    }
    if (hasTrouble() && !worker.hasCarriedOutLatePoll())
        return bed.finish(notRun, "the poll was not carried out");
    bed.runUntil(seconds(10));
    // Started again after a run has ended done, with the end taken note of, on a worker that was up with its lease.
    std::set<TaskId> again;
    for (const RunEvent& ended : bed.runs()) {
        for (const RunEvent& later : bed.runs()) {
            if (ended.how_ == "done" && ended.isNoted_ && later.run_.task_ == ended.run_.task_ && later.startedAt_ > *ended.endedAt_)
                again.insert(ended.run_.task_);
        }
    }
    const std::string result = std::to_string(again.size()) + " tasks were started again after a run had ended done and its end had been taken note of";
    return again.empty() ? bed.finish(held, "held: " + result) : bed.finish(broken, "TWICE broken: " + result);
}

/**
 * A gang is accepted that no set of workers can ever hold, as a hopeless job. A small job that is accepted after it has
 * to begin all the same.
 */
int jobBehindHopelessGang(Bed& bed)
{
    constexpr int workers = 8;
    constexpr Duration finish = seconds(14);
    constexpr Duration span = seconds(3);
    bed.behaviour_ = [](const RunId&, const std::string&) { return Behaviour { seconds(1), EndReason::Done, 1 }; };
    addWorkers(bed, workers, 8);
    bed.setConfiguration(configuration(1, 3, seconds(3)));
    bed.startDaemons(2);
    if (!settle(bed))
        return bed.finish(notRun, "the daemons did not become ready");
    if (hasTrouble()) {
        PoolJobSpec gang = job("gang", 9, 8, seconds(10));
        gang.steps_[0].isGang_ = true;
        if (!bed.submitAndWait(jobId(1), gang))
            return bed.finish(notRun, "the gang was not accepted");
    }
    const std::string waiting = jobId(100);
    if (!bed.submitAndWait(waiting, job("short", 1, 1, seconds(20))))
        return bed.finish(notRun, "the job was not accepted");
    const Time acceptedAt = bootTimeNow();
    bed.runUntil(seconds(60), [&] { return bed.hasBegun(waiting); });
    const Duration waited = bootTimeNow() - acceptedAt;
    bed.stateOf(0, waiting);
    const std::string result = std::string("the job ") + (bed.hasBegun(waiting) ? "began" : "had not begun") + " after " + std::to_string(wholeMilliseconds(waited)) + " ms, beside idle workers";
    return waited >= finish + span ? bed.finish(broken, "LOST broken: " + result) : bed.finish(held, "held: " + result);
}

}

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: cases NAME FOLDER ROOT\n");
        return notRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    try {
        Bed bed(argv[2], argv[3]);
        const std::string name = argv[1];
        if (name == "waiting-count")
            return waitingCount(bed);
        if (name == "lost-lasting-task")
            return lostLastingTask(bed);
        if (name == "late-acknowledgement")
            return lateAcknowledgement(bed);
        if (name == "job-behind-others")
            return jobBehindOthers(bed);
        if (name == "job-behind-hopeless-gang")
            return jobBehindHopelessGang(bed);
        std::fprintf(stderr, "unknown case\n");
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    return notRun;
}
