#include "json/json.h"
#include "json/objectreader.h"

#include <cppunit/extensions/HelperMacros.h>
#include <string>

using namespace fescuecleat;

/** Tests which JSON texts are accepted, and error reporting. */
class JsonTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(JsonTest);
    CPPUNIT_TEST(acceptsComments);
    CPPUNIT_TEST(rejectsDuplicateMembers);
    CPPUNIT_TEST(rejectsTrailingText);
    CPPUNIT_TEST(rejectsDeepNesting);
    CPPUNIT_TEST(rejectsTruncatedText);
    CPPUNIT_TEST(rejectsInvalidSyntaxAcceptedByCxxtools);
    CPPUNIT_TEST(roundTripsValues);
    CPPUNIT_TEST(reportsAllErrors);
    CPPUNIT_TEST_SUITE_END();

    static ErrorKind errorKindOf(const std::string& text)
    {
        const Result<JsonValue> value = parseJson(text);
        CPPUNIT_ASSERT_MESSAGE(text, !value);
        return value.error().kind_;
    }

    void acceptsComments()
    {
        CPPUNIT_ASSERT(parseJson("// one\n{ /* two */ \"a\": 1 } // three\n"));
        CPPUNIT_ASSERT(parseJson("{\"a\": \"text with // and \\\" in it }\"}"));
        CPPUNIT_ASSERT(parseJson("17"));
        CPPUNIT_ASSERT(parseJson("true"));
    }

    void rejectsDuplicateMembers()
    {
        CPPUNIT_ASSERT(errorKindOf("{\"a\": 1, \"a\": 2}") == ErrorKind::DuplicateMember);
        CPPUNIT_ASSERT(errorKindOf("{\"a\": [{\"b\": 1, \"b\": 1}]}") == ErrorKind::DuplicateMember);
    }

    void rejectsTrailingText()
    {
        CPPUNIT_ASSERT(errorKindOf("{} {}") == ErrorKind::InvalidSyntax);
        CPPUNIT_ASSERT(errorKindOf("{}x") == ErrorKind::InvalidSyntax);
        CPPUNIT_ASSERT(errorKindOf("{}}") == ErrorKind::InvalidSyntax);
        CPPUNIT_ASSERT(errorKindOf("12 13") == ErrorKind::InvalidSyntax);
    }

    void rejectsDeepNesting()
    {
        CPPUNIT_ASSERT(errorKindOf(std::string(100000, '[')) == ErrorKind::TooDeep);
        CPPUNIT_ASSERT(parseJson(std::string(10, '[') + std::string(10, ']')));
    }

    void rejectsTruncatedText()
    {
        for (const char* text : { "", "  // only a comment", "{", "{\"a\"", "{\"a\":", "[1,", "\"abc", "{\"a\": tru" })
            errorKindOf(text);
    }

    /** cxxtools accepts these: it reads "tru" as null and "1e" as a number, and ignores a trailing comma. */
    void rejectsInvalidSyntaxAcceptedByCxxtools()
    {
        for (const char* token : { "tru", "nul", "falsey", "truefalse", "TRUE", "1e", "1e+", ".", ".5", "5.", "-", "+1", "01", "-01", "0x1", "1-2", "1_000", "NaN", "Infinity" }) {
            CPPUNIT_ASSERT_MESSAGE(token, errorKindOf(std::string("{\"a\": ") + token + "}") == ErrorKind::InvalidSyntax);
            CPPUNIT_ASSERT_MESSAGE(token, errorKindOf(token) == ErrorKind::InvalidSyntax);
        }
        for (const char* token : { "0", "-0", "10", "1.5", "-1.25e+10", "1E5", "0.1", "true", "false", "null" })
            CPPUNIT_ASSERT_MESSAGE(token, parseJson(std::string("[1, /* x */ ") + token + "]"));
        CPPUNIT_ASSERT(errorKindOf("{\"a\": 1,}") == ErrorKind::InvalidSyntax);
        CPPUNIT_ASSERT(errorKindOf("[1, 2 , // three\n ]") == ErrorKind::InvalidSyntax);
        CPPUNIT_ASSERT_EQUAL(std::string("file: line 2"), parseJson("{\n\"a\": tru}", "file").error().location_);
    }

    void roundTripsValues()
    {
        const std::string text = "{\"a\":[1,-2,2.5],\"b\":{\"c\":\"x\\\"y\"},\"d\":true}";
        CPPUNIT_ASSERT_EQUAL(text, writeJson(*parseJson(text)));
        CPPUNIT_ASSERT_EQUAL(text, writeJson(*parseJson(writePrettyJson(*parseJson(text)))));
        CPPUNIT_ASSERT_EQUAL(std::string("{}"), writeJson(jsonObject()));
        CPPUNIT_ASSERT_EQUAL(std::string("[]"), writeJson(jsonArray()));
    }

    void reportsAllErrors()
    {
        const JsonValue value = *parseJson("{\"tasks\": \"4\", \"size\": -1, \"extra\": 0}");
        std::vector<Error> errors;
        ObjectReader reader(value, "job", errors);
        reader.integer("tasks", 1, 128);
        reader.integer("size", 0, 10);
        reader.string("name");
        reader.finish();
        CPPUNIT_ASSERT_EQUAL(std::size_t { 4 }, errors.size());
        CPPUNIT_ASSERT(errors[0].kind_ == ErrorKind::WrongType);
        CPPUNIT_ASSERT(errors[1].kind_ == ErrorKind::OutOfRange);
        CPPUNIT_ASSERT(errors[2].kind_ == ErrorKind::MissingMember);
        CPPUNIT_ASSERT(errors[3].kind_ == ErrorKind::UnknownMember);
        CPPUNIT_ASSERT_EQUAL(std::string("job.extra"), errors[3].location_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JsonTest);
