#include "gateway/record_catch_up.h"
#include "gateway/transfer_pacer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace comfreypass;
using namespace comfreypass::gateway;
using namespace std::chrono_literals;

namespace {

constexpr core::duration step = 5ms;
constexpr core::duration fetchTimeout = 1s;
constexpr core::duration statusInterval = 300ms;

/** A fleet on slow links, on virtual time; the transfers of a node share its link equally. */
class simulated_fleet
{
public:
    simulated_fleet(std::size_t nodes, std::size_t readers, std::size_t recordBytes,
                    double bytesPerSecond, bool paced, std::uint32_t seed)
        : m_random(seed), m_recordBytes(static_cast<double>(recordBytes)),
          m_bytesPerStep(bytesPerSecond * std::chrono::duration<double>(step).count()),
          m_paced(paced)
    {
        for (std::size_t i = 0; i < nodes; ++i) {
            m_nodes.push_back({.pacer = transfer_pacer(bytesPerSecond)});
            m_nodes.back().nextStatusAt = m_now + statusInterval * i / nodes;
        }
        for (std::size_t i = 0; i < readers; ++i) {
            m_nodes[i].current = true;
            announce(i, nodes);
        }
    }

    /** Returns the time until all nodes have the record, or nothing if that exceeds the limit. */
    std::optional<core::duration> spread(core::duration limit)
    {
        const core::time_point start = m_now;
        for (; m_now - start <= limit; m_now += step) {
            if (std::ranges::all_of(m_nodes, &node::current))
                return m_now - start;
            for (std::uint32_t i = 0; i < m_nodes.size(); ++i)
                advance(i);
            transfer();
        }
        return std::nullopt;
    }

private:
    struct fetch
    {
        std::uint32_t from = 0;
        double bytesLeft = 0;
        core::time_point startedAt{};
    };

    struct node
    {
        transfer_pacer pacer;
        record_catch_up catchUp = {};
        bool current = false;
        std::vector<std::uint32_t> ahead = {};
        std::optional<fetch> running = {};
        core::time_point nextStatusAt{};
    };

    void announce(std::size_t sender, std::size_t count)
    {
        std::vector<std::uint32_t> receivers;
        for (std::uint32_t i = 0; i < m_nodes.size(); ++i) {
            if (!m_nodes[i].current)
                receivers.push_back(i);
        }
        std::ranges::shuffle(receivers, m_random);
        for (std::size_t i = 0; i < std::min(count, receivers.size()); ++i) {
            std::vector<std::uint32_t> &ahead = m_nodes[receivers[i]].ahead;
            if (std::ranges::find(ahead, sender) == ahead.end())
                ahead.push_back(static_cast<std::uint32_t>(sender));
        }
    }

    void advance(std::uint32_t index)
    {
        node &self = m_nodes[index];
        if (self.current) {
            if (m_now >= self.nextStatusAt) {
                announce(index, m_nodes.size());
                self.nextStatusAt += statusInterval;
            }
            return;
        }
        if (self.running && m_now - self.running->startedAt > fetchTimeout) {
            self.running.reset();
            self.catchUp.onResult(fetch_result::Failed, m_random, m_now);
        }
        const auto from = self.catchUp.next(self.ahead, false, m_random, m_now);
        if (!from)
            return;
        transfer_pacer &pacer = m_nodes[*from].pacer;
        if (m_paced && !pacer.mayStart(m_now)) {
            self.catchUp.onResult(fetch_result::Busy, m_random, m_now);
            return;
        }
        pacer.onStart(static_cast<std::size_t>(m_recordBytes), m_now);
        self.running = fetch{*from, m_recordBytes, m_now};
    }

    void transfer()
    {
        std::vector<double> transfers(m_nodes.size(), 0);
        for (const node &each : m_nodes) {
            if (each.running)
                ++transfers[each.running->from];
        }
        for (std::uint32_t i = 0; i < m_nodes.size(); ++i) {
            node &self = m_nodes[i];
            if (!self.running)
                continue;
            self.running->bytesLeft -= m_bytesPerStep / transfers[self.running->from];
            if (self.running->bytesLeft > 0)
                continue;
            self.running.reset();
            self.current = true;
            self.catchUp.onResult(fetch_result::Complete, m_random, m_now);
            announce(i, record_catch_up::notifiedPeers);
        }
    }

    std::minstd_rand m_random;
    double m_recordBytes;
    double m_bytesPerStep;
    bool m_paced;
    core::time_point m_now{10h};
    std::vector<node> m_nodes;
};

} // namespace

class record_spread_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(record_spread_test);
    CPPUNIT_TEST(largeRecordReachesTheFleetInTime);
    CPPUNIT_TEST(unpacedTransfersCollapse);
    CPPUNIT_TEST(busyPeerIsNotAskedAgainAtOnce);
    CPPUNIT_TEST(smallTransfersAreNotDelayed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a configuration that is not in force within 3 s because all nodes fetch it
    // at once from the one node that has read it.
    void largeRecordReachesTheFleetInTime()
    {
        for (std::uint32_t seed = 1; seed <= 50; ++seed) {
            simulated_fleet fleet(nodes, 1, recordBytes, linkBytesPerSecond, true, seed);
            const auto time = fleet.spread(3s);
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed), time.has_value());
        }
    }

    // Guards against a simulation in which the spread would also succeed without pacing.
    void unpacedTransfersCollapse()
    {
        simulated_fleet fleet(nodes, 1, recordBytes, linkBytesPerSecond, false, 1);
        CPPUNIT_ASSERT(!fleet.spread(10s));
    }

    // Guards against a fleet that keeps a busy peer from sending.
    void busyPeerIsNotAskedAgainAtOnce()
    {
        const std::vector<std::uint32_t> ahead = {7};
        CPPUNIT_ASSERT(!m_catchUp.next(ahead, false, m_random, m_now));
        CPPUNIT_ASSERT(m_catchUp.next(ahead, true, m_random, m_now) == 7U);
        CPPUNIT_ASSERT(!m_catchUp.next(ahead, true, m_random, m_now + 1s));
        m_catchUp.onResult(fetch_result::Busy, m_random, m_now);
        CPPUNIT_ASSERT_EQUAL(1U, m_catchUp.busyPeers());
        const core::time_point early = m_now + record_catch_up::minBusyDelay - 1ms;
        CPPUNIT_ASSERT(!m_catchUp.next(ahead, true, m_random, early));
        const core::time_point late = m_now + record_catch_up::maxBusyDelay;
        CPPUNIT_ASSERT(m_catchUp.next(ahead, true, m_random, late) == 7U);
        m_catchUp.onResult(fetch_result::Complete, m_random, late);
        CPPUNIT_ASSERT_EQUAL(0U, m_catchUp.busyPeers());
    }

    // Guards against refusing the small differences that nodes fetch all the time.
    void smallTransfersAreNotDelayed()
    {
        transfer_pacer pacer(linkBytesPerSecond);
        for (int i = 0; i < 100; ++i) {
            CPPUNIT_ASSERT(pacer.mayStart(m_now));
            pacer.onStart(1'000, m_now);
        }
        pacer.onStart(recordBytes, m_now);
        CPPUNIT_ASSERT(!pacer.mayStart(m_now));
        CPPUNIT_ASSERT(pacer.mayStart(m_now + 1s));
    }

private:
    static constexpr std::size_t nodes = 81;
    static constexpr double linkBytesPerSecond = 1'250'000;
    /** A configuration of 1,400 routes. */
    static constexpr std::size_t recordBytes = 150'000;

    core::time_point m_now{10h};
    std::minstd_rand m_random{1};
    record_catch_up m_catchUp;
};

CPPUNIT_TEST_SUITE_REGISTRATION(record_spread_test);
