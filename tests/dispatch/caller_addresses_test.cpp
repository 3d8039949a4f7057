#include "dispatch/caller_addresses.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

using namespace comfreypass::dispatch;

namespace {

/** Limit of the platform on the addresses in one response. */
constexpr std::size_t maxCount = 64;

/** Nodes 1 to `nodes`, in `domains` equal failure domains of contiguous addresses. */
std::vector<caller_address> fleetSeenFrom(std::uint32_t domain, std::uint32_t nodes,
                                          std::uint32_t domains)
{
    std::vector<caller_address> fleet;
    for (std::uint32_t i = 0; i < nodes; ++i)
        fleet.push_back({i + 1, 80, i * domains / nodes == domain});
    return fleet;
}

} // namespace

class caller_addresses_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(caller_addresses_test);
    CPPUNIT_TEST(smallFleetIsReturnedWhole);
    CPPUNIT_TEST(nearNodesComeFirst);
    CPPUNIT_TEST(callersAreSpreadEvenlyOverLargeFleet);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against nodes that receive no callers.
    void smallFleetIsReturnedWhole()
    {
        std::vector<caller_address> addresses = fleetSeenFrom(0, 8, 4);
        selectCallerAddresses(addresses, maxCount, m_random);
        std::set<std::uint32_t> seen;
        for (const caller_address &each : addresses)
            seen.insert(each.address);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, seen.size());
    }

    // Guards against callers that leave their failure domain although it has enough nodes.
    void nearNodesComeFirst()
    {
        std::vector<caller_address> addresses = fleetSeenFrom(2, 295, 6);
        selectCallerAddresses(addresses, maxCount, m_random);
        CPPUNIT_ASSERT_EQUAL(maxCount, addresses.size());
        CPPUNIT_ASSERT(std::ranges::is_partitioned(addresses, &caller_address::isNear));
        const auto near = std::ranges::count_if(addresses, &caller_address::isNear);
        CPPUNIT_ASSERT(near >= 49);
    }

    // Guards against callers of all failure domains that share the same few remote nodes.
    void callersAreSpreadEvenlyOverLargeFleet()
    {
        for (const std::uint32_t nodes : {81U, 295U, 1'000U}) {
            constexpr std::uint32_t domains = 6;
            constexpr int callersPerDomain = 2'000;
            std::map<std::uint32_t, double> load;
            for (std::uint32_t domain = 0; domain < domains; ++domain) {
                for (int i = 0; i < callersPerDomain; ++i) {
                    std::vector<caller_address> addresses = fleetSeenFrom(domain, nodes, domains);
                    selectCallerAddresses(addresses, maxCount, m_random);
                    for (const caller_address &each : addresses)
                        load[each.address] += 1.0 / static_cast<double>(addresses.size());
                }
            }
            double most = 0;
            for (const auto &[address, callers] : load)
                most = std::max(most, callers);
            const double average = 1.0 * domains * callersPerDomain / nodes;
            CPPUNIT_ASSERT_EQUAL(std::size_t{nodes}, load.size());
            // Failure domains differ by one node, and callers draw at random.
            CPPUNIT_ASSERT(most < 1.5 * average);
        }
    }

private:
    std::minstd_rand m_random{1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_addresses_test);
