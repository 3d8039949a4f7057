#pragma once

#include "core/name.h"
#include "core/time_point.h"
#include "scheduling/ramp_state.h"

#include <cstdint>

namespace comfreypass::scheduling {

/**
 * Cold-start ramp of one engine: how many requests the whole fleet may run on it at once.
 *
 * The limit starts at the engine's cold slots and doubles after as many responses completed in time
 * as the current limit, up to the engine's slots. The passage of time does not raise it. The upper
 * 32 bits of the version count resets and the lower 32 bits count completed responses, so that a
 * reset outranks any growth that another scheduler recorded before it. Not thread-safe.
 */
class ramp
{
public:
    /** Precondition: `coldSlots` and `slots` are at least 1. */
    ramp(core::engine_name engine, std::uint32_t slots, std::uint32_t coldSlots);

    /** Returns the number of requests that the fleet may run on the engine at once. */
    std::uint32_t limit() const noexcept { return m_state.limit; }
    /** Returns true while the limit is below the engine's slots. */
    bool cold() const noexcept { return m_state.limit < m_slots; }
    /** Returns the number of resets. Responses to dispatches from before a reset do not count. */
    std::uint32_t generation() const noexcept;

    /**
     * Sets the slots from the sheet. This may lower the limit but does not raise it, except to the
     * cold slots before the first counted response.
     */
    void setSlots(std::uint32_t slots, std::uint32_t coldSlots);
    /** If true, responses before the first load report do not count. Default: false. */
    void setAwaitsReport(bool awaits) noexcept { m_awaitsReport = awaits; }

    /** Counts a response that completed in time; `generation` is the value at the grant. */
    void onCompletedInTime(std::uint32_t generation);
    void onConnectionFailure();
    /** Compares a first-token time with its estimate; resets on the third slow one in a row. */
    void onFirstToken(core::duration measured, core::duration estimated);
    /**
     * Resets the ramp on a new engine epoch, and on a cold flag that the last report did not have.
     * While the last report says cold, responses do not count: they only show that the engine can
     * handle its cold slots.
     */
    void onLoadReport(std::uint64_t engineEpoch, bool cold);

    const ramp_state &state() const noexcept { return m_state; }
    /**
     * Applies a newer state; returns false if the state is not newer. The limit is clamped to the
     * slots and to the maximum reachable with the number of responses in the version.
     */
    bool import(const ramp_state &state);

private:
    void reset();

    ramp_state m_state;
    std::uint32_t m_slots;
    std::uint32_t m_coldSlots;
    std::uint32_t m_slowFirstTokens = 0;
    /** Epoch and flag of the last load report; zero before the first. */
    std::uint64_t m_reportedEpoch = 0;
    bool m_reportedCold = false;
    bool m_awaitsReport = false;
    bool m_hasReport = false;
};

} // namespace comfreypass::scheduling
