#include "scheduling/engine_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace comfreypass::scheduling {

namespace {

constexpr double microsPerSecond = 1e6;
constexpr double latencyFactorSmoothing = 0.2;
constexpr double minLatencyFactor = 0.25;
constexpr double maxLatencyFactor = 64;
constexpr double classesPerOctave = 2;

core::duration roundMicros(double micros)
{
    return core::duration{static_cast<std::int64_t>(micros)};
}

} // namespace

engine_estimate::engine_estimate(const sheet::generation_spec &facts) : m_facts(facts) { }

std::int64_t engine_estimate::add(const request_cost &cost, core::time_point now)
{
    const auto prefill = roundMicros(prefillMicros(cost.prefillTokens) * m_latencyFactor);
    m_prefillDone = std::max(now, m_prefillDone) + prefill;
    const std::int64_t work = workMicros(cost);
    m_outstandingMicros += work;
    return work;
}

core::duration engine_estimate::firstToken(std::uint32_t uncachedPrefill,
                                           core::time_point now) const
{
    const core::duration queued = std::max(m_prefillDone - now, core::duration::zero());
    return queued + roundMicros(prefillMicros(uncachedPrefill) * m_latencyFactor);
}

core::duration engine_estimate::service(const request_cost &cost, core::time_point now) const
{
    return firstToken(cost.prefillTokens, now)
           + roundMicros(decodeMicros(cost.decodeTokens) * m_latencyFactor);
}

core::duration engine_estimate::idleService(const request_cost &cost) const
{
    return roundMicros(static_cast<double>(workMicros(cost)) * m_latencyFactor);
}

void engine_estimate::learn(core::duration measured, core::duration estimated, double factorAtGrant)
{
    if (measured <= core::duration::zero() || estimated <= core::duration::zero())
        return;
    // Below the time of one decode step, steps and messages decide when the first token comes; the
    // ratio for a short prompt would otherwise raise the slowness to its bound.
    const core::duration shortest = roundMicros(decodeMicros(1) * factorAtGrant);
    const double ratio = factorAtGrant * static_cast<double>(measured.count())
                         / static_cast<double>(std::max(estimated, shortest).count());
    m_latencyFactor += latencyFactorSmoothing * (ratio - m_latencyFactor);
    m_latencyFactor = std::clamp(m_latencyFactor, minLatencyFactor, maxLatencyFactor);
}

std::size_t engine_estimate::latencyClass() const noexcept
{
    const double steps = classesPerOctave * std::log2(m_latencyFactor / minLatencyFactor);
    return std::min(static_cast<std::size_t>(std::max(0.0, steps)), latencyClassCount - 1);
}

double engine_estimate::minFactorOfClass(std::size_t latencyClass) noexcept
{
    return minLatencyFactor * std::exp2(static_cast<double>(latencyClass) / classesPerOctave);
}

double engine_estimate::prefillMicros(std::uint32_t tokens) const
{
    if (m_facts.prefillTokensPerSecond <= 0)
        return 0;
    return tokens * microsPerSecond / m_facts.prefillTokensPerSecond;
}

double engine_estimate::decodeMicros(std::uint32_t tokens) const
{
    if (m_facts.decodeTokensPerSecond <= 0)
        return 0;
    return tokens * microsPerSecond / m_facts.decodeTokensPerSecond;
}

std::int64_t engine_estimate::workMicros(const request_cost &cost) const
{
    return static_cast<std::int64_t>(prefillMicros(cost.prefillTokens)
                                     + decodeMicros(cost.decodeTokens));
}

} // namespace comfreypass::scheduling
