#pragma once

#include "core/time_point.h"
#include "dispatch/engine_affinity.h"
#include "dispatch/engine_registry.h"
#include "dispatch/fleet_member.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace comfreypass::dispatch {

/** Whether a request may take a free slot that peers see, too. */
enum class slot_claim : std::uint8_t {
    /** No peer that shares the engine reports a queue. */
    Unclaimed,
    /** Peers report queues, but no request that precedes this one. */
    Open,
    /** A peer with a request that is at least as urgent may start it at the same time. */
    Contested,
    /** As Open or Contested, but no node has taken the slots for longer than a report takes. */
    OpenSettled,
    ContestedSettled,
    /** All free slots of the engine are left to more urgent requests of peers. */
    Yielded,
};

/**
 * Leaves the free slots of preferred engines to peers that queue more urgent requests.
 *
 * The nodes that prefer an engine tell each other the most urgent priority in their queues and the
 * number of requests with it. All of them see the same free slot and leave it to the node with the
 * most urgent request; a fixed order, which differs between the engines, decides between equally
 * urgent ones. This node leaves no more slots to a peer than the peer reported requests,
 * summed over the engines that they share. A slot that no node takes in time is used again, and
 * nothing more is yielded at this engine for a while, as the peers may be unable to use it. Not
 * thread-safe.
 */
class slot_handover
{
public:
    /** Sets the other nodes that prefer each engine that the node `self` prefers. */
    void setPeers(std::uint32_t self, engine_affinity peers)
    {
        m_self = self;
        m_peers = std::move(peers);
        std::erase_if(m_yields,
                      [this](const auto &entry) { return !m_peers.contains(entry.first); });
    }

    /** Replaces the report of a peer on its queue; `count` refers to the highest priority. */
    void onQueueReport(std::uint32_t peer, const node_status::queue_length &queue,
                       core::time_point now);

    /**
     * Applies the queues of a status at an upstream. They contain the total length of a queue, so
     * one request is assumed to have the highest priority unless a report of it is known.
     */
    void onStatus(std::uint32_t peer, std::string_view upstream,
                  std::span<const node_status::queue_length> queues, core::time_point now);

    /** Drops the reports of an unreachable peer. */
    void removePeer(std::uint32_t peer);

    /**
     * Returns the claim of a request with this priority on the free slots of each of the `engines`,
     * which are all preferred engines of the upstream, and records which of them it yields.
     */
    std::vector<slot_claim> assess(std::string_view upstream, std::uint32_t priority,
                                   std::span<const preferred_slots> engines, core::time_point now);

    /** Number of free slots that were left to peers, and of those that no peer took in time. */
    std::uint64_t yieldedCount() const noexcept { return m_yieldedCount; }
    std::uint64_t reclaimedCount() const noexcept { return m_reclaimedCount; }

private:
    struct queue_report
    {
        std::uint32_t count = 0;
        std::uint32_t priority = 0;
        core::time_point receivedAt{};
    };

    struct engine_yield
    {
        bool active = false;
        std::uint32_t priority = 0;
        std::uint32_t free = 0;
        core::time_point freeSince{};
        core::time_point since{};
        core::time_point assessedAt{};
        core::time_point suspendedUntil{};
    };

    using peer_reports = std::unordered_map<std::uint32_t, queue_report>;

    /** Updates the duration of a yield, and reclaims the slots at its end. */
    void observe(engine_yield &yield, std::uint32_t free, core::time_point now);
    /** Returns the slots to yield, and takes them from the `remaining` requests of the peers. */
    static std::uint32_t allocate(std::uint32_t free, std::uint32_t priority,
                                  std::span<const std::uint32_t> peers, peer_reports &remaining);
    /** Returns true if a request of the peer precedes one of this node with this priority. */
    bool precedes(std::uint32_t peer, const queue_report &report, std::uint32_t priority,
                  engine_key engine) const;
    peer_reports freshReports(std::string_view upstream, core::time_point now) const;

    std::uint32_t m_self = 0;
    engine_affinity m_peers;
    std::map<std::string, peer_reports, std::less<>> m_reports;
    std::unordered_map<engine_key, engine_yield> m_yields;
    std::uint64_t m_yieldedCount = 0;
    std::uint64_t m_reclaimedCount = 0;
};

} // namespace comfreypass::dispatch
