#pragma once

#include "core/time_point.h"
#include "gateway/flow_record.h"

#include <cstdint>
#include <string_view>

namespace comfreypass::gateway {

/**
 * Writes a line for each request that ended and for each attempt that did not end well.
 *
 * The volume is bounded: answered requests are left out first, everything else only above a second,
 * higher bound. What is left out is counted and told once in a while. Not thread-safe.
 */
class flow_log
{
public:
    void onEnd(const flow_record &record, core::time_point now);
    void onAttemptFailed(const flow_record &record, std::string_view failure, core::time_point now);

    /** Lines that were left out since the start. */
    std::uint64_t suppressed() const noexcept { return m_suppressed; }

    /** Tells how many lines were left out since the last call, if any. */
    void reportSuppressed();

private:
    bool mayWrite(bool isSuccess, core::time_point now);

    core::time_point m_secondStart{};
    std::uint32_t m_linesInSecond = 0;
    std::uint64_t m_suppressed = 0;
    std::uint64_t m_reported = 0;
};

} // namespace comfreypass::gateway
