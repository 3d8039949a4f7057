#include "node/instance_listing.h"
#include "node/load_poller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

using namespace comfreypass;

class instance_listing_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(instance_listing_test);
    CPPUNIT_TEST(readsNodesAndEngines);
    CPPUNIT_TEST(rejectsIncompleteDocuments);
    CPPUNIT_TEST(readsLoadReports);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a leaving instance that is treated as live.
    void readsNodesAndEngines()
    {
        const auto listing = node::parseInstanceListing(validDocument);
        CPPUNIT_ASSERT(listing.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, listing.value().nodes.size());
        CPPUNIT_ASSERT(!listing.value().nodes.front().leaving);
        CPPUNIT_ASSERT(listing.value().engines.front().leaving);
        CPPUNIT_ASSERT_EQUAL(std::string("g1"), listing.value().engines.front().generation);
    }

    // Guards against a truncated list that removes running instances.
    void rejectsIncompleteDocuments()
    {
        const std::string document(validDocument);
        for (std::size_t length = 0; length < document.size(); ++length)
            CPPUNIT_ASSERT(node::parseInstanceListing(document.substr(0, length)).has_error());
        CPPUNIT_ASSERT(
            node::parseInstanceListing(R"({"nodes":[],"engines":[{"name":"e"}]})").has_error());
        CPPUNIT_ASSERT(node::parseInstanceListing(R"({"nodes":[]})").has_error());
    }

    // Guards against an engine whose malformed load page counts as warm.
    void readsLoadReports()
    {
        const core::engine_name engine("e");
        const auto report = node::parseLoadReport(
            engine, R"({"epoch":18446744073709551615,"cold":true,"running":3})");
        CPPUNIT_ASSERT(report.has_value());
        CPPUNIT_ASSERT(report.value().cold);
        CPPUNIT_ASSERT_EQUAL(3U, report.value().running);
        for (const char *wrong : {"", "{}", R"({"epoch":1})", R"({"epoch":-1,"cold":false})",
                                  R"({"epoch":"x","cold":false})", R"({"epoch":1,"cold":"no"})"})
            CPPUNIT_ASSERT_MESSAGE(wrong, node::parseLoadReport(engine, wrong).has_error());
    }

private:
    static constexpr const char *validDocument
        = R"({"nodes":[{"name":"n","peer_address":"127.0.0.1:1","caller_address":"127.0.0.1:2",)"
          R"("failure_domain":"d","state":"live"}],"engines":[{"name":"e","upstream":"u",)"
          R"("address":"127.0.0.1:3","failure_domain":"d","generation":"g1","state":"leaving"}]})";
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_listing_test);
