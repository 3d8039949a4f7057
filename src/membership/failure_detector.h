#pragma once

#include "core/name.h"
#include "core/time_point.h"
#include "membership/membership_settings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace comfreypass::membership {

/** Decides which neighbours to ping and suspect, and when a suspicion expires. Not thread-safe. */
class failure_detector
{
public:
    struct step
    {
        std::vector<core::node_name> toPing;
        std::vector<core::node_name> newSuspects;
        std::vector<core::node_name> expiredSuspicions;
        /** True if this tick came so late that the process must have been paused. */
        bool paused = false;
    };

    failure_detector(membership_settings settings, core::time_point now);

    /** Sets the monitored neighbours; keeps the state of those that were monitored before. */
    void setNeighbours(std::span<const core::node_name> names, core::time_point now,
                       std::uint64_t random);
    step tick(core::time_point now);

    /** Records an ack to a ping that was sent at `sentAt`. */
    void onAck(const core::node_name &name, core::time_point sentAt);
    /** Starts the suspicion timer of a member; a running timer is not restarted. */
    void beginSuspicion(const core::node_name &name, core::time_point now);
    /** Ends a suspicion. If it was refuted, more misses are needed to suspect the member again. */
    void endSuspicion(const core::node_name &name, bool refuted);
    /** Resets the count of missed acks of a member that returned. */
    void resetMisses(const core::node_name &name);

    /** Returns true if the last tick is so long ago that the process was paused or overloaded. */
    bool wasPaused(core::time_point now) const;
    /** Returns the end of the last pause; empty if the process was never paused. */
    std::optional<core::time_point> pausedUntil() const noexcept { return m_pausedUntil; }
    /** Returns the number of neighbours that acked a ping sent at or after `since`. */
    std::size_t ackedSince(core::time_point since) const;
    std::size_t neighbourCount() const noexcept { return m_probes.size(); }

private:
    struct probe
    {
        core::time_point nextPing;
        std::optional<core::time_point> lastPing;
        std::optional<core::time_point> lastAcked;
        std::uint32_t misses = 0;
        /** Factor on membership_settings::missesToSuspect; doubles after a refuted suspicion. */
        std::uint32_t missMultiplier = 1;
    };

    std::uint32_t allowedMisses(const probe &target, core::time_point now) const;

    membership_settings m_settings;
    core::time_point m_lastTick;
    std::optional<core::time_point> m_pausedUntil;
    std::map<core::node_name, probe> m_probes;
    std::map<core::node_name, core::time_point> m_suspicions;
};

} // namespace comfreypass::membership
