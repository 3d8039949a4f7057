#include "standin/configuration_service.h"
#include "standin/instance_list.h"
#include "standin/plain_service.h"
#include "standin/standin_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass;
using namespace comfreypass::standin;
using namespace comfreypass::tests;

class services_test : public standin_fixture
{
    CPPUNIT_TEST_SUITE(services_test);
    CPPUNIT_TEST(bookingRunsAreCounted);
    CPPUNIT_TEST(watchEndsOnChange);
    CPPUNIT_TEST(watchEndsOnTimeout);
    CPPUNIT_TEST(downServiceClosesConnections);
    CPPUNIT_TEST(staleServiceServesOldValues);
    CPPUNIT_TEST(instanceChangeIsVisibleAfterTheLag);
    CPPUNIT_TEST(malformedInstancesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bookings that run twice, or run without a response, undetected by tests.
    void bookingRunsAreCounted()
    {
        plain_service service(network.reactor(), {});
        const std::uint16_t port = service.listen().value();
        service.loseReplies(1);
        const auto lost = run("POST", port, "/bookings", R"({"key":"k"})");
        CPPUNIT_ASSERT_EQUAL(0U, lost->result().status);
        CPPUNIT_ASSERT(lost->result().requestBytesMayHaveLeft);
        service.failNext(1);
        CPPUNIT_ASSERT_EQUAL(500U,
                             run("POST", port, "/bookings", R"({"key":"k"})")->result().status);
        CPPUNIT_ASSERT_EQUAL(201U,
                             run("POST", port, "/bookings", R"({"key":"k"})")->result().status);
        CPPUNIT_ASSERT_EQUAL(2U, service.counters().bookingRuns.at("k"));
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"free":998})"), run("GET", port, "/slots")->body());
    }

    // Guards against a long poll that returns a change only at the end of its wait time.
    void watchEndsOnChange()
    {
        configuration_service service(network.reactor(), {});
        const std::uint16_t port = service.listen().value();
        CPPUNIT_ASSERT_EQUAL(404U, run("GET", port, "/v1/value/sheet")->result().status);
        service.put("sheet", "one");
        const auto watch = begin("GET", port, "/v1/value/sheet?after=1&wait_ms=60000");
        network.waitFor("the long poll", [&] { return service.pendingWatches() == 1; });
        service.put("other", "x");
        run("PUT", port, "/control/value/sheet", "two");
        network.waitFor("the response", [&] { return watch->done(); });
        CPPUNIT_ASSERT_EQUAL(std::string("two"), watch->body());
        CPPUNIT_ASSERT_EQUAL(std::string("3"), std::string(*watch->headers().find("X-Index")));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, service.calls());
        network.waitFor("the end of the long poll", [&] { return service.pendingWatches() == 0; });
    }

    // Guards against a long poll that never ends, and one that outlives its connection.
    void watchEndsOnTimeout()
    {
        configuration_service service(network.reactor(), {});
        const std::uint16_t port = service.listen().value();
        service.put("sheet", "one");
        const auto call = run("GET", port, "/v1/value/sheet?after=1&wait_ms=30");
        CPPUNIT_ASSERT_EQUAL(304U, call->result().status);
        const auto disconnected = begin("GET", port, "/v1/value/sheet?after=1&wait_ms=60000");
        network.waitFor("the long poll", [&] { return service.pendingWatches() == 1; });
        client.cancel(lastCall);
        network.waitFor("the end of the long poll", [&] { return service.pendingWatches() == 0; });
    }

    // Guards against an outage during which pending long polls stay open.
    void downServiceClosesConnections()
    {
        configuration_service service(network.reactor(), {});
        const std::uint16_t port = service.listen().value();
        service.put("sheet", "one");
        const auto watch = begin("GET", port, "/v1/value/sheet?after=1&wait_ms=60000");
        network.waitFor("the long poll", [&] { return service.pendingWatches() == 1; });
        service.setMode(configuration_service::mode::Down);
        network.waitFor("the end of the call", [&] { return watch->done(); });
        CPPUNIT_ASSERT_EQUAL(0U, watch->result().status);
        CPPUNIT_ASSERT_EQUAL(0U, run("GET", port, "/v1/value/sheet")->result().status);
    }

    // Guards against a stale service that returns new values.
    void staleServiceServesOldValues()
    {
        configuration_service service(network.reactor(), {});
        const std::uint16_t port = service.listen().value();
        service.put("sheet", "one");
        CPPUNIT_ASSERT_EQUAL(200U,
                             run("POST", port, "/control", R"({"mode":"stale"})")->result().status);
        service.put("sheet", "two");
        CPPUNIT_ASSERT_EQUAL(std::string("one"), run("GET", port, "/v1/value/sheet")->body());
        const auto watch = begin("GET", port, "/v1/value/sheet?after=1&wait_ms=60000");
        network.waitFor("the long poll", [&] { return service.pendingWatches() == 1; });
        service.setMode(configuration_service::mode::Normal);
        network.waitFor("the response", [&] { return watch->done(); });
        CPPUNIT_ASSERT_EQUAL(std::string("two"), watch->body());
    }

    // Guards against an instance list that is more recent than the real one.
    void instanceChangeIsVisibleAfterTheLag()
    {
        instance_list list(network.reactor(), {});
        const std::uint16_t port = list.listen().value();
        CPPUNIT_ASSERT(list.put(document("live")).has_value());
        CPPUNIT_ASSERT_EQUAL(document("live"), run("GET", port, "/v1/instances")->body());
        list.setLag(std::chrono::hours(1));
        CPPUNIT_ASSERT_EQUAL(
            200U, run("PUT", port, "/control/instances", document("leaving"))->result().status);
        CPPUNIT_ASSERT_EQUAL(document("live"), run("GET", port, "/v1/instances")->body());
        list.setLag(core::duration::zero());
        CPPUNIT_ASSERT_EQUAL(document("leaving"), run("GET", port, "/v1/instances")->body());
        list.setDown(true);
        CPPUNIT_ASSERT_EQUAL(0U, run("GET", port, "/v1/instances")->result().status);
    }

    // Guards against storing documents that readers cannot parse.
    void malformedInstancesAreRejected()
    {
        instance_list list(network.reactor(), {});
        for (const std::string &text : {std::string("{"), std::string("[]"),
                                        std::string(R"({"nodes":[]})"), document("gone")})
            CPPUNIT_ASSERT(!list.put(text).has_value());
    }

private:
    static std::string document(const std::string &state)
    {
        return R"({"nodes":[],"engines":[{"name":"e1","upstream":"balcao","address":"127.0.0.1:1",)"
               R"("failure_domain":"braga","generation":"g1","state":")"
               + state + R"("}]})";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(services_test);
