#include "pool/workprogress.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>
#include <random>

using namespace fescuecleat;
using namespace std::chrono_literals;

namespace {

constexpr unsigned firstSeed = 4600;
constexpr int histories = 300;

/** Keeps an object for each unit, and walks through all of them. */
class NaiveProgress {
public:
    struct Unit {
        UnitId id_;
        bool isBlocked_ = true;
        bool isDone_ = false;
        bool isActive_ = false;
        Time readySince_ {};
    };

    explicit NaiveProgress(PoolJobSpec spec)
        : spec_(std::move(spec))
    {
    }

    void open(int end, Time now)
    {
        for (; opened_ < end; ++opened_) {
            for (int step = 0; step < static_cast<int>(spec_.steps_.size()); ++step) {
                const StepSpec& stepSpec = spec_.steps_[static_cast<std::size_t>(step)];
                const bool isGang = stepSpec.isGang_ && stepSpec.taskCount_ > 1;
                for (int index = 0; index < (isGang ? 1 : stepSpec.taskCount_); ++index)
                    units_.push_back({ { opened_, step, isGang ? -1 : index } });
            }
        }
        unblock(now);
    }

    void setDone(const UnitId& id, Time now)
    {
        Unit& unit = find(id);
        unit.isDone_ = true;
        unit.isActive_ = false;
        unblock(now);
    }

    Unit& find(const UnitId& id)
    {
        return *std::find_if(units_.begin(), units_.end(), [&id](const Unit& unit) { return unit.id_ == id; });
    }

    std::vector<UnitId> waiting() const
    {
        return select([](const Unit& unit) { return !unit.isBlocked_ && !unit.isDone_ && !unit.isActive_; });
    }

    std::vector<UnitId> active() const
    {
        return select([](const Unit& unit) { return unit.isActive_; });
    }

    std::vector<TaskRange> doneTasks() const
    {
        const TaskNumbering numbering(spec_);
        PoolJobRecord record;
        for (const Unit& unit : units_) {
            const std::int64_t first = numbering.number(unit.id_.occurrence_, unit.id_.step_, unit.id_.index_);
            if (unit.isDone_)
                record.addDone({ first, first + (unit.id_.index_ < 0 ? spec_.steps_[static_cast<std::size_t>(unit.id_.step_)].taskCount_ : 1) - 1 });
        }
        return record.done_;
    }

    bool areAllDone() const
    {
        return std::all_of(units_.begin(), units_.end(), [](const Unit& unit) { return unit.isDone_; });
    }

    int opened() const { return opened_; }

private:
    template <typename Predicate>
    std::vector<UnitId> select(Predicate predicate) const
    {
        std::vector<UnitId> result;
        for (const Unit& unit : units_) {
            if (predicate(unit))
                result.push_back(unit.id_);
        }
        return result;
    }

    bool isStepDone(int occurrence, int step) const
    {
        return std::all_of(units_.begin(), units_.end(), [occurrence, step](const Unit& unit) { return unit.id_.occurrence_ != occurrence || unit.id_.step_ != step || unit.isDone_; });
    }

    void unblock(Time now)
    {
        for (Unit& unit : units_) {
            const std::vector<int>& after = spec_.steps_[static_cast<std::size_t>(unit.id_.step_)].after_;
            if (!unit.isBlocked_ || !std::all_of(after.begin(), after.end(), [this, &unit](int step) { return isStepDone(unit.id_.occurrence_, step); }))
                continue;
            unit.isBlocked_ = false;
            unit.readySince_ = now;
        }
    }

    PoolJobSpec spec_;
    int opened_ = 0;
    std::vector<Unit> units_;
};

std::vector<UnitId> waitingUnits(const WorkProgress& progress)
{
    std::vector<UnitId> result;
    for (const int index : progress.waitingSteps()) {
        const StepProgress& step = progress.step(index);
        for (auto number = step.firstWaiting(0); number; number = step.firstWaiting(*number + 1))
            result.push_back(step.idOf(*number));
    }
    std::sort(result.begin(), result.end());
    return result;
}

std::vector<std::int64_t> numbers(const std::vector<TaskRange>& ranges)
{
    std::vector<std::int64_t> result;
    for (const TaskRange& range : ranges) {
        for (std::int64_t number = range.first_; number <= range.last_; ++number)
            result.push_back(number);
    }
    return result;
}

/** One random history of a job in both models. */
class History {
public:
    explicit History(unsigned seed)
        : random_(seed)
        , spec_(randomJob())
        , progress_(spec_)
        , naive_(spec_)
    {
    }

    void play()
    {
        while (!naive_.areAllDone() || naive_.opened() < spec_.occurrences_) {
            now_ += 1ms;
            switch (roll(5)) {
            case 0:
                open();
                break;
            case 1:
            case 2:
                start();
                break;
            case 3:
                end();
                break;
            default:
                if (roll(8) == 0)
                    restore();
            }
            compare();
        }
        CPPUNIT_ASSERT(progress_.areDone(spec_.occurrences_));
        CPPUNIT_ASSERT(progress_.started().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), progress_.doneTasks().size());
    }

private:
    std::size_t roll(std::size_t sides) { return random_() % sides; }

    PoolJobSpec randomJob()
    {
        PoolJobSpec spec;
        spec.occurrences_ = 1 + static_cast<int>(roll(4));
        const int steps = 1 + static_cast<int>(roll(4));
        for (int i = 0; i < steps; ++i) {
            StepSpec step;
            step.taskCount_ = 1 + static_cast<int>(roll(4));
            step.isGang_ = roll(3) == 0;
            for (int dependency = 0; dependency < i; ++dependency) {
                if (roll(3) == 0)
                    step.after_.push_back(dependency);
            }
            spec.steps_.push_back(step);
        }
        return spec;
    }

    void open()
    {
        const int end = std::min(spec_.occurrences_, naive_.opened() + 1 + static_cast<int>(roll(2)));
        naive_.open(end, now_);
        progress_.open(end, now_);
    }

    void start()
    {
        const std::vector<UnitId> waiting = naive_.waiting();
        if (waiting.empty())
            return;
        const UnitId unit = waiting[roll(waiting.size())];
        if (progress_.find(unit) == nullptr)
            CPPUNIT_ASSERT(naive_.find(unit).readySince_ == progress_.readySince(unit));
        naive_.find(unit).isActive_ = true;
        WorkUnit& started = progress_.start(unit);
        ++started.lastRun_;
        progress_.setState(unit, UnitState::Active, now_);
    }

    void end()
    {
        const std::vector<UnitId> active = naive_.active();
        if (active.empty())
            return;
        const UnitId unit = active[roll(active.size())];
        if (roll(4) == 0) {
            naive_.find(unit).isActive_ = false;
            progress_.setState(unit, UnitState::Waiting, now_);
            return;
        }
        naive_.setDone(unit, now_);
        progress_.setState(unit, UnitState::Done, now_);
        progress_.dropDone(unit);
    }

    /** Continues with what a record of the progress holds. */
    void restore()
    {
        WorkProgress restored(spec_);
        restored.restoreDone(progress_.doneTasks(), spec_.occurrences_, now_);
        restored.open(naive_.opened(), now_);
        for (const WorkUnit* unit : progress_.started()) {
            restored.start(unit->id_);
            restored.setState(unit->id_, unit->state_, now_);
        }
        progress_ = std::move(restored);
        for (const UnitId& unit : naive_.waiting())
            naive_.find(unit).readySince_ = now_;
    }

    void compare()
    {
        CPPUNIT_ASSERT(naive_.waiting() == waitingUnits(progress_));
        CPPUNIT_ASSERT(numbers(naive_.doneTasks()) == numbers(progress_.doneTasks()));
        CPPUNIT_ASSERT_EQUAL(naive_.opened(), progress_.openedOccurrences());
        CPPUNIT_ASSERT_EQUAL(naive_.opened() == spec_.occurrences_ && naive_.areAllDone(), progress_.areDone(spec_.occurrences_));
    }

    std::mt19937 random_;
    PoolJobSpec spec_;
    WorkProgress progress_;
    NaiveProgress naive_;
    Time now_ { 1000s };
};

}

/** Progress that keeps intervals of units, against one that keeps an object for each. */
class WorkProgressTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(WorkProgressTest);
    CPPUNIT_TEST(agreesWithAnObjectForEachUnit);
    CPPUNIT_TEST(doneUnitOfDoneOccurrenceUnblocksNothing);
    CPPUNIT_TEST(unitThatStartedBeforeItsStepWasReadyStartsOnce);
    CPPUNIT_TEST(ignoresUnitsThatTheJobDoesNotHave);
    CPPUNIT_TEST_SUITE_END();

    void agreesWithAnObjectForEachUnit()
    {
        for (unsigned seed = firstSeed; seed < firstSeed + histories; ++seed)
            History(seed).play();
    }

    /** Guards against a second run of tasks that are done: the run of an earlier step ends after its occurrence was restored as done. */
    void doneUnitOfDoneOccurrenceUnblocksNothing()
    {
        PoolJobSpec spec;
        spec.steps_.resize(3);
        spec.steps_[1].after_ = { 0 };
        spec.steps_[2].after_ = { 1 };
        WorkProgress progress(spec);
        progress.restoreDone({ { 0, 2 } }, 1, Time { 1000s });
        progress.open(1, Time { 1000s });
        WorkUnit& unit = progress.start({ 0, 0, 0 });
        unit.openRuns_.insert({ { "job", 0, 0, 0 }, 1 });
        progress.setState({ 0, 0, 0 }, UnitState::Done, Time { 1000s });
        CPPUNIT_ASSERT(!progress.hasWaiting());
        CPPUNIT_ASSERT(progress.areDone(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), progress.doneTasks().size());
        CPPUNIT_ASSERT(progress.step(0).doneUnits().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), progress.started().size());
    }

    /** After a failover between two commits, the record of a step may be older than that of the step after it. */
    void unitThatStartedBeforeItsStepWasReadyStartsOnce()
    {
        PoolJobSpec spec;
        spec.steps_.resize(2);
        spec.steps_[1].taskCount_ = 2;
        spec.steps_[1].after_ = { 0 };
        WorkProgress progress(spec);
        progress.open(1, Time { 1000s });
        progress.start({ 0, 1, 0 });
        progress.setState({ 0, 1, 0 }, UnitState::Active, Time { 1000s });
        progress.start({ 0, 0, 0 });
        progress.setState({ 0, 0, 0 }, UnitState::Done, Time { 1000s });
        CPPUNIT_ASSERT(waitingUnits(progress) == (std::vector<UnitId> { { 0, 1, 1 } }));
    }

    void ignoresUnitsThatTheJobDoesNotHave()
    {
        PoolJobSpec spec;
        spec.steps_.resize(2);
        spec.steps_[0].taskCount_ = 3;
        spec.steps_[1].taskCount_ = 3;
        spec.steps_[1].isGang_ = true;
        WorkProgress progress(spec);
        CPPUNIT_ASSERT(progress.contains({ 0, 0, 2 }, 1));
        CPPUNIT_ASSERT(progress.contains({ 0, 1, -1 }, 1));
        for (const UnitId& unit : { UnitId { 1, 0, 0 }, { -1, 0, 0 }, { 0, 2, 0 }, { 0, -1, 0 }, { 0, 0, 3 }, { 0, 0, -1 }, { 0, 1, 0 } })
            CPPUNIT_ASSERT(!progress.contains(unit, 1));
        progress.restoreDone({ { -5, -1 }, { 6, 100 }, { 3, 2 } }, 1, Time { 1000s });
        CPPUNIT_ASSERT(progress.doneTasks().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkProgressTest);
