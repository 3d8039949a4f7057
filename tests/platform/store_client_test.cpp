#include "platform/store_client.h"
#include "support/loopback.h"
#include "support/scripted_handler.h"
#include "transport/http_server.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::platform;
using namespace std::chrono_literals;
using gateway::collection_id;

namespace {

/** Records the events of the engines collection. */
class recorded_events : public gateway::record_source_events
{
public:
    void onWritten(collection_id collection, dispatch::published_record record) override
    {
        if (collection == collection_id::Engines)
            lines.push_back("written " + record.key + "=" + record.value);
    }

    void onRemoved(collection_id collection, std::string_view key,
                   dispatch::record_revision revision) override
    {
        if (collection == collection_id::Engines)
            lines.push_back("removed " + std::string(key) + " " + revision.text());
    }

    void onSnapshot(collection_id collection, std::vector<dispatch::published_record> records,
                    dispatch::record_revision revision) override
    {
        if (collection == collection_id::Engines)
            lines.push_back("snapshot " + std::to_string(records.size()) + " at "
                            + revision.text());
    }

    void onAvailability(collection_id collection, bool available, std::string_view) override
    {
        if (collection == collection_id::Engines)
            lines.push_back(available ? "available" : "lost");
    }

    bool has(const std::string &line) const
    {
        return std::ranges::find(lines, line) != lines.end();
    }

    std::vector<std::string> lines;
};

} // namespace

class store_client_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_client_test);
    CPPUNIT_TEST(pagesAreJoinedAndWatchStartsAtTheirRevision);
    CPPUNIT_TEST(lostHistoryCausesNewList);
    CPPUNIT_TEST(refusedCallsAreRetried);
    CPPUNIT_TEST(restartListsAgain);
    CPPUNIT_TEST(knownRevisionIsWatchedWithoutList);
    CPPUNIT_TEST(stalledWatchIsRetried);
    CPPUNIT_TEST(readersStaggerTheirWatches);
    CPPUNIT_TEST(newReaderLearnsAtOnceThatTheStoreAnswers);
    CPPUNIT_TEST(watchIsNotContinuedInANewEra);
    CPPUNIT_TEST(positionOfALostEraIsNotWatched);
    CPPUNIT_TEST(pagesOfTwoErasAreNotJoined);
    CPPUNIT_TEST(answerOfAnEarlierEraIsNotApplied);
    CPPUNIT_TEST(otherCollectionNoticesTheNewEra);
    CPPUNIT_TEST(answerWithoutEraIsTakenAsOfTheLastOne);
    CPPUNIT_TEST(oddEntryInAPageHidesNoOther);
    CPPUNIT_TEST(oddChangeDoesNotEndTheWatch);
    CPPUNIT_TEST(revisionIsReadExactly);
    CPPUNIT_TEST(pageThatLeadsNowhereIsNotRepeatedWithoutPause);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_store.setScript([this](transport::http_exchange &exchange) { respond(exchange); });
        transport::http_server_settings settings;
        m_server = std::make_unique<transport::http_server>(m_loop.reactor(), settings, m_store);
        const std::uint16_t port = m_server->listen().value();
        m_client = std::make_unique<store_client>(m_loop.reactor(),
                                                  http1::endpoint{INADDR_LOOPBACK, port});
    }

    void tearDown() override
    {
        m_client.reset();
        m_server.reset();
    }

    // Guards against missing the engines on the second page of a list.
    void pagesAreJoinedAndWatchStartsAtTheirRevision()
    {
        m_client->start(m_events, {});
        m_loop.waitFor("list", [&] { return m_events.has("snapshot 3 at 7"); });
        CPPUNIT_ASSERT_EQUAL(std::string("available"), m_events.lines.at(0));
        m_loop.waitFor("watch", [&] { return m_watched.size() >= 2; });
        CPPUNIT_ASSERT_EQUAL(std::string("7"), m_watched.at(0));
        CPPUNIT_ASSERT(m_events.has("written servers/d=x"));
        CPPUNIT_ASSERT(m_events.has("removed servers/a 9"));
        CPPUNIT_ASSERT_EQUAL(std::string("9"), m_watched.at(1));
    }

    // Guards against a node that waits for changes that the store no longer has.
    void lostHistoryCausesNewList()
    {
        m_watchStatus = 410;
        m_client->start(m_events, {});
        m_loop.waitFor("second list", [&] { return m_lists >= 2; });
        CPPUNIT_ASSERT(!m_events.has("lost"));
    }

    // Guards against a node that stops retrying after the store has refused a call.
    void refusedCallsAreRetried()
    {
        m_listStatus = 503;
        m_client->start(m_events, {});
        m_loop.waitFor("loss", [&] { return m_events.has("lost"); });
        m_listStatus = 200;
        m_loop.waitFor("list", [&] { return m_events.has("snapshot 3 at 7"); });
        CPPUNIT_ASSERT(m_events.has("available"));
    }

    // Guards against a watch that stays stalled.
    void restartListsAgain()
    {
        m_client->start(m_events, {});
        m_loop.waitFor("watch", [&] { return m_watched.size() >= 2; });
        const int lists = m_lists;
        m_client->restart(collection_id::Engines);
        m_client->restart(collection_id::Engines);
        m_loop.waitFor("another list", [&] { return m_lists > lists; });
    }

    // Guards against an unnecessary list when a known revision can be watched, and against calls of
    // a node that no longer reads the store.
    void knownRevisionIsWatchedWithoutList()
    {
        const std::vector<dispatch::record_revision> known = {0, 7};
        m_client->start(m_events, known);
        m_loop.waitFor("watch", [&] { return m_watched.size() >= 2; });
        CPPUNIT_ASSERT_EQUAL(0, m_lists);
        m_client->stop();
        const std::uint64_t calls = m_client->calls();
        m_loop.runFor(50ms);
        CPPUNIT_ASSERT_EQUAL(calls, m_client->calls());
    }

    // Guards against a connection to the store that stalls unnoticed: a node that is the only
    // reader must detect it within the 2 s in which a configuration has to be applied.
    void stalledWatchIsRetried()
    {
        m_client->start(m_events, {});
        // The stand-in never responds to the second watch.
        m_loop.waitFor("third watch", [&] { return m_watched.size() >= 3; });
        CPPUNIT_ASSERT(m_events.has("lost"));
        CPPUNIT_ASSERT_EQUAL(std::string("9"), m_watched.at(2));
        CPPUNIT_ASSERT_EQUAL(1, m_lists);
        for (const int milliseconds : m_watchMilliseconds)
            CPPUNIT_ASSERT(milliseconds > 0 && milliseconds <= 1'000);
    }

    // Guards against readers that all notice late that the store no longer answers, because a
    // change has ended and restarted all their watches at the same time.
    void readersStaggerTheirWatches()
    {
        m_respondedWatches = 3;
        m_client->setReaderRank(1, 4);
        m_client->start(m_events, {});
        m_loop.waitFor("watch", [&] { return m_watched.size() >= 4; });
        CPPUNIT_ASSERT_EQUAL(800, m_watchMilliseconds.at(1));
        CPPUNIT_ASSERT_EQUAL(1'600, m_watchMilliseconds.at(2));
        CPPUNIT_ASSERT_EQUAL(1'600, m_watchMilliseconds.at(3));
    }

    // Guards against a new reader that does not know until its first change whether it is
    // connected.
    void newReaderLearnsAtOnceThatTheStoreAnswers()
    {
        m_holdsLongWatches = true;
        const std::vector<dispatch::record_revision> known = {0, 7};
        m_client->start(m_events, known);
        m_loop.waitFor("watch", [&] { return m_watched.size() >= 2; });
        CPPUNIT_ASSERT(m_events.has("available"));
        CPPUNIT_ASSERT(!m_events.has("lost"));
        CPPUNIT_ASSERT_EQUAL(std::string("7"), m_watched.at(1));
    }

    // Guards against changes that are missed because the revision of the watch exists in the
    // restored store, too.
    void watchIsNotContinuedInANewEra()
    {
        m_eras = {"1", "1", "2"};
        m_client->start(m_events, {});
        m_loop.waitFor("second list", [&] { return m_events.has("snapshot 3 at 7@2"); });
        CPPUNIT_ASSERT(m_events.has("snapshot 3 at 7@1"));
        CPPUNIT_ASSERT(!m_events.has("written servers/d=x"));
        CPPUNIT_ASSERT(!m_events.has("lost"));
    }

    // Guards against a reader that is selected after the restoration and continues from the
    // position of peers that have not noticed it.
    void positionOfALostEraIsNotWatched()
    {
        m_eras = {"2"};
        const std::vector<dispatch::record_revision> known = {0, {1, 7}};
        m_client->start(m_events, known);
        m_loop.waitFor("list", [&] { return m_events.has("snapshot 3 at 7@2"); });
        CPPUNIT_ASSERT(!m_events.has("written servers/d=x"));
    }

    // Guards against a list whose first page is of the lost history.
    void pagesOfTwoErasAreNotJoined()
    {
        m_eras = {"1", "2"};
        m_client->start(m_events, {});
        m_loop.waitFor("list", [&] { return m_events.has("snapshot 3 at 7@2"); });
        CPPUNIT_ASSERT(!m_events.has("snapshot 3 at 7@1"));
        CPPUNIT_ASSERT_EQUAL(2, m_lists);
    }

    // Guards against a late answer from before the restoration.
    void answerOfAnEarlierEraIsNotApplied()
    {
        m_eras = {"2", "2", "1", "2"};
        m_respondedWatches = 2;
        m_client->start(m_events, {});
        m_loop.waitFor("second watch", [&] { return m_watched.size() >= 2; });
        CPPUNIT_ASSERT(m_events.has("lost"));
        CPPUNIT_ASSERT(!m_events.has("written servers/d=x"));
        CPPUNIT_ASSERT_EQUAL(std::string("7"), m_watched.at(1));
    }

    // Guards against a collection that keeps the lost history until its watch ends.
    void otherCollectionNoticesTheNewEra()
    {
        m_operatorsEra = "1";
        m_client->start(m_events, {});
        m_loop.waitFor("operators", [&] { return m_operatorLists == 1 && m_operatorWatches == 1; });
        m_loop.waitFor("stalled watch", [&] { return m_watched.size() >= 2; });
        m_operatorsEra = m_eras.emplace_back("2");
        m_client->restart(collection_id::Engines);
        m_loop.waitFor("operators again", [&] { return m_operatorLists == 2; });
        CPPUNIT_ASSERT_EQUAL(1, m_operatorWatches);
    }

    // Guards against taking an answer without an era for one of before the first era.
    void answerWithoutEraIsTakenAsOfTheLastOne()
    {
        m_eras = {"3", "3", "none"};
        m_client->start(m_events, {});
        m_loop.waitFor("watch", [&] { return m_watched.size() >= 2; });
        CPPUNIT_ASSERT(m_events.has("snapshot 3 at 7@3"));
        CPPUNIT_ASSERT(m_events.has("removed servers/a 9@3"));
    }

    // Guards against engines that are not found because of one entry of another writer.
    void oddEntryInAPageHidesNoOther()
    {
        for (const std::string &item : m_oddItems) {
            tearDown();
            setUp();
            m_events.lines.clear();
            m_listBody = R"({"HasMore":false,"AsOf":700,"Entries":[)";
            for (int i = 0; i < entryCount; ++i) {
                m_listBody += i == 0 ? "" : ",";
                m_listBody += i == entryCount / 2 ? item
                                                  : R"({"Key":"servers/)" + std::to_string(i)
                                                        + R"(","Value":"eA==","Rev":)"
                                                        + std::to_string(i + 1) + "}";
            }
            m_listBody += "]}";
            m_client->start(m_events, {});
            m_loop.waitFor(item.substr(0, 80), [&] { return m_events.lines.size() >= 2; });
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.substr(0, 80), std::string("available"),
                                         m_events.lines.at(0));
            const bool whole = m_events.has("snapshot " + std::to_string(entryCount) + " at 700");
            const bool without
                = m_events.has("snapshot " + std::to_string(entryCount - 1) + " at 700");
            CPPUNIT_ASSERT_MESSAGE(item.substr(0, 80), whole || without);
        }
    }

    // Guards against a watch that is lost, or repeated without end, because of one change.
    void oddChangeDoesNotEndTheWatch()
    {
        for (const std::string &item : m_oddItems) {
            tearDown();
            setUp();
            m_events.lines.clear();
            m_watched.clear();
            m_watchBody = R"({"events":[{"Key":"servers/d","Value":"eA==","Rev":8},)" + item
                          + R"(,{"Key":"servers/a","Rev":9,"Deleted":true}],"AsOf":9})";
            m_client->start(m_events, {});
            m_loop.waitFor(item.substr(0, 80), [&] { return m_watched.size() >= 2; });
            CPPUNIT_ASSERT_MESSAGE(item.substr(0, 80), m_events.has("written servers/d=x"));
            CPPUNIT_ASSERT_MESSAGE(item.substr(0, 80), m_events.has("removed servers/a 9"));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(item.substr(0, 80), std::string("9"), m_watched.at(1));
            CPPUNIT_ASSERT_MESSAGE(item.substr(0, 80), !m_events.has("lost"));
        }
    }

    // Guards against a watch from a revision that was rounded: it skips or repeats a change.
    void revisionIsReadExactly()
    {
        m_listBody = R"({"Entries":[],"HasMore":false,"AsOf":9007199254740993})";
        m_client->start(m_events, {});
        m_loop.waitFor("watch", [&] { return !m_watched.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::string("9007199254740993"), m_watched.at(0));
    }

    // Guards against calls without end to a store that repeats a page or names no revision.
    void pageThatLeadsNowhereIsNotRepeatedWithoutPause()
    {
        const std::string item = R"({"Key":"servers/a","Value":"eA==","Rev":2})";
        for (const std::string &body :
             {R"({"Entries":[)" + item + R"(],"HasMore":true,"AsOf":7})",
              R"({"Entries":[)" + item + R"(],"HasMore":false,"AsOf":"7"})",
              R"({"Entries":[)" + item + R"(],"HasMore":false,"AsOf":1e300})"}) {
            tearDown();
            setUp();
            m_events.lines.clear();
            m_listBody = body;
            const int before = m_lists;
            m_client->start(m_events, {});
            m_loop.waitFor("loss", [&] { return m_events.has("lost"); });
            m_loop.runFor(300ms);
            CPPUNIT_ASSERT_MESSAGE(body, m_lists - before <= 8);
        }
    }

private:
    static constexpr int entryCount = 600;

    /** Items that another writer may cause, and some that only a faulty store sends. */
    const std::vector<std::string> m_oddItems = {
        R"({"Key":"servers/x","Value":"not base64!","Rev":8})",
        R"({"Key":"servers/x","Value":"eA","Rev":8})",
        R"({"Key":"servers/x","Value":5,"Rev":8})",
        R"({"Key":"servers/x","Value":null,"Rev":8})",
        R"({"Key":"servers/x","Rev":8})",
        R"({"Key":"servers/x","Value":")" + std::string(1'398'100, 'W') + R"(","Rev":8})",
        R"({"Key":5,"Value":"eA==","Rev":8})",
        R"({"Value":"eA==","Rev":8})",
        R"({"Key":"servers/x","Value":"eA==","Rev":-1})",
        R"({"Key":"servers/x","Value":"eA==","Rev":1e300})",
        R"({"Key":"servers/x","Value":"eA==","Rev":18446744073709551616})",
        R"({"Key":"servers/x","Value":"eA==","Rev":"8"})",
        R"({"Key":"servers/x","Value":"eA==","Rev":8,"Lease":1e300,"Created":{}})",
        R"({"Key":"servers/x\u0000\r\n","Value":"eA==","Rev":8})",
        R"({"Key":"servers/\udcff","Value":"eA==","Rev":8})",
        "{\"Key\":\"servers/\xff\",\"Value\":\"eA==\",\"Rev\":8}",
        R"({"Key":"servers/x","Value":)" + std::string(10'000, '[') + std::string(10'000, ']')
            + R"(,"Rev":8})",
        R"({"Key":"servers/x","Value":"eA==","Rev":8,"Lease":1e99999})",
        "null",
        "[]",
    };

    /** Returns the header fields of the next answer about engines. */
    transport::http_headers eraFields()
    {
        if (m_eras.empty())
            return {};
        const std::string era = m_eras.front();
        if (m_eras.size() > 1)
            m_eras.erase(m_eras.begin());
        return {{"Store-Era", era}};
    }

    /** Answers lists of operators' records, and no watch. */
    void respondOperators(transport::http_exchange &exchange)
    {
        if (m_operatorsEra.empty())
            return;
        if (exchange.request().path == "/api/kv-range") {
            ++m_operatorLists;
            exchange.respond(200, {{"Store-Era", m_operatorsEra}},
                             R"({"Entries":[],"HasMore":false,"AsOf":7})");
        } else {
            ++m_operatorWatches;
        }
    }

    void respond(transport::http_exchange &exchange)
    {
        const auto &request = exchange.request();
        const auto prefix = request.arguments.find("PathPrefix");
        if (prefix == request.arguments.end())
            return;
        if (prefix->second != "servers/") {
            respondOperators(exchange);
            return;
        }
        if (request.path == "/api/kv-range")
            respondList(exchange);
        else if (request.path == "/api/kv-watch")
            respondWatch(exchange);
    }

    void respondList(transport::http_exchange &exchange)
    {
        if (m_listStatus != 200) {
            exchange.respond(m_listStatus, {}, "");
            return;
        }
        if (!m_listBody.empty()) {
            ++m_lists;
            exchange.respond(200, eraFields(), m_listBody);
            return;
        }
        const auto after = exchange.request().arguments.find("After");
        if (after == exchange.request().arguments.end()) {
            ++m_lists;
            exchange.respond(200, eraFields(),
                             R"({"Entries":[{"Key":"servers/a","Value":"eA==","Rev":2},)"
                             R"({"Key":"servers/b","Value":"eA==","Rev":3}],)"
                             R"("HasMore":true,"AsOf":7})");
            return;
        }
        CPPUNIT_ASSERT_EQUAL(std::string("servers/b"), after->second);
        exchange.respond(200, eraFields(),
                         R"({"Entries":[{"Key":"servers/c","Value":"eA==","Rev":8}],)"
                         R"("HasMore":false,"AsOf":8})");
    }

    void respondWatch(transport::http_exchange &exchange)
    {
        m_watched.push_back(exchange.request().arguments.at("After"));
        m_watchMilliseconds.push_back(std::stoi(exchange.request().arguments.at("WaitMs")));
        constexpr int longWatch = 100;
        if (m_holdsLongWatches) {
            if (m_watchMilliseconds.back() < longWatch)
                exchange.respond(200, eraFields(), R"({"events":[],"AsOf":7})");
            return;
        }
        if (m_watchStatus != 200)
            exchange.respond(m_watchStatus, {}, "");
        else if (!m_watchBody.empty() && m_watched.size() == 1)
            exchange.respond(200, eraFields(), m_watchBody);
        else if (m_watched.size() == 1)
            exchange.respond(200, eraFields(),
                             R"({"events":[{"Key":"servers/d","Value":"eA==","Rev":8},)"
                             R"({"Key":"servers/a","Rev":9,"Deleted":true}],"AsOf":9})");
        else if (m_watched.size() <= m_respondedWatches)
            exchange.respond(200, eraFields(), R"({"events":[],"AsOf":9})");
    }

    tests::loopback m_loop;
    tests::scripted_handler m_store;
    std::unique_ptr<transport::http_server> m_server;
    std::unique_ptr<store_client> m_client;
    recorded_events m_events;
    std::vector<std::string> m_watched;
    std::vector<int> m_watchMilliseconds;
    /** Body of each list, and of the first watch, if not empty. */
    std::string m_listBody;
    std::string m_watchBody;
    unsigned m_listStatus = 200;
    unsigned m_watchStatus = 200;
    bool m_holdsLongWatches = false;
    /** Watches that are answered, the first one with changes. */
    std::size_t m_respondedWatches = 1;
    int m_lists = 0;
    /** Eras of the answers about engines in this order; the last one is repeated. */
    std::vector<std::string> m_eras;
    std::string m_operatorsEra;
    int m_operatorLists = 0;
    int m_operatorWatches = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_client_test);
