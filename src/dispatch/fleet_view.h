#pragma once

#include "core/time_point.h"
#include "dispatch/engine_affinity.h"
#include "dispatch/fleet_member.h"
#include "dispatch/fleet_share.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::dispatch {

/** Times of the exchange between nodes. */
struct fleet_timeouts
{
    /** A node is out of touch after this silence: several lost messages in a row. */
    core::duration unreachableAfter = std::chrono::milliseconds(1'200);
    /**
     * A silent node keeps its share of the fleet's bounds for this long; a node that is cut off
     * serves on and must not be forgotten before a cut usually ends.
     */
    core::duration retention = std::chrono::seconds(60);
};

/** What a received status changed. */
struct status_change
{
    bool isNew = false;
    bool restarted = false;
    bool returned = false;
    /** Units that the peer admitted since its last status, by team. */
    std::vector<node_status::team_usage> newUsage;
};

/** The nodes of the fleet as this node knows them. Not thread-safe. */
class fleet_view
{
public:
    fleet_view(std::uint32_t self, std::string domain, const fleet_timeouts &times);

    /** A node that may exist, from the settings or from a peer. */
    void addCandidate(std::uint32_t address, core::time_point now);

    /** Takes a status; an older one of the same process than the last is ignored. */
    status_change onStatus(node_status status, core::time_point now);

    /** True if the news come from the known process of a peer and are newer than all it told. */
    bool acceptEngineUpdate(const engine_update &update);

    /** The nodes in touch that do not leave, this node included. */
    std::vector<node_location> activeNodes(core::time_point now) const;

    /** Addresses to which this node sends its status. */
    std::vector<std::uint32_t> peers() const;

    /** Members that went silent since the last call; their loads no longer count. */
    std::vector<std::uint32_t> takeUnreachable(core::time_point now);

    /** Removes nodes that were silent for the whole memory. */
    void removeExpired(core::time_point now);

    /** This node's part of the fleet's bounds. */
    fleet_share share(core::time_point now) const;

    /** Caller addresses of the nodes in touch that are ready, those of `domain` first. */
    std::vector<const node_status *> readyPeers(std::string_view domain,
                                                core::time_point now) const;

    /** Peers in touch that are newer than `revision` in a collection. */
    std::vector<const node_status *> peersAhead(std::size_t collection, std::uint64_t revision,
                                                core::time_point now) const;

    /**
     * True if this node should read the source of the published records.
     *
     * A few nodes read and pass on, so that the calls do not grow with the fleet. The order follows
     * from the addresses; nodes that lost the source do not count, so others take over.
     */
    bool isSourceReader(core::time_point now) const;

    /** Position of this node among the nodes that read the source, and their number. */
    struct reader_rank
    {
        std::size_t index = 0;
        std::size_t count = 1;
    };
    reader_rank readerRank(core::time_point now) const;

    /** A peer in touch reads the source and sees no outage. */
    bool sourceAvailableAtPeer(core::time_point now) const;

    /** A peer in touch has lost the source or sees it recover. */
    bool sourceDegradedAtPeer(core::time_point now) const;

    /** Requests that wait at the peers in touch for an upstream with at least this urgency. */
    std::uint32_t queuedAtPeers(std::string_view upstream, std::uint32_t priority,
                                core::time_point now) const;

    bool isReachable(const fleet_member &member, core::time_point now) const;
    const std::map<std::uint32_t, fleet_member> &members() const noexcept { return m_members; }

private:
    std::uint32_t m_self;
    std::string m_domain;
    fleet_timeouts m_times;
    std::map<std::uint32_t, fleet_member> m_members;
    std::map<std::uint32_t, bool> m_silent;
};

} // namespace comfreypass::dispatch
