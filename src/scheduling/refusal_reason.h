#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace comfreypass::scheduling {

/** Reason why a scheduler granted no permit. The request was not run in any of these cases. */
enum class refusal_reason : std::uint8_t {
    Capacity,
    Displaced,
    DeadlineUnreachable,
    TeamLimit,
    NoUsableEngine,
    NotScheduler,
    LeaseLost,
};

constexpr std::size_t refusalReasonCount = 7;

/** Returns the stable lower-case name of a reason for problem documents, logs and metrics. */
std::string_view toString(refusal_reason reason) noexcept;

} // namespace comfreypass::scheduling
