#include <cppunit/CompilerOutputter.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>
#include <iostream>

/** Runs all registered tests, or only those at the path given as the first argument. */
int main(int argc, char** argv)
{
    CppUnit::TextTestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.setOutputter(new CppUnit::CompilerOutputter(&runner.result(), std::cerr));
    const std::string path = argc > 1 ? argv[1] : "";
    return runner.run(path) ? 0 : 1;
}
