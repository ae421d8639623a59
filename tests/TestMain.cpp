// Runs the registered CppUnit tests of one package; an argument selects a test or suite by its path.

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

int main(int argc, char** argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, argc > 1 ? argv[1] : "");

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    // A program that ran no test has not verified anything.
    return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
