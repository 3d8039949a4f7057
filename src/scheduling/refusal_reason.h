#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace comfreypass::scheduling {

/** Why a scheduler gave no permit. All of them are true "not run" refusals. */
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

/** Stable lower-case word for a reason, as it appears in problem documents, logs and metrics. */
std::string_view toString(refusal_reason reason) noexcept;

} // namespace comfreypass::scheduling
