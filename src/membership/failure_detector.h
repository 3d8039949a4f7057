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

/** Decides whom to ping, whom to suspect and when a suspicion has expired. Not thread-safe. */
class failure_detector
{
public:
    struct step
    {
        std::vector<core::node_name> toPing;
        std::vector<core::node_name> newSuspects;
        std::vector<core::node_name> expiredSuspicions;
        /** True if this tick shows that the process was paused. */
        bool paused = false;
    };

    failure_detector(membership_settings settings, core::time_point now);

    /** Sets the monitored neighbours; the state of those that stay is kept. */
    void setNeighbours(std::span<const core::node_name> names, core::time_point now,
                       std::uint64_t random);
    step tick(core::time_point now);

    /** An ack to a ping that was sent at `sentAt` arrived. */
    void onAck(const core::node_name &name, core::time_point sentAt);
    /** Starts the time a suspect has to refute; a running one is not restarted. */
    void beginSuspicion(const core::node_name &name, core::time_point now);
    /** The suspect refuted or is dead. `refuted` makes this node more patient with it. */
    void endSuspicion(const core::node_name &name, bool refuted);
    /** Forgets missed acks, for a member that returned. */
    void resetMisses(const core::node_name &name);

    /** True if the last tick is so long ago that this process was paused, or is just behind. */
    bool wasPaused(core::time_point now) const;
    /** End of the last pause; none if the process was never paused. */
    std::optional<core::time_point> pausedUntil() const noexcept { return m_pausedUntil; }
    /** Neighbours that acked a ping sent at or after `since`. */
    std::size_t ackedSince(core::time_point since) const;
    std::size_t neighbourCount() const noexcept { return m_probes.size(); }

private:
    struct probe
    {
        core::time_point nextPing;
        std::optional<core::time_point> lastPing;
        std::optional<core::time_point> lastAcked;
        std::uint32_t misses = 0;
        /** Multiplies the misses until suspicion; doubles when a suspicion was wrong. */
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
