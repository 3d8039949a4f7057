#include "gateway/gateway_fixture.h"
#include "gateway/received_response.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace std::string_view_literals;

namespace {

enum class connection_end { Open, Closed };

/** A route, and whether the connections of caller and engine have served another request. */
struct setting
{
    std::string route;
    bool kept = false;

    bool isRetryable() const { return route == "/plain/" || route == "/stream/"; }
    std::string name() const
    {
        return route + (kept ? " on a kept" : " on a fresh") + " connection";
    }
};

std::vector<setting> allSettings()
{
    std::vector<setting> settings;
    for (const std::string route : {"/plain/", "/once/", "/stream/", "/fragile/"}) {
        for (const bool kept : {false, true})
            settings.push_back({route, kept});
    }
    return settings;
}

const std::string signedFields = "Id: 1\r\nSigned: s\r\n";
const std::string eventField = "Content-Type: text/event-stream\r\n";
const std::string chunkedField = "Transfer-Encoding: chunked\r\n";
const std::string soundBody = "id: 1\ndata: sound\n\n";

std::string soundResponse(const std::string &id, const std::string &fields = "")
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nSigned: s\r\n" + eventField + fields
           + "Content-Length: " + std::to_string(soundBody.size()) + "\r\n\r\n" + soundBody;
}

std::string withStatus(const std::string &status, const std::string &fields,
                       const std::string &body)
{
    return "HTTP/1.1 " + status + " Status\r\n" + signedFields + fields + "\r\n" + body;
}

/** Field names with bytes that no name may hold. */
std::vector<std::string> brokenNames()
{
    std::vector<std::string> names
        = {"", " X-Name", "\tX-Name", "X-Name ", "X-Name\t", "no colon\r\nX"};
    for (const char byte : " \t\0\x01\b\v\f\x1f\"(),/;<=>?@[\\]{}\x7f\x80\xff"sv)
        names.push_back(std::string("X") + byte + "Name");
    return names;
}

const std::string allTokenBytes = "!#$%&'*+-.^_`|~0189abyzABYZ";
const std::string allValueBytes = "a\tb \x80\xff\"(),/;<=>?@[\\]{}~";

} // namespace

class broken_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(broken_response_test);
    CPPUNIT_TEST(statusOutsideOfHttpIsAFailureOfTheEngine);
    CPPUNIT_TEST(switchOfProtocolsIsAFailureOfTheEngine);
    CPPUNIT_TEST(brokenStatusIsNoPromise);
    CPPUNIT_TEST(nothingAfterABrokenStatusIsAResponse);
    CPPUNIT_TEST(interimResponsesAreSkipped);
    CPPUNIT_TEST(brokenNameInHeadIsAFailureOfTheEngine);
    CPPUNIT_TEST(brokenNameInInterimResponseIsAFailureOfTheEngine);
    CPPUNIT_TEST(brokenNameInTrailerIsAFailureOfTheEngine);
    CPPUNIT_TEST(brokenNameInTrailerNeverCompletesARelayedResponse);
    CPPUNIT_TEST(brokenNameIsNoPromise);
    CPPUNIT_TEST(unusualFieldIsForwarded);
    CPPUNIT_TEST(unusualFieldsOfInterimResponseAndTrailerAreAccepted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a response whose status is none, and against waiting for a better one.
    void statusOutsideOfHttpIsAFailureOfTheEngine()
    {
        for (const std::string status : {"000", "001", "099", "600", "999"}) {
            checkFailure(withStatus(status, "Content-Length: 6\r\n", "engine"));
            checkFailure(withStatus(status, chunkedField, "6\r\nengine\r\n0\r\n\r\n"));
            checkFailure(withStatus(status, "", "engine"));
            checkFailure(withStatus(status, eventField, "id: 1\ndata: engine\n\n"));
        }
    }

    // Guards against bytes of another protocol that are read as a response.
    void switchOfProtocolsIsAFailureOfTheEngine()
    {
        checkFailure(withStatus("101", "", ""));
        checkFailure(
            withStatus("101", "Connection: Upgrade\r\nUpgrade: other\r\n", soundResponse("1")));
    }

    // Guards against "not run" for a request that may have run.
    void brokenStatusIsNoPromise()
    {
        checkFailure(withStatus("000", "Not-Run: 1\r\nContent-Length: 0\r\n", ""));
        checkFailure(withStatus("600", "Not-Run: 1\r\nContent-Length: 0\r\n", ""));
        checkFailure(withStatus("101", "Not-Run: 1\r\n", ""));
    }

    // Guards against the next bytes of an engine that has sent a broken response.
    void nothingAfterABrokenStatusIsAResponse()
    {
        checkFailure(withStatus("000", "Content-Length: 0\r\n", soundResponse("1")));
        checkFailure(withStatus("000", "Content-Length: 6\r\n", "engine" + soundResponse("1")));
        checkFailure(withStatus("099", chunkedField, "0\r\n\r\n" + soundResponse("1")));
        checkFailure("HTTP/1.1 103 Early Hints\r\n\r\n"
                     + withStatus("000", "Content-Length: 0\r\n", soundResponse("1")));
    }

    // Guards against a failure for a response that follows interim ones.
    void interimResponsesAreSkipped()
    {
        for (const std::string status : {"100", "102", "103", "199"})
            checkForwarded("HTTP/1.1 " + status + " Interim\r\nLink: a\r\n\r\n"
                           + soundResponse("1"));
    }

    // Guards against forwarding a field whose name is none, and against a body that it delimits.
    void brokenNameInHeadIsAFailureOfTheEngine()
    {
        for (const std::string &name : brokenNames())
            checkFailure(soundResponse("1", name + ": 1\r\n"));
        for (const std::string name : {"Content-Length ", "Content-Length\t", "Content-Length\x01"})
            checkFailure(withStatus("200", name + ": 3\r\n", "engine"));
        checkFailure(
            withStatus("200", "Transfer-Encoding : chunked\r\n", "6\r\nengine\r\n0\r\n\r\n"));
    }

    // Guards against an interim response that hides what no recipient can read.
    void brokenNameInInterimResponseIsAFailureOfTheEngine()
    {
        for (const std::string &name : brokenNames())
            checkFailure("HTTP/1.1 103 Early Hints\r\n" + name + ": 1\r\n\r\n"
                         + soundResponse("1"));
    }

    // Guards against a body that is taken for complete in spite of a broken trailer.
    void brokenNameInTrailerIsAFailureOfTheEngine()
    {
        for (const std::string &name : brokenNames())
            checkFailure(
                withStatus("200", chunkedField, "6\r\nengine\r\n0\r\n" + name + ": 1\r\n\r\n"));
    }

    // Guards against a last chunk for the caller if the engine's trailer is broken.
    void brokenNameInTrailerNeverCompletesARelayedResponse()
    {
        constexpr std::size_t relayedBytes = 300'000;
        const std::string body(relayedBytes, 'a');
        for (const bool kept : {false, true}) {
            const received_response events
                = receive({"/fragile/", kept},
                          withStatus("200", eventField + chunkedField,
                                     "13\r\n" + soundBody + "\r\n0\r\nX Name: 1\r\n\r\n"),
                          connection_end::Open)
                      .response;
            CPPUNIT_ASSERT(events.status == 200 && !events.complete && !events.malformed);
            const received_response relayed
                = receive({"/once/", kept},
                          withStatus("200", chunkedField,
                                     "493e0\r\n" + body + "\r\n0\r\nX Name: 1\r\n\r\n"),
                          connection_end::Open)
                      .response;
            CPPUNIT_ASSERT(relayed.status == 200 && !relayed.complete && !relayed.malformed);
        }
    }

    // Guards against "not run" for a request that may have run.
    void brokenNameIsNoPromise()
    {
        const std::string refusal = "Not-Run: 1\r\nX Name: 1\r\nContent-Length: 0\r\n";
        for (const std::string status : {"421", "429", "503"}) {
            checkFailure(withStatus(status, refusal, ""));
            checkFailure(
                withStatus(status, "Not-Run: 1\r\n" + chunkedField, "0\r\nX Name: 1\r\n\r\n"));
        }
    }

    // Guards against a failure for a sound response, and against changing its fields.
    void unusualFieldIsForwarded()
    {
        const std::string field = allTokenBytes + ": " + allValueBytes;
        for (const setting &each : allSettings()) {
            const exchange_result result
                = receive(each, soundResponse("1", field + "\r\n"), connection_end::Open);
            checkSound(result, each.name());
            CPPUNIT_ASSERT_MESSAGE(each.name() + result.bytes,
                                   result.bytes.find("\r\n" + field + "\r\n") != std::string::npos);
        }
    }

    // Guards against a failure for a sound response that carries unusual fields elsewhere.
    void unusualFieldsOfInterimResponseAndTrailerAreAccepted()
    {
        const std::string field = allTokenBytes + ":" + allValueBytes + "\r\n";
        checkForwarded("HTTP/1.1 103 Early Hints\r\n" + field + "\r\n" + soundResponse("1"));
        checkForwarded(withStatus("200", eventField + chunkedField,
                                  "13\r\n" + soundBody + "\r\n0\r\n" + field + "\r\n"));
    }

private:
    /** What a caller received, and whether a second engine received the request. */
    struct exchange_result
    {
        received_response response;
        std::string bytes;
        bool repeated = false;
    };

    /**
     * Checks that a request whose engine sends these bytes is repeated if its route allows it, and
     * fails without a promise otherwise.
     */
    static void checkFailure(const std::string &bytes)
    {
        for (const setting &each : allSettings()) {
            for (const connection_end end : {connection_end::Open, connection_end::Closed}) {
                const exchange_result result = receive(each, bytes, end);
                const std::string message = each.name() + " after " + bytes
                                            + (end == connection_end::Open ? " left open" : "")
                                            + ": " + result.bytes;
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, each.isRetryable(), result.repeated);
                if (each.isRetryable()) {
                    checkSound(result, message);
                    continue;
                }
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 502U, result.response.status);
                CPPUNIT_ASSERT_MESSAGE(message, result.response.complete);
            }
        }
    }

    /** Checks that the caller receives a response of the first engine. */
    static void checkForwarded(const std::string &bytes)
    {
        for (const setting &each : allSettings()) {
            const exchange_result result = receive(each, bytes, connection_end::Open);
            checkSound(result, each.name() + " after " + bytes);
            CPPUNIT_ASSERT_MESSAGE(each.name() + " after " + bytes, !result.repeated);
        }
    }

    static void checkSound(const exchange_result &result, const std::string &message)
    {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 200U, result.response.status);
        CPPUNIT_ASSERT_MESSAGE(message, result.response.complete);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, soundBody, result.response.body);
    }

    static exchange_result receive(const setting &setting, std::string_view bytes,
                                   connection_end end)
    {
        gateway_fixture gateway;
        listening_socket &listener = gateway.addEngine("e1");
        gateway.configure(1);
        raw_socket caller(gateway.callerPort);
        std::optional<raw_socket> kept;
        if (setting.kept)
            kept.emplace(serveFirstRequest(gateway, listener, caller));
        const std::size_t firstBytes = caller.receive().size();
        gateway_fixture::send(caller, setting.route, "1");
        raw_socket engine = kept ? std::move(*kept) : gateway.acceptAt(listener);
        gateway.waitFor("request", [&] {
            return engine.receive().find("Id: 1\r\n") != std::string::npos
                   && engine.receive().ends_with("body");
        });
        listening_socket &second = gateway.addEngine("e2");
        gateway.waitFor("sent bytes", [&] {
            bytes.remove_prefix(engine.send(bytes));
            caller.receive();
            return bytes.empty() || caller.ended();
        });
        if (end == connection_end::Closed)
            engine.close();
        const auto responseBytes = [&] {
            return std::string_view(caller.receive()).substr(firstBytes);
        };
        const auto hasResponse = [&] {
            return received_response::parse(responseBytes()).complete || caller.ended();
        };
        exchange_result result;
        gateway.waitFor("outcome", [&] { return hasResponse() || second.pending(); });
        result.repeated = second.pending();
        if (result.repeated) {
            raw_socket other = gateway.acceptAt(second);
            gateway.requestAt(other);
            other.send(soundResponse("1"));
            gateway.waitFor("response", hasResponse);
        }
        result.bytes = responseBytes();
        result.response = received_response::parse(result.bytes);
        return result;
    }

    /** Returns the engine's side of a connection that has served request 0 of the caller. */
    static raw_socket serveFirstRequest(gateway_fixture &gateway, listening_socket &listener,
                                        raw_socket &caller)
    {
        gateway_fixture::send(caller, "/once/", "0");
        raw_socket engine = gateway.acceptAt(listener);
        gateway.requestAt(engine);
        engine.send(soundResponse("0"));
        gateway.waitFor("first response",
                        [&] { return received_response::parse(caller.receive()).complete; });
        return engine;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(broken_response_test);
