#pragma once

#include "core/time_point.h"
#include "dispatch/engine_registry.h"
#include "dispatch/record_revision.h"

#include <cstdint>
#include <string>
#include <vector>

namespace comfreypass::dispatch {

/** State of the source of the published records, as one node observes it. */
enum class source_state : std::uint8_t {
    NotRead,
    Working,
    Lost,
    /** Started reading and has no answer yet, which is no evidence of an outage. */
    Starting = 4,
};

/** Status message that a node sends to its peers several times per second. */
struct node_status
{
    /** IPv4 address in host byte order; identifies the node. */
    std::uint32_t address = 0;
    /** Random value chosen when the process starts. */
    std::uint64_t incarnation = 0;
    std::string domain;
    std::uint16_t callerPort = 0;
    /** The node has a configuration and accepts requests. */
    bool ready = false;
    /** The node is shutting down. */
    bool leaving = false;
    /** Increases with each status of one process. */
    std::uint64_t sequence = 0;
    /** Latest applied revision of each collection of published records. */
    std::vector<record_revision> revisions;
    /** Version of the active configuration; 0 if there is none. */
    std::uint64_t configurationVersion = 0;
    source_state source = source_state::NotRead;
    std::vector<engine_load> loads;

    /** Latencies that the node measured recently. */
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

    /** Addresses of the nodes known to the sender. */
    std::vector<std::uint32_t> knownNodes;
};

/** Message with changes at single engines, sent immediately to the nodes that prefer them. */
struct engine_update
{
    std::uint32_t address = 0;
    std::uint64_t incarnation = 0;
    /** Shares the sequence of the status messages. */
    std::uint64_t sequence = 0;
    std::vector<engine_load> loads;
    /** Engines that the node ejected. */
    std::vector<engine_key> ejected;
    /** Queues of the node; only those of coordinated upstreams that have changed. */
    std::vector<node_status::queue_length> queues;
};

/** State of a peer as known to this node. */
struct fleet_member
{
    node_status status;
    core::time_point firstSeenAt{};
    core::time_point lastSeenAt{};
    /** False if the node is only known from settings or other nodes. */
    bool hasReported = false;
    /** Position in the order in which nodes read the source of the published records. */
    std::uint64_t readerOrder = 0;
};

} // namespace comfreypass::dispatch
