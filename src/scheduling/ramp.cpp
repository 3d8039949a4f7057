#include "scheduling/ramp.h"

#include "core/invariant.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace comfreypass::scheduling {

namespace {

constexpr unsigned resetShift = 32;
constexpr std::uint64_t responseMask = 0xffff'ffffU;
constexpr std::uint32_t slowFirstTokensToReset = 3;
constexpr int slowFirstTokenFactor = 4;
/** Shorter times are dominated by the network and by process scheduling, not by the engine. */
constexpr core::duration minSlowFirstToken = std::chrono::milliseconds{100};

} // namespace

ramp::ramp(core::engine_name engine, std::uint32_t slots, std::uint32_t coldSlots)
    : m_slots(slots), m_coldSlots(std::min(slots, coldSlots))
{
    COMFREYPASS_INVARIANT(slots >= 1 && coldSlots >= 1);
    m_state.engine = std::move(engine);
    m_state.limit = m_coldSlots;
}

std::uint32_t ramp::generation() const noexcept
{
    return static_cast<std::uint32_t>(m_state.version >> resetShift);
}

void ramp::setSlots(std::uint32_t slots, std::uint32_t coldSlots)
{
    COMFREYPASS_INVARIANT(slots >= 1 && coldSlots >= 1);
    m_slots = slots;
    m_coldSlots = std::min(slots, coldSlots);
    m_state.limit = m_state.version == 0 ? m_coldSlots : std::min(m_state.limit, slots);
    m_state.evidence = std::min(m_state.evidence, m_state.limit - 1);
}

void ramp::onCompletedInTime(std::uint32_t generation)
{
    if (!cold() || generation != this->generation())
        return;
    if (m_reportedCold || (m_awaitsReport && !m_hasReport))
        return;
    ++m_state.version;
    ++m_state.evidence;
    if (m_state.evidence < m_state.limit)
        return;
    m_state.limit = m_state.limit > m_slots / 2 ? m_slots : m_state.limit * 2;
    m_state.evidence = 0;
}

void ramp::onConnectionFailure()
{
    reset();
}

void ramp::onFirstToken(core::duration measured, core::duration estimated)
{
    if (measured <= std::max(minSlowFirstToken, estimated * slowFirstTokenFactor)) {
        m_slowFirstTokens = 0;
        return;
    }
    if (++m_slowFirstTokens == slowFirstTokensToReset)
        reset();
}

void ramp::onLoadReport(std::uint64_t engineEpoch, bool cold)
{
    const bool newEpoch = m_state.engineEpoch != 0 && engineEpoch != m_state.engineEpoch;
    // An engine reports itself cold during its whole start. A reset at each report would keep the
    // limit at the cold slots.
    const bool turnedCold = cold && !(m_reportedCold && m_reportedEpoch == engineEpoch);
    m_reportedEpoch = engineEpoch;
    m_reportedCold = cold;
    m_hasReport = true;
    if (newEpoch || turnedCold)
        reset();
    m_state.engineEpoch = engineEpoch;
}

bool ramp::import(const ramp_state &state)
{
    if (state.engine != m_state.engine || state.version <= m_state.version)
        return false;

    // Doubling a limit of L takes L responses, so n responses raise the limit by at most n.
    const std::uint64_t reachable = m_coldSlots + (state.version & responseMask);
    const std::uint64_t maxLimit = std::min<std::uint64_t>(m_slots, reachable);
    m_state = state;
    m_state.limit = static_cast<std::uint32_t>(
        std::clamp<std::uint64_t>(state.limit, std::min<std::uint64_t>(1, maxLimit), maxLimit));
    m_state.evidence = std::min(state.evidence, m_state.limit - 1);
    m_slowFirstTokens = 0;
    const bool otherEpoch = m_reportedEpoch != 0 && state.engineEpoch != m_reportedEpoch;
    if (otherEpoch) {
        reset();
        m_state.engineEpoch = m_reportedEpoch;
    }
    return true;
}

void ramp::reset()
{
    m_state.version = (static_cast<std::uint64_t>(generation()) + 1) << resetShift;
    m_state.limit = m_coldSlots;
    m_state.evidence = 0;
    m_slowFirstTokens = 0;
}

} // namespace comfreypass::scheduling
