#include "node/request_reader.h"
#include "node/token_hash.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

using namespace comfreypass;
using node::request_reader;

namespace {

std::shared_ptr<const sheet::sheet> makeSheet()
{
    auto made = std::make_shared<sheet::sheet>();
    const core::half_name north("north");
    const core::half_name south("south");
    made->halves = {north, south};
    sheet::upstream_spec shared;
    shared.owner = south;
    shared.sharedWith = {north};
    shared.models = {core::model_name("m")};
    sheet::upstream_spec own = shared;
    own.owner = north;
    own.sharedWith.clear();
    sheet::upstream_spec foreign = own;
    foreign.owner = south;
    sheet::upstream_spec bookings;
    bookings.owner = north;
    bookings.kind = sheet::upstream_kind::Service;
    bookings.operations = {{"GET", "/slots*", true}, {"POST", "/bookings", false}};
    made->upstreams = {{core::upstream_name("a-shared"), shared},
                       {core::upstream_name("b-own"), own},
                       {core::upstream_name("c-foreign"), foreign},
                       {core::upstream_name("bookings"), bookings}};
    sheet::team_spec team;
    team.half = north;
    team.tiers.at(1) = sheet::team_spec::tier_limit{4};
    team.tokenSha256 = node::tokenHash("secret");
    made->teams = {{core::team_name("crew"), team}};
    return made;
}

} // namespace

class request_reader_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_reader_test);
    CPPUNIT_TEST(routesToUsableUpstreamsOwnHalfFirst);
    CPPUNIT_TEST(rejectsUnknownTokens);
    CPPUNIT_TEST(rejectsTiersThatTheTeamDoesNotHold);
    CPPUNIT_TEST(nonIdempotentOperationsNeedKeyAndWitnesses);
    CPPUNIT_TEST(unlistedOperationsAreNotIdempotent);
    CPPUNIT_TEST(deadlineCountsFromArrival);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a request that is routed to an upstream which its half may not use.
    void routesToUsableUpstreamsOwnHalfFirst()
    {
        const auto read = m_reader.read(chat("secret"), m_now);
        CPPUNIT_ASSERT(read.has_value());
        const auto &upstreams = read.value().selectedRoute.upstreams;
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, upstreams.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b-own"), upstreams[0].text());
        CPPUNIT_ASSERT_EQUAL(std::string("a-shared"), upstreams[1].text());
    }

    // Guards against access without a valid team token.
    void rejectsUnknownTokens()
    {
        CPPUNIT_ASSERT_EQUAL(401U, statusOf(chat("other")));
        CPPUNIT_ASSERT_EQUAL(401U, statusOf(chat("")));
    }

    // Guards against a team that raises its own priority.
    void rejectsTiersThatTheTeamDoesNotHold()
    {
        transport::http_request request = chat("secret");
        request.headers.add("Comfreypass-Tier", "0");
        CPPUNIT_ASSERT_EQUAL(403U, statusOf(request));
    }

    // Guards against an operation that runs twice because a repeated request cannot be recognised.
    void nonIdempotentOperationsNeedKeyAndWitnesses()
    {
        transport::http_request request = service("POST", "/services/bookings/bookings");
        CPPUNIT_ASSERT_EQUAL(428U, statusOf(request));
        request.headers.add("Idempotency-Key", "k");
        CPPUNIT_ASSERT_EQUAL(428U, statusOf(request));
        request.headers.add("Comfreypass-Witnesses", "no token");
        CPPUNIT_ASSERT_EQUAL(400U, statusOf(request));
    }

    // Guards against operations that the sheet does not list being treated as safe to repeat.
    void unlistedOperationsAreNotIdempotent()
    {
        CPPUNIT_ASSERT_EQUAL(428U, statusOf(service("DELETE", "/services/bookings/x")));
        const auto read = m_reader.read(service("GET", "/services/bookings/slots/today"), m_now);
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read.value().selectedRoute.idempotent);
        CPPUNIT_ASSERT_EQUAL(std::string("/slots/today"), read.value().path);
    }

    // Guards against deadlines that are ignored or overflow.
    void deadlineCountsFromArrival()
    {
        transport::http_request request = chat("secret");
        request.headers.add("Comfreypass-Deadline-Ms", "1500");
        CPPUNIT_ASSERT(m_reader.read(request, m_now).value().deadline
                       == m_now + std::chrono::milliseconds(1500));
        for (const char *wrong : {"0", "-1", "1e3", "99999999999999999999", ""}) {
            transport::http_request bad = chat("secret");
            bad.headers.add("Comfreypass-Deadline-Ms", wrong);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(wrong, 400U, statusOf(bad));
        }
    }

private:
    static transport::http_request chat(const std::string &token)
    {
        transport::http_request request;
        request.method = "POST";
        request.path = "/v1/chat/completions";
        request.headers.add("Authorization", "Bearer " + token);
        request.body = R"({"model":"m","messages":[{"role":"user","content":"hello"}]})";
        return request;
    }

    static transport::http_request service(const std::string &method, const std::string &path)
    {
        transport::http_request request;
        request.method = method;
        request.path = path;
        request.headers.add("Authorization", "Bearer secret");
        return request;
    }

    unsigned statusOf(const transport::http_request &request) const
    {
        const auto read = m_reader.read(request, m_now);
        return read ? 200U : read.error().status;
    }

    std::shared_ptr<const sheet::sheet> m_sheet = makeSheet();
    node::routing_table m_table{m_sheet};
    request_reader m_reader{m_table, m_sheet->policy};
    core::time_point m_now{std::chrono::seconds(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_reader_test);
