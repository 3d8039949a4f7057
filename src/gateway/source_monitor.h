#pragma once

#include "core/time_point.h"
#include "dispatch/fleet_member.h"
#include "gateway/record_source.h"

#include <array>
#include <chrono>

namespace comfreypass::gateway {

/**
 * Tracks whether the source of the published records answers this node, and until when removals of
 * engines must be held because their entries may only have expired during an outage.
 *
 * Only a failed call is evidence of an outage: a reader without any answer yet is neither available
 * nor lost. Not thread-safe.
 */
class source_monitor
{
public:
    /** Engines write expired entries again within about 2 s after the source has recovered. */
    static constexpr core::duration expiredEntryRetention = std::chrono::milliseconds(2'400);

    /** This node starts or stops reading the source. */
    void setReading(bool reading);

    /** A call for a collection was answered or has failed. */
    void onAvailability(collection_id collection, bool available);

    bool reading() const noexcept { return m_reading; }

    /** Returns the state that this node reports to its peers. */
    dispatch::source_state state() const;

    /**
     * Returns the time until which removals must be held; it lies in the past if there is no
     * reason. Must be called regularly, with what the reachable peers report.
     */
    core::time_point removalsHeldUntil(bool availableAtPeer, bool lostAtPeer, core::time_point now);

private:
    enum class availability : std::uint8_t { Unknown, Available, Lost };

    bool m_reading = false;
    std::array<availability, collectionCount> m_collections{};
    core::time_point m_heldUntil{};
};

} // namespace comfreypass::gateway
