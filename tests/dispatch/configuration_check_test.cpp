#include "dispatch/configuration_check.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <string>

using namespace comfreypass;
using namespace comfreypass::dispatch;
using namespace std::chrono_literals;

class configuration_check_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(configuration_check_test);
    CPPUNIT_TEST(validConfigurationHasNoContradictions);
    CPPUNIT_TEST(eachContradictionIsFound);
    CPPUNIT_TEST(keysAreNotShown);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against false warnings, which operators learn to ignore.
    void validConfigurationHasNoContradictions()
    {
        CPPUNIT_ASSERT(findContradictions(validConfiguration()).empty());
    }

    // Guards against a change that is accepted but does not serve any request.
    void eachContradictionIsFound()
    {
        expect("not defined",
               [](configuration &each) { each.routes[0].targets[0].upstream = "x"; });
        expect("not less than the timeout",
               [](configuration &each) { each.routes[0].objective = 9s; });
        expect("not retried", [](configuration &each) { each.routes[0].maxAttempts = 2; });
        expect("with a slash", [](configuration &each) { each.routes[0].pathPrefix = "/a"; });
        expect("host and path prefix as route r1",
               [](configuration &each) { each.routes.push_back(each.routes[0]); });
        expect("there are no teams", [](configuration &each) { each.teams.clear(); });
        expect("has no key", [](configuration &each) { each.teams[0].keys.clear(); });
        expect("shares a key with team t", [](configuration &each) {
            each.teams.push_back({.name = "v", .keys = {"secret"}});
        });
        expect("admits no request", [](configuration &each) {
            each.teams[0].quota = team_quota{.unitsPerSecond = 5, .defaultUnits = 200};
        });
        expect("without a cold rate", [](configuration &each) { each.upstreams[0].coldTime = 3s; });
    }

    // Guards against keys in the output of the check.
    void keysAreNotShown()
    {
        configuration settings = validConfiguration();
        settings.teams.push_back({.name = "v", .keys = {"secret"}});
        for (const core::error &each : findContradictions(settings))
            CPPUNIT_ASSERT(describe(each).find("secret") == std::string::npos);
    }

private:
    static configuration validConfiguration()
    {
        configuration settings;
        settings.routes.push_back({.name = "r1",
                                   .host = "h",
                                   .pathPrefix = "/a/",
                                   .timeout = 2s,
                                   .objective = 100ms,
                                   .targets = {{"u", 1}}});
        settings.upstreams.push_back({.name = "u"});
        settings.teams.push_back({.name = "t", .keys = {"secret"}});
        return settings;
    }

    template<typename Change>
    static void expect(const std::string &text, Change change)
    {
        configuration settings = validConfiguration();
        change(settings);
        const auto found = findContradictions(settings);
        CPPUNIT_ASSERT_MESSAGE(text, std::ranges::any_of(found, [&](const core::error &each) {
                                   return each.detail.find(text) != std::string::npos
                                          && !each.remedy.empty();
                               }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_check_test);
