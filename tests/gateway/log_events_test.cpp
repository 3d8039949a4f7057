#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

namespace fs = std::filesystem;

std::string textOf(const fs::path &path)
{
    std::ostringstream text;
    text << std::ifstream(path).rdbuf();
    return text.str();
}

/** Returns the event names in the calls that write log lines: words with an underscore. */
std::set<std::string> loggedEvents(const fs::path &folder)
{
    static const std::regex call(R"((?:logEvent|logPeer)\(([^{;]*))");
    static const std::regex word(R"re("([a-z]+(?:_[a-z]+)+)")re");
    std::set<std::string> events;
    for (const auto &file : fs::recursive_directory_iterator(folder)) {
        if (file.path().extension() != ".cpp")
            continue;
        const std::string text = textOf(file.path());
        for (std::sregex_iterator at(text.begin(), text.end(), call), end; at != end; ++at) {
            const std::string arguments = (*at)[1];
            for (std::sregex_iterator each(arguments.begin(), arguments.end(), word); each != end;
                 ++each)
                events.insert((*each)[1]);
        }
    }
    return events;
}

} // namespace

class log_events_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(log_events_test);
    CPPUNIT_TEST(everyEventIsDocumented);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a log event that the operations page does not document.
    void everyEventIsDocumented()
    {
        const fs::path source(COMFREYPASS_SOURCE_DIR);
        const std::string page = textOf(source / "docs" / "OPERATIONS.md");
        std::set<std::string> events = loggedEvents(source / "src" / "gateway");
        events.merge(loggedEvents(source / "platform"));
        CPPUNIT_ASSERT(events.size() >= 20);
        for (const std::string &event : events)
            CPPUNIT_ASSERT_MESSAGE(event, page.find("`" + event + "`") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_events_test);
