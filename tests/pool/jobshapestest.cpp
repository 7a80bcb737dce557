#include "pool/completingworker.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr const char* jobId = "00000000000000aa";
constexpr unsigned firstSeed = 4700;
constexpr int histories = 300;

/** A random job from its submission to its end, with failures and hand-overs. */
class ShapeHistory {
public:
    explicit ShapeHistory(unsigned seed)
        : seed_(seed)
        , random_(seed)
        , spec_(randomJob())
        , worker_(std::make_unique<CompletingWorker>())
    {
        worker_->add(jobId, spec_);
    }

    void play()
    {
        constexpr int maxTurns = 2000;
        for (int turn = 0; worker_->state(jobId) != PoolJobState::Completed; ++turn) {
            assertThat(turn < maxTurns, "the job does not end");
            if (roll(6) == 0)
                handOver();
            for (const RunId& run : worker_->startAll())
                begin(run);
            end(roll(5) == 0 ? EndReason::Failed : EndReason::Done);
        }
        assertThat(done_.size() == allTasks(), "not all tasks are done");
    }

private:
    void assertThat(bool condition, const char* what) const { CPPUNIT_ASSERT_MESSAGE(std::string(what) + ", seed " + std::to_string(seed_), condition); }

    std::size_t roll(std::size_t sides) { return random_() % sides; }

    PoolJobSpec randomJob()
    {
        PoolJobSpec spec;
        const int steps = 1 + static_cast<int>(roll(4));
        for (int i = 0; i < steps; ++i) {
            StepSpec step;
            step.taskCount_ = 1 + static_cast<int>(roll(6));
            step.isGang_ = roll(3) == 0;
            step.resources_ = { 1000, 1000, static_cast<std::int64_t>(roll(2)) };
            step.estimate_ = std::chrono::seconds(1 + roll(3));
            for (int dependency = 0; dependency < i; ++dependency) {
                if (roll(3) == 0)
                    step.after_.push_back(dependency);
            }
            spec.steps_.push_back(step);
        }
        if (roll(2) == 0)
            return spec;
        spec.occurrences_ = 1 + static_cast<int>(roll(5));
        spec.periodMs_ = static_cast<std::int64_t>(roll(4) * 1000);
        // Some times have passed, and some are ahead.
        spec.firstDueUnixMs_ = CompletingWorker::startUnixMs + (static_cast<std::int64_t>(roll(9)) - 6) * 1000;
        return spec;
    }

    std::size_t allTasks() const
    {
        std::size_t tasks = 0;
        for (const StepSpec& step : spec_.steps_)
            tasks += static_cast<std::size_t>(step.taskCount_);
        return tasks * static_cast<std::size_t>(std::max(1, spec_.occurrences_));
    }

    bool isStepDone(int occurrence, int step) const
    {
        for (int index = 0; index < spec_.steps_[static_cast<std::size_t>(step)].taskCount_; ++index) {
            if (done_.count({ jobId, occurrence, step, index }) == 0)
                return false;
        }
        return true;
    }

    void begin(const RunId& run)
    {
        const TaskId& task = run.task_;
        assertThat(done_.count(task) == 0, "a done task starts again");
        assertThat(running_.count(task) == 0, "two runs of one task");
        assertThat(run.number_ > lastRuns_[task], "the numbers of runs do not rise");
        for (const int dependency : spec_.steps_[static_cast<std::size_t>(task.step_)].after_)
            assertThat(isStepDone(task.occurrence_, dependency), "a step starts before those that it depends on are done");
        const auto sinceStart = wholeMilliseconds(worker_->now_ - CompletingWorker::start);
        assertThat(!spec_.isTimed() || spec_.dueUnixMs(task.occurrence_) <= CompletingWorker::startUnixMs + sinceStart, "an occurrence starts before it is due");
        lastRuns_[task] = run.number_;
        running_[task] = run;
    }

    bool isGang(const TaskId& task) const
    {
        const StepSpec& step = spec_.steps_[static_cast<std::size_t>(task.step_)];
        return step.isGang_ && step.taskCount_ > 1;
    }

    /** Ends one task, or a whole gang, and reports the others as running. */
    void end(EndReason reason)
    {
        if (running_.empty())
            return;
        auto chosen = std::next(running_.begin(), static_cast<std::ptrdiff_t>(roll(running_.size())));
        const TaskId task = chosen->first;
        // Only the first attempt fails, as the job would be given up otherwise.
        if (chosen->second.number_ > 1)
            reason = EndReason::Done;
        std::vector<RunId> ended;
        std::vector<RunId> running;
        for (auto it = running_.begin(); it != running_.end();) {
            if (it->first == task || (isGang(task) && areOfOneStep(it->first, task))) {
                ended.push_back(it->second);
                if (reason == EndReason::Done)
                    done_.insert(it->first);
                it = running_.erase(it);
            } else {
                running.push_back(it->second);
                ++it;
            }
        }
        worker_->report(ended, reason, running);
    }

    /** The next scheduler has what was stored, and the worker reports what runs. */
    void handOver()
    {
        const PoolJobRecord record = worker_->storedRecord(jobId);
        auto next = std::make_unique<CompletingWorker>();
        next->now_ = worker_->now_;
        next->add(jobId, spec_, 1, &record);
        std::vector<RunId> running;
        for (const auto& [task, run] : running_)
            running.push_back(run);
        next->report({}, EndReason::Done, running);
        worker_ = std::move(next);
    }

    unsigned seed_;
    std::mt19937 random_;
    PoolJobSpec spec_;
    std::unique_ptr<CompletingWorker> worker_;
    std::map<TaskId, RunId> running_;
    std::map<TaskId, int> lastRuns_;
    std::set<TaskId> done_;
};

}

/** Jobs of random shapes: steps, dependencies, gangs, and times that have passed, coincide or are ahead. */
class JobShapesTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JobShapesTest);
    CPPUNIT_TEST(runsEachTaskOnceInOrder);
    CPPUNIT_TEST_SUITE_END();

    void runsEachTaskOnceInOrder()
    {
        for (unsigned seed = firstSeed; seed < firstSeed + histories; ++seed)
            ShapeHistory(seed).play();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobShapesTest);
