#include "support/early_response.h"
#include "support/listening_socket.h"
#include "support/loopback.h"
#include "support/recorded_call.h"
#include "transport/http_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::tests;
using namespace comfreypass::transport;
using namespace std::string_view_literals;

using error_kind = http_call_result::error_kind;

namespace {

const std::string lengthField = "Content-Length: 4\r\n";

/** Status lines that start no final or interim response of HTTP/1. */
const std::vector<std::string> brokenStatusLines = {
    "HTTP/1.1 000 Status",
    "HTTP/1.1 0 Status",
    "HTTP/1.1 001 Status",
    "HTTP/1.1 099 Status",
    "HTTP/1.1 20 Status",
    "HTTP/1.1 2 Status",
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 600 Status",
    "HTTP/1.1 999 Status",
    "HTTP/1.1 -20 Status",
    "HTTP/1.1 +20 Status",
    "HTTP/1.1 2x0 Status",
    "HTTP/1.1 200OK",
    "HTTP/1.1  200 OK",
    "HTTP/1.1\t200 OK",
    "HTTP/1.1 200\tOK",
    "HTTP/1.1 101 Status",
    "HTTP/1.1 OK",
    "HTTP/1.1",
    "HTTP/1.2 200 OK",
    "HTTP/2 200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/3 200 OK",
    "HTTP 200 OK",
    "http/1.1 200 OK",
    " HTTP/1.1 200 OK",
    "HTTP/01.1 200 OK",
    "ICY 200 OK",
};

/** Field names with bytes that no name may hold. */
std::vector<std::string> brokenNames()
{
    std::vector<std::string> names = {
        "",         " X-Name",        "\tX-Name",      "X-Name ",
        "X-Name\t", "HTTP/1.1 200 X", "no colon\r\nX", "HTTP/1.1 200 OK\r\nX",
    };
    for (const char byte : " \t\0\x01\b\v\f\x1f\"(),/;<=>?@[\\]{}\x7f\x80\xff"sv)
        names.push_back(std::string("X") + byte + "Name");
    return names;
}

const std::string unusualField
    = "!#$%&'*+-.^_`|~0189abyzABYZ: a\tb \x80\xff\"(),/;<=>?@[\\]{}~\r\n";

enum class connection_end { Open, Closed };

} // namespace

class http_broken_response_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(http_broken_response_test);
    CPPUNIT_TEST(brokenStatusLineIsNoResponse);
    CPPUNIT_TEST(brokenStatusLineAfterInterimResponseIsNoResponse);
    CPPUNIT_TEST(soundStatusLinesAreAccepted);
    CPPUNIT_TEST(brokenFieldNameIsNoResponse);
    CPPUNIT_TEST(brokenFieldNameOfInterimResponseIsNoResponse);
    CPPUNIT_TEST(brokenFieldNameOfTrailerIsIncomplete);
    CPPUNIT_TEST(unusualFieldsAreAccepted);
    CPPUNIT_TEST(unframedResponseBeforeTheEndOfTheUploadIsIncomplete);
    CPPUNIT_TEST(truncatedResponseBeforeTheEndOfTheUploadIsIncomplete);
    CPPUNIT_TEST(responseWithLengthBeforeTheEndOfTheUploadIsComplete);
    CPPUNIT_TEST(responseInChunksBeforeTheEndOfTheUploadIsComplete);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a response, or a body without one, after a status line that is none.
    void brokenStatusLineIsNoResponse()
    {
        for (const std::string &line : brokenStatusLines) {
            checkNoResponse(line + "\r\n" + lengthField + "\r\nbody");
            checkNoResponse(line + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
            checkNoResponse(line + "\r\n\r\nbody");
        }
    }

    // Guards against a broken response that follows a sound interim one.
    void brokenStatusLineAfterInterimResponseIsNoResponse()
    {
        for (const std::string &line : brokenStatusLines)
            checkNoResponse("HTTP/1.1 103 Early Hints\r\n\r\n" + line + "\r\n" + lengthField
                            + "\r\nbody");
    }

    // Guards against a failure for a response with an unusual status line.
    void soundStatusLinesAreAccepted()
    {
        for (const std::string line :
             {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200",
              "HTTP/1.1 200 a\tb \x80\xff", "HTTP/1.1 299 Other", "HTTP/1.1 599 Other"}) {
            const auto status = static_cast<unsigned>(std::stoul(std::string(line).substr(9)));
            for (const bool afterInterim : {false, true}) {
                const std::string interim
                    = afterInterim ? "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Other\r\n\r\n" : "";
                checkResponse(interim + line + "\r\n" + lengthField + "\r\nbody", status);
            }
        }
    }

    // Guards against a response whose fields recipients read differently.
    void brokenFieldNameIsNoResponse()
    {
        for (const std::string &name : brokenNames()) {
            checkNoResponse("HTTP/1.1 200 OK\r\n" + lengthField + name + ": 1\r\n\r\nbody");
            checkNoResponse("HTTP/1.1 200 OK\r\n" + name + ": 1\r\n" + lengthField + "\r\nbody");
        }
    }

    // Guards against an interim response that hides what no recipient can read.
    void brokenFieldNameOfInterimResponseIsNoResponse()
    {
        for (const std::string &name : brokenNames())
            checkNoResponse("HTTP/1.1 103 Early Hints\r\n" + name + ": 1\r\n\r\nHTTP/1.1 200 OK\r\n"
                            + lengthField + "\r\nbody");
    }

    // Guards against a body that is taken for complete in spite of a broken trailer.
    void brokenFieldNameOfTrailerIsIncomplete()
    {
        for (const std::string &name : brokenNames()) {
            const std::string bytes
                = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + name
                  + ": 1\r\n\r\n";
            for (const bool kept : {false, true}) {
                const auto events = run(bytes, kept, connection_end::Closed);
                CPPUNIT_ASSERT_MESSAGE(bytes, !events->result().complete);
                CPPUNIT_ASSERT_MESSAGE(bytes, events->result().error == error_kind::Broken);
            }
        }
    }

    // Guards against a failure for a sound response that carries unusual fields.
    void unusualFieldsAreAccepted()
    {
        checkResponse("HTTP/1.1 200 OK\r\n" + unusualField + lengthField + "\r\nbody", 200);
        checkResponse("HTTP/1.1 103 Early Hints\r\n" + unusualField + "\r\nHTTP/1.1 200 OK\r\n"
                          + lengthField + "\r\nbody",
                      200);
        checkResponse("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
                          + unusualField + "X-Second: 2\r\n\r\n",
                      200);
        checkResponse("HTTP/1.1 200 OK\r\nX-Empty:\r\n" + lengthField + "\r\nbody", 200);
    }

    // Guards against a part of a response that is taken for complete because its sender has ended
    // the connection in the middle of the request.
    void unframedResponseBeforeTheEndOfTheUploadIsIncomplete()
    {
        for (const early_response::upload_end end : early_response::allEnds) {
            if (end == early_response::upload_end::ReadOn)
                continue;
            const auto events = early_response::run(m_loopback, "HTTP/1.1 200 OK\r\n\r\nbody", end);
            CPPUNIT_ASSERT(!events->result().complete);
        }
    }

    // Guards against a part of a response that only its length or last chunk shows to be one.
    void truncatedResponseBeforeTheEndOfTheUploadIsIncomplete()
    {
        for (const std::string response :
             {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"}) {
            for (const early_response::upload_end end : early_response::allEnds) {
                if (end == early_response::upload_end::ReadOn)
                    continue;
                const auto events = early_response::run(m_loopback, response, end);
                CPPUNIT_ASSERT_MESSAGE(response, !events->result().complete);
            }
        }
    }

    // Guards against a failure for a response that its length shows to be whole.
    void responseWithLengthBeforeTheEndOfTheUploadIsComplete()
    {
        for (const early_response::upload_end end : early_response::allEnds)
            checkWhole("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", end);
    }

    // Guards against a failure for a response that its last chunk shows to be whole.
    void responseInChunksBeforeTheEndOfTheUploadIsComplete()
    {
        for (const early_response::upload_end end :
             {early_response::upload_end::ReadOn, early_response::upload_end::EndThenReadOn})
            checkWhole("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\nbody\r\n0\r\n\r\n",
                       end);
    }

private:
    void checkNoResponse(const std::string &bytes)
    {
        for (const bool kept : {false, true}) {
            for (const connection_end end : {connection_end::Open, connection_end::Closed}) {
                const auto events = run(bytes, kept, end);
                const std::string message = bytes + (kept ? " on a kept connection" : "");
                CPPUNIT_ASSERT_MESSAGE(message, events->result().error == error_kind::Broken);
                CPPUNIT_ASSERT_MESSAGE(message, !events->result().complete);
                CPPUNIT_ASSERT_MESSAGE(message, events->result().requestBytesMayHaveLeft);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 0U, events->result().status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::string(), events->body());
            }
        }
    }

    void checkResponse(const std::string &bytes, unsigned status)
    {
        for (const bool kept : {false, true}) {
            const auto events = run(bytes, kept, connection_end::Open);
            CPPUNIT_ASSERT_MESSAGE(bytes + events->result().detail, events->result().complete);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, status, events->result().status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, std::string("body"), events->body());
        }
    }

    void checkWhole(const std::string &response, early_response::upload_end end)
    {
        const auto events = early_response::run(m_loopback, response, end);
        CPPUNIT_ASSERT_MESSAGE(response + events->result().detail, events->result().complete);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::string("body"), events->body());
    }

    /** Sends bytes in response to a request on a new connection, or on one that served another. */
    std::shared_ptr<recorded_call> run(const std::string &bytes, bool kept, connection_end end)
    {
        listening_socket upstream;
        http_client client(m_loopback.reactor());
        std::optional<raw_socket> connection;
        if (kept) {
            const auto first = start(client, upstream, "/first");
            connection.emplace(accept(upstream));
            connection->send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            m_loopback.waitFor("the first response", [&] { return first->done(); });
        }
        auto events = start(client, upstream, "/second");
        if (!kept)
            connection.emplace(accept(upstream));
        m_loopback.waitFor("the request", [&] {
            return connection->receive().find("GET /second ") != std::string::npos;
        });
        connection->send(bytes);
        if (end == connection_end::Closed)
            connection->close();
        m_loopback.waitFor("the end of the call after " + bytes, [&] { return events->done(); });
        return events;
    }

    std::shared_ptr<recorded_call> start(http_client &client, const listening_socket &upstream,
                                         const std::string &path)
    {
        http_call call;
        call.url = loopback::url(upstream.port(), path);
        auto events = std::make_shared<recorded_call>();
        client.start(std::move(call), events);
        return events;
    }

    raw_socket accept(listening_socket &upstream)
    {
        m_loopback.waitFor("a connection", [&] { return upstream.pending(); });
        return upstream.accept();
    }

    loopback m_loopback;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_broken_response_test);
