#include "node/pool_preview.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

using namespace comfreypass;
using status = scheduling::engine_explanation::status;

class pool_preview_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pool_preview_test);
    CPPUNIT_TEST(explainsWhyEachEngineIsUsableOrNot);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an explanation that differs from the decision of the scheduler.
    void explainsWhyEachEngineIsUsableOrNot()
    {
        auto sheet = std::make_shared<sheet::sheet>();
        sheet->entryNodes = 8;
        sheet->domains
            = {{core::domain_name("in"), {"r", true}}, {core::domain_name("out"), {"r", false}}};
        sheet->generations["g"] = {10'000, 50, 4};
        sheet::upstream_spec spec;
        spec.models = {core::model_name("m")};
        sheet->upstreams = {{core::upstream_name("u"), spec}};

        std::vector<sheet::engine_info> engines
            = {engine("idle", "in"), engine("full", "in"), engine("cold", "in"),
               engine("closed", "out"), engine("leaving", "in")};
        engines.back().leaving = true;
        const std::vector<scheduling::load_report> loads
            = {load("full", false, 4), load("cold", true, 1)};
        scheduling::permit_request request;
        request.request = 1'000;
        request.upstream = core::upstream_name("u");
        request.model = core::model_name("m");
        request.cost = {100, 50};
        request.deadline = core::time_point(std::chrono::seconds(10));

        const auto explanations = node::previewPool(sheet, engines, loads, request);
        const std::vector<status> expected = {status::Usable, status::Full, status::Full,
                                              status::DomainOutOfService, status::Leaving};
        CPPUNIT_ASSERT_EQUAL(expected.size(), explanations.size());
        for (std::size_t i = 0; i < expected.size(); ++i)
            CPPUNIT_ASSERT_MESSAGE(explanations[i].engine.text(),
                                   explanations[i].result == expected[i]);
    }

private:
    static sheet::engine_info engine(const std::string &name, const std::string &domain)
    {
        sheet::engine_info info;
        info.name = core::engine_name(name);
        info.upstream = core::upstream_name("u");
        info.domain = core::domain_name(domain);
        info.generation = "g";
        return info;
    }

    static scheduling::load_report load(const std::string &name, bool cold, std::uint32_t running)
    {
        return {core::engine_name(name), 1, cold, running, 0};
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pool_preview_test);
