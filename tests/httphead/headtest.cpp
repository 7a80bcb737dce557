#include "support/runningdaemon.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace fescuecleat;

/** Requests with a malformed head must get a typed error. The HTTP library answers them itself, before the handler sees them. */
class HeadTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(HeadTest);
    CPPUNIT_TEST(rejectsMalformedHead);
    CPPUNIT_TEST(rejectsOversizedHead);
    CPPUNIT_TEST(rejectsStalledRequest);
    CPPUNIT_TEST_SUITE_END();

    void assertRejected(const std::string& bytes, int status) const
    {
        const std::string answer = test::rawExchange(daemon_.callerAddress(), bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer, std::size_t { 0 }, answer.find("HTTP/1.1 " + std::to_string(status) + " "));
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("\"kind\":") != std::string::npos);
    }

    void rejectsMalformedHead()
    {
        for (const char* head : { "garbage\r\n\r\n", "GET /v1/jobs\r\n\r\n", "GET /v1/jobs?wait_ms=%f HTTP/1.1\r\n\r\n", "\x16\x03\x01\x02" })
            assertRejected(head, 400);
    }

    void rejectsOversizedHead()
    {
        assertRejected("GET /v1/jobs HTTP/1.1\r\nX: " + std::string(100000, 'y') + "\r\n\r\n", 431);
    }

    void rejectsStalledRequest()
    {
        assertRejected("GET /v1/jobs HT", 408);
        assertRejected("POST /v1/jobs HTTP/1.1\r\nContent-Length: 100\r\n\r\n{", 408);
    }

    test::RunningDaemon daemon_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HeadTest);
