#include "membership/sheet_dissemination.h"
#include "membership/virtual_fleet.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

using namespace comfreypass;
using namespace comfreypass::membership;
using namespace std::chrono_literals;
using bench::virtual_fleet;

class sheet_dissemination_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(sheet_dissemination_test);
    CPPUNIT_TEST(fetchesAPatch);
    CPPUNIT_TEST(fetchesChunksWithoutABaseDocument);
    CPPUNIT_TEST(retriesAtAnotherNeighbourAfterATimeout);
    CPPUNIT_TEST(unusablePatchFallsBackToTheWholeDocument);
    CPPUNIT_TEST(unsolicitedAndOversizedRepliesAreDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_aheadStore.offer(sheet(1, 0), 1, m_now);
        m_behindStore.offer(sheet(1, 0), 1, m_now);
        m_aheadStore.offer(sheet(2, 1), 2, m_now);
    }

    // Guards against sending the whole sheet for every change.
    void fetchesAPatch()
    {
        auto step = m_client.onPeerKey(m_peer, m_aheadStore.key(), m_now);
        const auto reply = serve(step);
        CPPUNIT_ASSERT(std::holds_alternative<sheet_patch>(reply.messages.at(0).message));
        step = receive(reply);
        CPPUNIT_ASSERT(step.offered && step.offered->adopted
                       && m_behindStore.key() == m_aheadStore.key());
        CPPUNIT_ASSERT(!m_client.wanted());
    }

    // Guards against a starting node that cannot fetch a sheet larger than one message.
    void fetchesChunksWithoutABaseDocument()
    {
        sheet_store empty(virtual_fleet::parseSheet);
        sheet_dissemination starting(empty, {});
        auto step = starting.onPeerKey(m_peer, m_aheadStore.key(), m_now);
        int chunks = 0;
        while (!step.messages.empty()) {
            const auto reply = serve(step);
            const auto &chunk = std::get<sheet_chunk>(reply.messages.at(0).message);
            CPPUNIT_ASSERT(chunk.bytes.size() <= sheet_dissemination::chunkBytes);
            step = starting.onChunk(m_peer, chunk, m_now);
            ++chunks;
        }
        CPPUNIT_ASSERT(chunks > 2 && empty.key() == m_aheadStore.key());
    }

    // Guards against a transfer that stalls when the neighbour that serves it crashes.
    void retriesAtAnotherNeighbourAfterATimeout()
    {
        auto step = m_client.onPeerKey(m_peer, m_aheadStore.key(), m_now);
        CPPUNIT_ASSERT(step.messages.at(0).to == m_peer);
        CPPUNIT_ASSERT(m_client.onPeerKey(m_other, m_aheadStore.key(), m_now).messages.empty());
        CPPUNIT_ASSERT(m_client.tick(m_now + 400ms).messages.empty());
        CPPUNIT_ASSERT(m_client.tick(m_now + 500ms).messages.at(0).to == m_other);
        CPPUNIT_ASSERT(m_client.tick(m_now + 1s).messages.at(0).to == m_peer);
        // A patch that never arrives may be too large for the network path; chunks are not.
        const auto third = m_client.tick(m_now + 1500ms);
        CPPUNIT_ASSERT(std::get<sheet_request>(third.messages.at(0).message).whole);
    }

    // Guards against a node that keeps requesting a patch it cannot apply.
    void unusablePatchFallsBackToTheWholeDocument()
    {
        m_client.onPeerKey(m_peer, m_aheadStore.key(), m_now);
        auto step
            = m_client.onPatch(m_peer, {m_behindStore.key(), m_aheadStore.key(), "{}"}, m_now);
        CPPUNIT_ASSERT(std::get<sheet_request>(step.messages.at(0).message).whole);
        while (!step.messages.empty())
            step = receive(serve(step));
        CPPUNIT_ASSERT(m_behindStore.key() == m_aheadStore.key());
    }

    // Guards against peers that make this node parse or buffer data that it did not request.
    void unsolicitedAndOversizedRepliesAreDropped()
    {
        const auto patch = m_aheadStore.patchFrom(m_behindStore.key()).value();
        const sheet_patch message{m_behindStore.key(), m_aheadStore.key(), patch};
        CPPUNIT_ASSERT(!m_client.onPatch(m_peer, message, m_now).offered);
        m_client.onPeerKey(m_peer, m_aheadStore.key(), m_now);
        CPPUNIT_ASSERT(!m_client.onPatch(m_other, message, m_now).offered);
        sheet_chunk chunk{m_aheadStore.key(), 0, 900'000'000, "x"};
        CPPUNIT_ASSERT(m_client.onChunk(m_peer, chunk, m_now).messages.empty());
        chunk = {m_aheadStore.key(), 10, 100, "x"};
        CPPUNIT_ASSERT(m_client.onChunk(m_peer, chunk, m_now).messages.empty());
        CPPUNIT_ASSERT(m_behindStore.rejected() == 0);
        CPPUNIT_ASSERT(m_client.onPatch(m_peer, message, m_now).offered->adopted);
    }

private:
    static std::string sheet(std::uint64_t revision, std::size_t out)
    {
        return virtual_fleet::makeSheet(revision, 4, {out}, 500);
    }
    sheet_dissemination::step serve(const sheet_dissemination::step &step) const
    {
        return m_server.onRequest(core::node_name("self"),
                                  std::get<sheet_request>(step.messages.at(0).message));
    }
    sheet_dissemination::step receive(const sheet_dissemination::step &reply)
    {
        const auto &message = reply.messages.at(0).message;
        if (const auto *patch = std::get_if<sheet_patch>(&message))
            return m_client.onPatch(m_peer, *patch, m_now);
        return m_client.onChunk(m_peer, std::get<sheet_chunk>(message), m_now);
    }

    const core::time_point m_now{1h};
    const core::node_name m_peer{"peer"};
    const core::node_name m_other{"zother"};
    sheet_store m_aheadStore{virtual_fleet::parseSheet};
    sheet_store m_behindStore{virtual_fleet::parseSheet};
    sheet_dissemination m_server{m_aheadStore, {}};
    sheet_dissemination m_client{m_behindStore, {}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(sheet_dissemination_test);
