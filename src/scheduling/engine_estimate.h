#pragma once

#include "core/time_point.h"
#include "scheduling/request_cost.h"
#include "sheet/generation_spec.h"

#include <cstddef>
#include <cstdint>

namespace comfreypass::scheduling {

/**
 * Service-time estimate of one engine from the scheduler's own grants and a learned slowness
 * factor. Not thread-safe.
 */
class engine_estimate
{
public:
    explicit engine_estimate(const sheet::generation_spec &facts);

    void setFacts(const sheet::generation_spec &facts) { m_facts = facts; }

    /**
     * Counts a granted request and returns its work for `remove`; `cost` holds only the prefill
     * that is not cached.
     */
    std::int64_t add(const request_cost &cost, core::time_point now);
    void remove(std::int64_t work) noexcept { m_outstandingMicros -= work; }

    /** Time from a dispatch now to the first token, with the prefill that is still queued. */
    core::duration firstToken(std::uint32_t uncachedPrefill, core::time_point now) const;
    /** Time from a dispatch now to the end of the response. */
    core::duration service(const request_cost &cost, core::time_point now) const;
    /** As `service`, on the engine without other work. */
    core::duration idleService(const request_cost &cost) const;

    /**
     * Learns from a measured first-token time; the estimate and the slowness are those of the time
     * of the grant.
     */
    void learn(core::duration measured, core::duration estimated, double factorAtGrant);
    /** Forgets the learned slowness, for a new process life of the engine. */
    void forget() noexcept { m_latencyFactor = 1; }

    /** Learned factor, 1 for an engine as fast as the sheet says. */
    double latencyFactor() const noexcept { return m_latencyFactor; }
    /** Slowness in steps of half a power of two, below `latencyClassCount`. */
    std::size_t latencyClass() const noexcept;
    /** Work granted and not released, in microseconds of an engine without other work. */
    std::int64_t outstanding() const noexcept { return m_outstandingMicros; }

    static constexpr std::size_t latencyClassCount = 17;
    /** Lowest slowness of a class. */
    static double minFactorOfClass(std::size_t latencyClass) noexcept;

private:
    double prefillMicros(std::uint32_t tokens) const;
    double decodeMicros(std::uint32_t tokens) const;
    std::int64_t workMicros(const request_cost &cost) const;

    sheet::generation_spec m_facts;
    double m_latencyFactor = 1;
    std::int64_t m_outstandingMicros = 0;
    /** When the prefill granted so far is expected to be done. */
    core::time_point m_prefillDone{};
};

} // namespace comfreypass::scheduling
