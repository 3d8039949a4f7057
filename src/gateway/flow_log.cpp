#include "gateway/flow_log.h"

#include "gateway/quarantine_log.h"
#include "observe/log_setup.h"

#include <chrono>
#include <string>

namespace comfreypass::gateway {

namespace {

using observe::log_level;
using observe::logEvent;

/** Rate limit for answered requests. */
constexpr std::uint32_t maxLinesPerSecond = 60;

/** Rate limit for refusals, failures and retries. */
constexpr std::uint32_t maxFailureLinesPerSecond = 160;

std::string milliseconds(core::duration time)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

void flow_log::onEnd(const flow_record &record, core::time_point now)
{
    const bool isSuccess = record.outcome == flow_outcome::Answered;
    if (!mayWrite(isSuccess, now))
        return;
    logEvent(isSuccess ? log_level::Info : log_level::Warning, "request_ended",
             toString(record.outcome),
             {{"request", record.attemptId},
              {"outcome", toString(record.outcome)},
              {"reason", record.reason},
              {"quarantined", signatureText(record.quarantined)},
              {"status", std::to_string(record.status)},
              {"route", record.route},
              {"upstream", record.upstream},
              {"team", record.team},
              {"priority", std::to_string(record.priority)},
              {"configuration", std::to_string(record.configurationVersion)},
              {"engine", record.engine},
              {"attempts", std::to_string(record.attempts)},
              {"own_running", std::to_string(record.ownRunning)},
              {"peers_running", std::to_string(record.peersRunning)},
              {"cold", record.coldEngine ? "true" : "false"},
              {"waited_ms", milliseconds(record.waited)},
              {"first_ms", milliseconds(record.firstByte)},
              {"total_ms", milliseconds(record.total)},
              {"since_event_ms", milliseconds(record.sinceLastEvent)},
              {"objective_ms", milliseconds(record.objective)},
              {"events", std::to_string(record.events)},
              {"units", std::to_string(static_cast<std::int64_t>(record.units))}});
}

void flow_log::onAttemptFailed(const flow_record &record, std::string_view failure,
                               core::time_point now)
{
    if (!mayWrite(false, now))
        return;
    logEvent(log_level::Warning, "attempt_failed", failure,
             {{"request", record.attemptId},
              {"failure", failure},
              {"route", record.route},
              {"upstream", record.upstream},
              {"engine", record.engine},
              {"attempts", std::to_string(record.attempts)},
              {"own_running", std::to_string(record.ownRunning)},
              {"peers_running", std::to_string(record.peersRunning)}});
}

void flow_log::reportSuppressed()
{
    if (m_suppressed == m_reported)
        return;
    logEvent(log_level::Warning, "log_lines_left_out",
             "log lines were suppressed by the rate limit",
             {{"lines", std::to_string(m_suppressed - m_reported)}});
    m_reported = m_suppressed;
}

bool flow_log::mayWrite(bool isSuccess, core::time_point now)
{
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_linesInSecond = 0;
    }
    if (m_linesInSecond >= (isSuccess ? maxLinesPerSecond : maxFailureLinesPerSecond)) {
        ++m_suppressed;
        return false;
    }
    ++m_linesInSecond;
    return true;
}

} // namespace comfreypass::gateway
