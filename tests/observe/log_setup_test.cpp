#include "observe/log_setup.h"

#include <boost/json/parse.hpp>
#include <boost/make_shared.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iostream>
#include <sstream>
#include <string>

using namespace comfreypass::observe;

class log_setup_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_setup_test);
    CPPUNIT_TEST(jsonLineIsOneObject);
    CPPUNIT_TEST(textFormatEscapesLineBreaks);
    CPPUNIT_TEST(levelFiltersLines);
    CPPUNIT_TEST(nothingIsWrittenWithoutSetup);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against quotes or line breaks in a message that make the line unparsable.
    void jsonLineIsOneObject()
    {
        const std::string text = write(log_format::Json, log_level::Info, [] {
            logEvent(log_level::Warning, "sheet_conflict", "two sheets\nof \"revision\" 7",
                     {{"revision", "7"}});
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::count(text.begin(), text.end(), '\n'));
        const boost::json::value line = boost::json::parse(text);
        CPPUNIT_ASSERT(line.at("event") == "sheet_conflict");
        CPPUNIT_ASSERT(line.at("level") == "warning");
        CPPUNIT_ASSERT(line.at("node") == "entry-1");
        CPPUNIT_ASSERT(line.at("message") == "two sheets\nof \"revision\" 7");
        CPPUNIT_ASSERT(line.at("revision") == "7");
        CPPUNIT_ASSERT_EQUAL(std::size_t{24}, line.at("time").as_string().size());
    }

    // Guards against untrusted values that inject log lines.
    void textFormatEscapesLineBreaks()
    {
        const std::string text = write(log_format::Text, log_level::Info, [] {
            logEvent(log_level::Error, "bad_peer", "a\nb", {{"address", "x\ny z"}});
        });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::count(text.begin(), text.end(), '\n'));
        CPPUNIT_ASSERT(text.find("error entry-1 bad_peer: a b address=\"x\\ny z\"")
                       != std::string::npos);
    }

    // Guards against a level filter that drops errors or passes lower levels.
    void levelFiltersLines()
    {
        const std::string text = write(log_format::Text, log_level::Warning, [] {
            logEvent(log_level::Info, "one", "");
            logEvent(log_level::Warning, "two", "");
            logEvent(log_level::Error, "three", "");
        });
        CPPUNIT_ASSERT(text.find(" one:") == std::string::npos);
        CPPUNIT_ASSERT(text.find(" two:") != std::string::npos);
        CPPUNIT_ASSERT(text.find(" three:") != std::string::npos);
    }

    // Guards against the default sink of Boost.Log, which writes to a command's standard output.
    void nothingIsWrittenWithoutSetup()
    {
        const std::string first
            = write(log_format::Text, log_level::Info, [] { logEvent(log_level::Info, "a", ""); });
        std::ostringstream captured;
        auto *previous = std::cout.rdbuf(captured.rdbuf());
        logEvent(log_level::Error, "b", "");
        std::cout.rdbuf(previous);
        CPPUNIT_ASSERT(first.find(" a:") != std::string::npos);
        CPPUNIT_ASSERT(captured.str().empty());
    }

private:
    template<class Action>
    static std::string write(log_format format, log_level minLevel, Action action)
    {
        const auto output = boost::make_shared<std::ostringstream>();
        {
            const log_setup setup(format, minLevel, "entry-1", output);
            action();
        }
        return output->str();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_setup_test);
