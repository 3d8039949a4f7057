#pragma once

#include "core/time_point.h"
#include "gateway/flow_record.h"

#include <cstdint>
#include <string_view>

namespace comfreypass::gateway {

/**
 * Logs each finished request and each failed attempt.
 *
 * The rate is limited: above a first limit the lines of answered requests are suppressed, above a
 * second, higher limit all lines. Suppressed lines are counted and reported periodically. Not
 * thread-safe.
 */
class flow_log
{
public:
    void onEnd(const flow_record &record, core::time_point now);
    void onAttemptFailed(const flow_record &record, std::string_view failure, core::time_point now);

    /** Returns the number of lines suppressed since the start. */
    std::uint64_t suppressed() const noexcept { return m_suppressed; }

    /** Logs the number of lines suppressed since the last call, if any. */
    void reportSuppressed();

private:
    bool mayWrite(bool isSuccess, core::time_point now);

    core::time_point m_secondStart{};
    std::uint32_t m_linesInSecond = 0;
    std::uint64_t m_suppressed = 0;
    std::uint64_t m_reported = 0;
};

} // namespace comfreypass::gateway
