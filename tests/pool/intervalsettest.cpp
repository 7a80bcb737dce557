#include "pool/intervalset.h"

#include <cppunit/extensions/HelperMacros.h>
#include <random>
#include <set>

using namespace fescuecleat;

/** Intervals against a set that has an element for each number. */
class IntervalSetTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(IntervalSetTest);
    CPPUNIT_TEST(agreesWithSetOfNumbers);
    CPPUNIT_TEST(joinsWhatTouches);
    CPPUNIT_TEST_SUITE_END();

    void agreesWithSetOfNumbers()
    {
        std::mt19937 random(4600);
        constexpr std::int64_t end = 40;
        for (int history = 0; history < 200; ++history) {
            IntervalSet intervals;
            std::set<std::int64_t> numbers;
            for (int change = 0; change < 60; ++change) {
                const auto first = static_cast<std::int64_t>(random() % end);
                const auto last = first + static_cast<std::int64_t>(random() % 8) - 1;
                const bool isInserted = random() % 2 == 0;
                isInserted ? intervals.insert({ first, last }) : intervals.erase({ first, last });
                for (std::int64_t number = first; number <= last; ++number)
                    isInserted ? void(numbers.insert(number)) : void(numbers.erase(number));
                compare(intervals, numbers, first, last);
            }
        }
    }

    void joinsWhatTouches()
    {
        IntervalSet set;
        set.insert({ 0, 3 });
        set.insert({ 5, 9 });
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), set.intervals().size());
        set.insert({ 4, 4 });
        CPPUNIT_ASSERT(set.intervals() == (std::vector<Interval> { { 0, 9 } }));
        CPPUNIT_ASSERT(set.within({ 2, 5 }) == (std::vector<Interval> { { 2, 5 } }));
    }

private:
    static void compare(const IntervalSet& intervals, const std::set<std::int64_t>& numbers, std::int64_t first, std::int64_t last)
    {
        std::set<std::int64_t> listed;
        std::int64_t previous = -2;
        for (const Interval& interval : intervals.intervals()) {
            CPPUNIT_ASSERT(interval.first_ > previous + 1);
            previous = interval.last_;
            for (std::int64_t number = interval.first_; number <= interval.last_; ++number)
                listed.insert(number);
        }
        CPPUNIT_ASSERT(listed == numbers);
        CPPUNIT_ASSERT_EQUAL(numbers.empty(), intervals.isEmpty());
        const auto next = numbers.lower_bound(first);
        CPPUNIT_ASSERT(intervals.firstFrom(first) == (next == numbers.end() ? std::nullopt : std::make_optional(*next)));
        bool containsAll = true;
        for (std::int64_t number = first; number <= last; ++number)
            containsAll = containsAll && numbers.count(number) > 0;
        CPPUNIT_ASSERT(last < first || containsAll == intervals.containsAll({ first, last }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IntervalSetTest);
