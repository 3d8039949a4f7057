#pragma once

#include "core/time_point.h"
#include "dispatch/engine_registry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::dispatch {

/** What a node can say of the source of the published records. */
enum class source_state : std::uint8_t {
    NotRead,
    Working,
    Lost,
    /** Back after an outage; entries that lapsed may still be written again. */
    Recovering,
};

/** What a node tells its peers several times a second. */
struct node_status
{
    /** IPv4 address in host byte order; names the node. */
    std::uint32_t address = 0;
    /** Drawn when the process starts. */
    std::uint64_t incarnation = 0;
    std::string domain;
    std::uint16_t callerPort = 0;
    /** It has a configuration and takes requests. */
    bool ready = false;
    /** It was told to stop. */
    bool leaving = false;
    /** Grows with each status of one process. */
    std::uint64_t sequence = 0;
    /** Newest applied revision of each collection of published records. */
    std::vector<std::uint64_t> revisions;
    source_state source = source_state::NotRead;
    std::vector<engine_load> loads;

    /** Engines whose pace the node saw lately. */
    std::vector<engine_latency> latencies;

    struct team_usage
    {
        std::string team;
        /** Units admitted since the start of the process. */
        double total = 0;
    };
    std::vector<team_usage> teamUsage;

    struct queue_length
    {
        std::string upstream;
        std::uint32_t count = 0;
        std::uint32_t highestPriority = 0;
    };
    std::vector<queue_length> queues;

    /** Addresses of the nodes that it knows. */
    std::vector<std::uint32_t> knownNodes;
};

/** What a node tells at once of single engines, to the nodes that prefer them. */
struct engine_update
{
    std::uint32_t address = 0;
    std::uint64_t incarnation = 0;
    /** From the same count as the sequence of the statuses. */
    std::uint64_t sequence = 0;
    std::vector<engine_load> loads;
    /** Engines that the node found out of order. */
    std::vector<engine_key> ejected;
};

/** A peer as this node knows it. */
struct fleet_member
{
    node_status status;
    core::time_point firstSeenAt{};
    core::time_point lastSeenAt{};
    /** False for a node that was only named by another one. */
    bool hasReported = false;
};

} // namespace comfreypass::dispatch
