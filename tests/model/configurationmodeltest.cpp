#include "model/configurationworld.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace fescuecleat;

namespace {

constexpr std::size_t mostStates = 2'000'000;
/** News for three instances and one more, and an instance that is replaced. */
constexpr ConfigurationWorld::Size oneChange { 1, 4, 1 };
/** Two operators who race. */
constexpr ConfigurationWorld::Size twoChanges { 2, 3, 0 };

}

/** Every interleaving of two racing configuration changes in a small world. */
class ConfigurationModelTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ConfigurationModelTest);
    CPPUNIT_TEST(acceptedNeverReverts);
    CPPUNIT_TEST(findsEveryFault);
    CPPUNIT_TEST_SUITE_END();

    void acceptedNeverReverts()
    {
        for (const ConfigurationWorld::Size& size : { oneChange, twoChanges }) {
            const Exploration exploration = explore(ConfigurationWorld(ConfigurationFault::None, size), mostStates);
            report("configuration", exploration);
            CPPUNIT_ASSERT_MESSAGE(traceText(exploration), exploration.violation_.empty() && exploration.isComplete_);
        }
    }

    void findsEveryFault()
    {
        for (const ConfigurationFault fault : { ConfigurationFault::AppliesLowerVersions, ConfigurationFault::StartsFromAnyone,
                 ConfigurationFault::CountsOnlyReports, ConfigurationFault::WritesWithoutComparing }) {
            const bool isRace = fault == ConfigurationFault::WritesWithoutComparing;
            const Exploration exploration = explore(ConfigurationWorld(fault, isRace ? twoChanges : oneChange), mostStates);
            report("configuration with fault " + std::to_string(static_cast<int>(fault)), exploration);
            CPPUNIT_ASSERT(!exploration.violation_.empty());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationModelTest);
