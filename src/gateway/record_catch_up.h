#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace comfreypass::gateway {

enum class fetch_result : std::uint8_t {
    Complete,
    /** The peer sends records to others at the moment. */
    Busy,
    Failed,
};

/**
 * Decides when a node that is behind its peers fetches the published records, and from which one.
 * Not thread-safe.
 */
class record_catch_up
{
public:
    /** A node that is behind waits for this long, since the change may be on its way. */
    static constexpr core::duration initialDelay = std::chrono::milliseconds(100);

    /** Limits of the random delay after a busy peer; more nodes have the records by then. */
    static constexpr core::duration minBusyDelay = std::chrono::milliseconds(60);
    static constexpr core::duration maxBusyDelay = std::chrono::milliseconds(140);

    /** Peers that a node tells about records that it has just fetched. */
    static constexpr std::size_t notifiedPeers = 8;

    /**
     * Returns the peer to fetch from now, if any. `ahead` holds the reachable peers with later
     * records; `urgent` is true if the node cannot serve without them.
     */
    std::optional<std::uint32_t> next(std::span<const std::uint32_t> ahead, bool urgent,
                                      std::minstd_rand &random, core::time_point now);

    /** Ends the fetch that next() started. */
    void onResult(fetch_result result, std::minstd_rand &random, core::time_point now);

    /** Returns the number of busy peers since the last complete fetch. */
    std::uint32_t busyPeers() const noexcept { return m_busyPeers; }

private:
    bool m_fetching = false;
    std::optional<core::time_point> m_behindSince;
    core::time_point m_notBefore{};
    std::uint32_t m_busyPeers = 0;
};

} // namespace comfreypass::gateway
