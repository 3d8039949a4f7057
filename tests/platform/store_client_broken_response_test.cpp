#include "platform/store_client.h"
#include "support/listening_socket.h"
#include "support/loopback.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::platform;
using namespace comfreypass::tests;

namespace {

const std::string page = R"({"Entries":[{"Key":"servers/a","Value":"eA==","Rev":3}],"AsOf":7})";

std::string withLength(const std::string &status, const std::string &fields)
{
    return "HTTP/1.1 " + status + " Status\r\nContent-Type: application/json\r\n" + fields
           + "Content-Length: " + std::to_string(page.size()) + "\r\n\r\n" + page;
}

std::string inChunks(const std::string &trailer)
{
    return "HTTP/1.1 200 Status\r\nTransfer-Encoding: chunked\r\n\r\n41\r\n" + page + "\r\n0\r\n"
           + trailer + "\r\n";
}

/** Counts what the client takes from the store. */
class counted_events : public gateway::record_source_events
{
public:
    void onWritten(gateway::collection_id /*collection*/,
                   dispatch::published_record /*record*/) override
    {
        ++changes;
    }

    void onRemoved(gateway::collection_id /*collection*/, std::string_view /*key*/,
                   dispatch::record_revision /*revision*/) override
    {
        ++changes;
    }

    void onSnapshot(gateway::collection_id /*collection*/,
                    std::vector<dispatch::published_record> /*records*/,
                    dispatch::record_revision /*revision*/) override
    {
        ++snapshots;
    }

    void onAvailability(gateway::collection_id /*collection*/, bool available,
                        std::string_view /*why*/) override
    {
        ++(available ? successes : failures);
    }

    int changes = 0;
    int snapshots = 0;
    int successes = 0;
    int failures = 0;
};

} // namespace

class store_client_broken_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_client_broken_response_test);
    CPPUNIT_TEST(brokenResponseIsNotApplied);
    CPPUNIT_TEST(unusualResponseIsApplied);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against records of a response that is broken, although its body can be read.
    void brokenResponseIsNotApplied()
    {
        for (const std::string &response :
             {withLength("000", ""), withLength("099", ""), withLength("101", ""),
              withLength("600", ""), withLength("200", "X Name: 1\r\n"),
              withLength("200", "X-Name : 1\r\n"), withLength("200", "X-\x01Name: 1\r\n"),
              "HTTP/1.1 103 Early\r\nX Name: 1\r\n\r\n" + withLength("200", ""),
              inChunks("X Name: 1\r\n"), "HTTP/1.1 200 Status\r\n\r\n" + page}) {
            counted_events events;
            run(events, response);
            CPPUNIT_ASSERT_MESSAGE(response, events.failures > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 0, events.successes);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 0, events.snapshots + events.changes);
        }
    }

    // Guards against a failure for a sound response that carries unusual fields.
    void unusualResponseIsApplied()
    {
        const std::string field = "!#$%&'*+-.^_`|~: a\tb \x80\xff\r\n";
        for (const std::string &response :
             {withLength("200", field), inChunks(field),
              "HTTP/1.1 103 Early\r\n" + field + "\r\n" + withLength("200", "")}) {
            counted_events events;
            run(events, response);
            CPPUNIT_ASSERT_MESSAGE(response, events.snapshots > 0);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(response, 0, events.failures);
        }
    }

private:
    /** Runs a client until it has taken or refused this response of the store to its first call. */
    void run(counted_events &events, const std::string &response)
    {
        listening_socket store;
        store_client client(m_loop.reactor(), {INADDR_LOOPBACK, store.port()});
        client.start(events, {});
        m_loop.waitFor("a call", [&] { return store.pending(); });
        raw_socket connection = store.accept();
        m_loop.waitFor("the request", [&] { return connection.receive().ends_with("\r\n\r\n"); });
        connection.send(response);
        connection.closeSending();
        m_loop.waitFor("the outcome", [&] { return events.failures + events.snapshots > 0; });
        client.stop();
    }

    loopback m_loop;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_client_broken_response_test);
