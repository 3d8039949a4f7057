#include "gateway/transfer_pacer.h"

#include <algorithm>

namespace comfreypass::gateway {

void transfer_pacer::onStart(std::size_t bytes, core::time_point now)
{
    const std::chrono::duration<double> time(static_cast<double>(bytes) / m_bytesPerSecond);
    m_busyUntil = std::max(m_busyUntil, now) + std::chrono::duration_cast<core::duration>(time);
}

} // namespace comfreypass::gateway
