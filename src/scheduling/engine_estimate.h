#pragma once

#include "core/time_point.h"
#include "scheduling/request_cost.h"
#include "sheet/generation_spec.h"

#include <cstddef>
#include <cstdint>

namespace comfreypass::scheduling {

/**
 * Service-time estimate of one engine, from the work granted by this scheduler and a measured
 * latency factor. Not thread-safe.
 */
class engine_estimate
{
public:
    explicit engine_estimate(const sheet::generation_spec &spec);

    void setSpec(const sheet::generation_spec &spec) { m_spec = spec; }

    /**
     * Adds a granted request and returns its work for `remove`; `cost` holds only the prefill that
     * is not cached.
     */
    std::int64_t add(const request_cost &cost, core::time_point now);
    void remove(std::int64_t work) noexcept { m_outstandingMicros -= work; }

    /** Returns the time from a dispatch now to the first token, including the queued prefill. */
    core::duration firstToken(std::uint32_t uncachedPrefill, core::time_point now) const;
    /** Returns the time from a dispatch now to the end of the response. */
    core::duration service(const request_cost &cost, core::time_point now) const;
    /** Returns the service time on the engine without other work. */
    core::duration idleService(const request_cost &cost) const;

    /**
     * Updates the latency factor from a measured first-token time; `estimated` and `factorAtGrant`
     * are the values at the time of the grant.
     */
    void updateLatencyFactor(core::duration measured, core::duration estimated,
                             double factorAtGrant);
    /** Resets the latency factor, for a new process of the engine. */
    void resetLatencyFactor() noexcept { m_latencyFactor = 1; }

    /** Returns measured relative to estimated latency; 1 for an engine as fast as in the sheet. */
    double latencyFactor() const noexcept { return m_latencyFactor; }
    /** Returns the latency factor in steps of half a power of two, below `latencyClassCount`. */
    std::size_t latencyClass() const noexcept;
    /** Returns the work granted and not released, in microseconds of an otherwise idle engine. */
    std::int64_t outstanding() const noexcept { return m_outstandingMicros; }

    static constexpr std::size_t latencyClassCount = 17;
    /** Returns the lowest latency factor of a class. */
    static double minFactorOfClass(std::size_t latencyClass) noexcept;

private:
    double prefillMicros(std::uint32_t tokens) const;
    double decodeMicros(std::uint32_t tokens) const;
    std::int64_t workMicros(const request_cost &cost) const;

    sheet::generation_spec m_spec;
    double m_latencyFactor = 1;
    std::int64_t m_outstandingMicros = 0;
    /** Estimated completion time of the prefill granted so far. */
    core::time_point m_prefillDone{};
};

} // namespace comfreypass::scheduling
