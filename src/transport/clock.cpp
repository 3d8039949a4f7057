#include "transport/clock.h"

#include <chrono>

namespace comfreypass::transport {

core::time_point monotonicNow() noexcept
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return core::time_point(std::chrono::duration_cast<core::duration>(sinceStart));
}

} // namespace comfreypass::transport
