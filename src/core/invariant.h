#pragma once

namespace comfreypass::core {

/** Reports a violated invariant on standard error and aborts the process. */
[[noreturn]] void invariantFailed(const char *condition, const char *file, int line) noexcept;

} // namespace comfreypass::core

/** Aborts the process if a condition that the code itself guarantees does not hold. */
#define COMFREYPASS_INVARIANT(condition)                                          \
    do {                                                                          \
        if (!(condition))                                                         \
            ::comfreypass::core::invariantFailed(#condition, __FILE__, __LINE__); \
    } while (false)
