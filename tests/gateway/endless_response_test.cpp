#include "gateway/gateway_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace std::chrono_literals;

namespace {

/** Memory that one endless response may occupy, with the buffers of both sides of the test. */
constexpr std::size_t maxGrowthBytes = 16'777'216;

/** Output that a node may hold for one caller. */
constexpr std::size_t maxOutputBytes = 4'194'304;

/** Bytes after which an engine that is still connected counts as never disconnected. */
constexpr std::size_t maxSentBytes = 268'435'456;

constexpr std::size_t blockBytes = 65'536;

/** Responses at once: all slots of several engines. */
constexpr std::size_t responsesAtOnce = 64;

/** The smallest machines have 160 MB, of which a node in service takes up to 40. */
constexpr std::size_t maxGrowthOfAllBytes = 120'000'000;

/** An engine's response that starts with `start` and continues with `repeated` without end. */
struct endless_response
{
    std::string name;
    std::string route;
    std::string start;
    std::string repeated;
    /** Start of the caller's response; empty if the connection ends without a response. */
    std::string expected;
};

std::string plainHead(const std::string &fields)
{
    return "HTTP/1.1 200 OK\r\nId: 1\r\n" + fields + "\r\n";
}

std::vector<endless_response> endlessResponses()
{
    const std::string chunked = plainHead("Signed: s\r\nTransfer-Encoding: chunked\r\n");
    const std::string events = plainHead(
        "Signed: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n");
    const std::string lost = "HTTP/1.1 502 ";
    return {
        {"no HTTP", "/once/", "", "garbage ", lost},
        {"status line", "/once/", "HTTP/1.1 200 O", "K", lost},
        {"header name", "/once/", "HTTP/1.1 200 OK\r\nNa", "me", lost},
        {"header value", "/once/", "HTTP/1.1 200 OK\r\nName: va", "lue", lost},
        {"headers", "/once/", "HTTP/1.1 200 OK\r\n", "Name: value\r\n", lost},
        {"shortest headers", "/once/", "HTTP/1.1 200 OK\r\n", "a:\r\n", lost},
        {"interim responses", "/once/", "", "HTTP/1.1 100 Continue\r\n\r\n", lost},
        {"responses to other requests", "/once/", "",
         "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 3\r\n\r\nold", lost},
        {"chunk size", "/once/", chunked, "0", lost},
        {"chunk extension", "/once/", chunked + "1;", "name=value;", lost},
        {"trailer", "/once/", chunked + "1\r\na\r\n0\r\n", "Name: value\r\n", lost},
        {"unsigned body", "/once/", plainHead("Transfer-Encoding: chunked\r\n"), "4\r\nbody\r\n",
         lost},
        {"body of a rejection", "/once/",
         "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
         "4\r\nbody\r\n", lost},
        {"body past its length", "/once/", plainHead("Signed: s\r\nContent-Length: 4\r\n"), "body",
         "HTTP/1.1 200 "},
        {"event without its end", "/fragile/", events, "8\r\ndata: a\n\r\n", lost},
    };
}

std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

/** Repeats a text up to about `blockBytes`. */
std::string blockOf(const std::string &text)
{
    std::string block;
    while (block.size() < blockBytes)
        block += text;
    return block;
}

/** Sends a text over and over, continuing after partial sends. */
class endless_sender
{
public:
    endless_sender(raw_socket &socket, std::string block)
        : m_socket(socket), m_block(std::move(block))
    { }

    void send(std::size_t maxBytes)
    {
        const std::size_t sent
            = m_socket.send(std::string_view(m_block).substr(m_offset, maxBytes));
        m_sent += sent;
        m_offset = (m_offset + sent) % m_block.size();
    }

    bool disconnected()
    {
        m_socket.receive();
        return m_socket.ended();
    }

    std::size_t sent() const { return m_sent; }

private:
    raw_socket &m_socket;
    std::string m_block;
    std::size_t m_offset = 0;
    std::size_t m_sent = 0;
};

} // namespace

class endless_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(endless_response_test);
    CPPUNIT_TEST(endlessResponseIsDisconnected);
    CPPUNIT_TEST(manyEndlessResponsesAtOnceFitASmallMachine);
    CPPUNIT_TEST(eventsFasterThanTheCallersReadFitASmallMachine);
    CPPUNIT_TEST(slowEndlessResponseEndsAtTheDeadline);
    CPPUNIT_TEST(slowBodyIsRetriedElsewhere);
    CPPUNIT_TEST(engineThatSendsGarbageIsHeldOut);
    CPPUNIT_TEST(callerThatDoesNotReadSlowsTheEngineDown);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against unbounded memory, a caller without a response and starved requests when an
    // engine sends bytes without end as fast as the connection takes them.
    void endlessResponseIsDisconnected()
    {
        for (const endless_response &each : endlessResponses()) {
            gateway_fixture gateway;
            listening_socket &listener = gateway.addEngine("e1");
            gateway.configure(1);
            const auto caller = gateway.call(each.route, "1");
            raw_socket engine = gateway.acceptAt(listener);
            gateway.requestAt(engine);
            const auto neighbour = gateway.call("/once/", "2");
            raw_socket healthy = gateway.acceptAt(listener);
            gateway.requestAt(healthy);

            const std::size_t before = residentBytes();
            const auto startedAt = std::chrono::steady_clock::now();
            engine.send(each.start);
            endless_sender sender(engine, blockOf(each.repeated));
            sender.send(blockBytes / 16);
            healthy.send("HTTP/1.1 200 OK\r\nId: 2\r\nSigned: s\r\nContent-Length: 4\r\n\r\nfine");
            gateway.waitFor(each.name, [&] {
                sender.send(blockBytes);
                return sender.disconnected() || sender.sent() > maxSentBytes;
            });
            const std::size_t after = residentBytes();
            const std::chrono::duration<double> elapsed
                = std::chrono::steady_clock::now() - startedAt;
            std::cout << each.name << ": " << sender.sent() << " bytes sent, resident " << before
                      << " to " << after << " bytes, disconnected after " << elapsed.count()
                      << " s\n";
            CPPUNIT_ASSERT_MESSAGE(each.name, sender.disconnected());
            CPPUNIT_ASSERT_MESSAGE(each.name, after < before + maxGrowthBytes);
            CPPUNIT_ASSERT_MESSAGE(each.name, gateway.responseOf(*neighbour).ends_with("fine"));
            CPPUNIT_ASSERT_MESSAGE(each.name,
                                   gateway.responseOf(*caller).starts_with(each.expected));
        }
    }

    // Guards against a machine that runs out of memory, and ends the requests of all callers, when
    // many engines send bytes without end at the same time.
    void manyEndlessResponsesAtOnceFitASmallMachine()
    {
        for (const endless_response &each : endlessResponses()) {
            const std::size_t growth = growthOfMany(each, true);
            CPPUNIT_ASSERT_MESSAGE(each.name, growth < maxGrowthOfAllBytes);
        }
    }

    // Guards against the same for streams of complete events that their callers do not read.
    void eventsFasterThanTheCallersReadFitASmallMachine()
    {
        const endless_response events{
            "events that nobody reads", "/fragile/",
            plainHead("Signed: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n"),
            "data: a\n\n", ""};
        const std::size_t growth = growthOfMany(events, false);
        CPPUNIT_ASSERT(growth < maxGrowthOfAllBytes);
    }

    // Guards against a request that outlives its deadline because its engine keeps sending single
    // bytes.
    void slowEndlessResponseEndsAtTheDeadline()
    {
        for (const endless_response &each : endlessResponses()) {
            gateway_fixture gateway;
            listening_socket &listener = gateway.addEngine("e1");
            gateway.configure(1);
            const auto caller = gateway.call(each.route, "1", "Wait-Ms: 200\r\n");
            raw_socket engine = gateway.acceptAt(listener);
            gateway.requestAt(engine);
            engine.send(each.start);
            endless_sender sender(engine, each.repeated);
            gateway.waitFor(each.name, [&] {
                sender.send(1);
                gateway.loop.runFor(5ms);
                return sender.disconnected();
            });
            const std::string received = gateway.responseOf(*caller);
            const bool completed = each.expected.find(" 200 ") != std::string::npos;
            const std::string expected = completed ? each.expected : "HTTP/1.1 50";
            CPPUNIT_ASSERT_MESSAGE(each.name, received.starts_with(expected));
        }
    }

    // Guards against a slow body whose single bytes hide that the engine makes no progress.
    void slowBodyIsRetriedElsewhere()
    {
        gateway_fixture gateway;
        listening_socket &first = gateway.addEngine("e1");
        listening_socket &second = gateway.addEngine("e2");
        gateway.configure(1);
        const auto caller = gateway.call("/plain/", "1");
        gateway.waitFor("connection", [&] { return first.pending() || second.pending(); });
        const bool atFirst = first.pending();
        raw_socket engine = gateway.acceptAt(atFirst ? first : second);
        gateway.requestAt(engine);
        engine.send(plainHead("Signed: s\r\nContent-Length: 100000\r\n"));
        endless_sender sender(engine, "body");
        listening_socket &otherListener = atFirst ? second : first;
        gateway.waitFor("second attempt", [&] {
            sender.send(1);
            gateway.loop.runFor(5ms);
            return otherListener.pending();
        });
        raw_socket other = gateway.acceptAt(otherListener);
        gateway.requestAt(other);
        other.send("HTTP/1.1 200 OK\r\nId: 1\r\nSigned: s\r\nContent-Length: 4\r\n\r\nfine");
        CPPUNIT_ASSERT(gateway.responseOf(*caller).ends_with("fine"));
    }

    // Guards against sending more and more requests to an engine that returns only garbage.
    void engineThatSendsGarbageIsHeldOut()
    {
        gateway_fixture gateway;
        listening_socket &bad = gateway.addEngine("e1", 8);
        gateway.configure(1);
        constexpr int failures = 3;
        for (int i = 0; i < failures; ++i) {
            const auto caller = gateway.call("/once/", "1");
            raw_socket engine = gateway.acceptAt(bad);
            gateway.requestAt(engine);
            endless_sender sender(engine, blockOf("garbage "));
            gateway.waitFor("disconnect", [&] {
                sender.send(blockBytes);
                return sender.disconnected();
            });
            CPPUNIT_ASSERT(gateway.responseOf(*caller).starts_with("HTTP/1.1 502 "));
        }
        listening_socket &good = gateway.addEngine("e2", 1);
        const auto caller = gateway.call("/once/", "1");
        gateway.waitFor("connection", [&] { return good.pending() || bad.pending(); });
        CPPUNIT_ASSERT(good.pending() && !bad.pending());
    }

    // Guards against buffering a fast and long response for a caller that does not read it.
    void callerThatDoesNotReadSlowsTheEngineDown()
    {
        gateway_fixture gateway;
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        const auto caller = gateway.call("/once/", "1", "Wait-Ms: 1000\r\n");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        engine.send(plainHead("Signed: s\r\nTransfer-Encoding: chunked\r\n"));
        std::size_t most = residentBytes();
        const std::size_t before = most;
        endless_sender sender(engine, blockOf("4\r\nbody\r\n"));
        gateway.waitFor("end of the attempt", [&] {
            sender.send(blockBytes);
            most = std::max(most, residentBytes());
            return sender.disconnected();
        });
        std::cout << "caller that does not read: " << sender.sent() << " bytes sent, resident "
                  << before << " to " << most << " bytes\n";
        CPPUNIT_ASSERT(most < before + maxOutputBytes);
        CPPUNIT_ASSERT(!caller->receive().ends_with("0\r\n\r\n"));
    }

private:
    /**
     * Lets engines send many endless responses at once to callers that do not read, with a sound
     * request beside them. Returns the largest growth of the resident memory. `mustEnd`: the node
     * has to disconnect all of the engines.
     */
    static std::size_t growthOfMany(const endless_response &each, bool mustEnd)
    {
        constexpr std::size_t count = responsesAtOnce;
        gateway_fixture gateway;
        listening_socket &listener = gateway.addEngine("e1", static_cast<std::uint32_t>(count + 1));
        gateway.configure(1);
        std::vector<std::unique_ptr<raw_socket>> callers;
        std::vector<raw_socket> engines;
        engines.reserve(count);
        std::vector<endless_sender> senders;
        const std::string block = blockOf(each.repeated);
        for (std::size_t i = 0; i < count; ++i) {
            callers.push_back(gateway.call(each.route, "1", "Wait-Ms: 3000\r\n"));
            engines.push_back(gateway.acceptAt(listener));
            gateway.requestAt(engines.back());
            senders.emplace_back(engines.back(), block);
        }
        const auto neighbour = gateway.call("/once/", "2");
        raw_socket healthy = gateway.acceptAt(listener);
        gateway.requestAt(healthy);
        const std::size_t before = residentBytes();
        std::size_t most = before;
        for (raw_socket &engine : engines)
            engine.send(each.start);
        const std::size_t rounds = mustEnd ? 20'000 : 200;
        std::size_t ended = 0;
        for (std::size_t round = 0; round < rounds && ended < count; ++round) {
            ended = 0;
            for (endless_sender &sender : senders) {
                if (sender.disconnected())
                    ++ended;
                else
                    sender.send(blockBytes);
            }
            gateway.loop.runFor(1ms);
            gateway.node.node->purge();
            most = std::max(most, residentBytes());
        }
        healthy.send("HTTP/1.1 200 OK\r\nId: 2\r\nSigned: s\r\nContent-Length: 4\r\n\r\nfine");
        CPPUNIT_ASSERT_MESSAGE(each.name, gateway.responseOf(*neighbour).ends_with("fine"));
        std::cout << count << " times " << each.name << ": resident " << before << " to " << most
                  << " bytes, " << ended << " disconnected\n";
        CPPUNIT_ASSERT_MESSAGE(each.name, !mustEnd || ended == count);
        return most - before;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_response_test);
