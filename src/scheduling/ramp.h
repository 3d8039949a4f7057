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
 * as the current limit, up to the engine's slots. Time never raises it. The upper half of the
 * version counts resets and the lower half counted responses, so that a reset outranks any growth
 * that another scheduler saw before it. Not thread-safe.
 */
class ramp
{
public:
    /** Precondition: `coldSlots` and `slots` are at least 1. */
    ramp(core::engine_name engine, std::uint32_t slots, std::uint32_t coldSlots);

    /** Requests that the fleet may run on the engine at once. */
    std::uint32_t limit() const noexcept { return m_state.limit; }
    /** True while the limit is below the engine's slots. */
    bool cold() const noexcept { return m_state.limit < m_slots; }
    /** Number of resets; responses to dispatches from before a reset are no evidence. */
    std::uint32_t generation() const noexcept;

    /**
     * Takes new slots from the sheet; the limit may fall by this but never grows,
     * except to the cold slots before the first evidence.
     */
    void setSlots(std::uint32_t slots, std::uint32_t coldSlots);
    /** Whether responses before the first load report are no evidence; false at first. */
    void setAwaitsReport(bool awaits) noexcept { m_awaitsReport = awaits; }

    /** A response completed in time; `generation` is the value at the time of the grant. */
    void onCompletedInTime(std::uint32_t generation);
    void onConnectionFailure();
    /** Compares a first-token time with its estimate; the third slow one in a row resets. */
    void onFirstToken(core::duration measured, core::duration estimated);
    /**
     * Resets for a new engine epoch, and for a cold flag that the last report did not have. While
     * the last report says cold, responses are no evidence: they show that the engine bears its
     * cold slots.
     */
    void onLoadReport(std::uint64_t engineEpoch, bool cold);

    const ramp_state &state() const noexcept { return m_state; }
    /**
     * Takes over a newer state; returns false if the state is older. The limit is cut to the slots
     * and to what the number of responses in the version can have given.
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
