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

/** Timeouts of the status exchange between nodes. */
struct fleet_timeouts
{
    /**
     * Minimum time without a status after which a node is unreachable. The time spans several lost
     * messages, so it is longer if statuses are rarer; see fleet_view::setStatusInterval().
     */
    core::duration unreachableAfter = std::chrono::milliseconds(1'200);
    /**
     * Time for which an unreachable node keeps its share of the fleet's bounds. A partitioned node
     * continues to serve, so this time must exceed the usual duration of a partition.
     */
    core::duration retention = std::chrono::seconds(60);
    /** Minimum time between two statuses to a seed that has been silent for `retention`. */
    core::duration seedContactInterval = std::chrono::seconds(2);
};

/** Changes caused by a received status. */
struct status_change
{
    bool isNew = false;
    bool restarted = false;
    bool returned = false;
    /** Units that the peer admitted since its previous status, by team. */
    std::vector<node_status::team_usage> newUsage;
};

/** The view that this node has of the fleet. Not thread-safe. */
class fleet_view
{
public:
    fleet_view(std::uint32_t self, std::string domain, const fleet_timeouts &timeouts);

    /** Sets the interval in which the nodes of the fleet send their statuses. */
    void setStatusInterval(core::duration interval) { m_statusInterval = interval; }

    /**
     * Sets the seeds that the settings name, and adds them as candidates. Seeds are contacted
     * however long they have been silent, see takeForgottenSeeds().
     */
    void setSeeds(const std::vector<std::uint32_t> &seeds, core::time_point now);

    /**
     * Returns the seeds that have expired and are due to be contacted. They are no members, so they
     * have no share of the fleet's bounds. Without this contact, seeds that return after the
     * retention time would know only one another and be a second fleet.
     */
    std::vector<std::uint32_t> takeForgottenSeeds(core::time_point now);

    /** Adds a node that the settings or a peer named. */
    void addCandidate(std::uint32_t address, core::time_point now);

    /** Applies a status; ignores it if it is older than the last one of the same process. */
    status_change onStatus(node_status status, core::time_point now);

    /** Returns true if the update is from the known process of a peer and newer than its last. */
    bool acceptEngineUpdate(const engine_update &update);

    /** Returns the reachable nodes that are not leaving, including this node, by address. */
    std::vector<node_location> activeNodes(core::time_point now) const;

    /** Returns the addresses to which this node sends its status. */
    std::vector<std::uint32_t> peers() const;

    /** Returns members that became unreachable since the last call; their loads are obsolete. */
    std::vector<std::uint32_t> takeUnreachable(core::time_point now);

    /** Removes nodes that were unreachable for the retention time. */
    void removeExpired(core::time_point now);

    /** Returns the share of this node in the fleet's bounds. */
    fleet_share share(core::time_point now) const;

    /** Returns the reachable nodes that are ready for callers, those of `domain` first. */
    std::vector<const node_status *> readyPeers(std::string_view domain,
                                                core::time_point now) const;

    /** Returns the reachable peers with a later revision of a collection than `revision`. */
    std::vector<const node_status *> peersAhead(std::size_t collection, record_revision revision,
                                                core::time_point now) const;

    /** Returns the reachable peers with a later version of the configuration than `version`. */
    std::vector<const node_status *> peersWithLaterConfiguration(std::uint64_t version,
                                                                 core::time_point now) const;

    /** Returns the reachable peers with an earlier revision of any collection than `revisions`. */
    std::vector<std::uint32_t> peersBehind(std::span<const record_revision> revisions,
                                           core::time_point now) const;

    /**
     * Returns true if this node should read the source of the published records.
     *
     * A few nodes read the source and forward changes, so that the calls do not grow with the
     * fleet. They are selected by a hash of the addresses; nodes that lost the source do not count,
     * so that others replace them.
     */
    bool isSourceReader(core::time_point now) const;

    /** Position of this node among the nodes that read the source, and their number. */
    struct reader_rank
    {
        std::size_t index = 0;
        std::size_t count = 1;
    };
    reader_rank readerRank(core::time_point now) const;

    /** Returns true if a reachable peer reads the source without an outage. */
    bool sourceAvailableAtPeer(core::time_point now) const;

    /** Returns true if the source does not answer a reachable peer. */
    bool sourceLostAtPeer(core::time_point now) const;

    /**
     * Returns the number of requests of an upstream queued at reachable peers with at least this
     * priority.
     */
    std::uint32_t queuedAtPeers(std::string_view upstream, std::uint32_t priority,
                                core::time_point now) const;

    bool isReachable(const fleet_member &member, core::time_point now) const;
    const std::map<std::uint32_t, fleet_member> &members() const noexcept { return m_members; }

private:
    core::duration unreachableAfter() const;

    std::uint32_t m_self;
    std::uint64_t m_readerOrder;
    std::string m_domain;
    fleet_timeouts m_timeouts;
    core::duration m_statusInterval{};
    std::map<std::uint32_t, fleet_member> m_members;
    std::map<std::uint32_t, bool> m_unreachable;
    std::vector<std::uint32_t> m_seeds;
    core::time_point m_nextSeedContact{};
};

} // namespace comfreypass::dispatch
