#include "gateway/record_catch_up.h"

namespace comfreypass::gateway {

std::optional<std::uint32_t> record_catch_up::next(std::span<const std::uint32_t> ahead,
                                                   bool urgent, std::minstd_rand &random,
                                                   core::time_point now)
{
    if (ahead.empty()) {
        m_behindSince.reset();
        return std::nullopt;
    }
    if (!m_behindSince)
        m_behindSince = now;
    const bool waited = urgent || now - *m_behindSince >= initialDelay;
    if (m_fetching || !waited || now < m_notBefore)
        return std::nullopt;
    m_fetching = true;
    // A random one, so that the nodes behind do not all fetch from the same peer.
    return ahead[random() % ahead.size()];
}

void record_catch_up::onResult(fetch_result result, std::minstd_rand &random, core::time_point now)
{
    m_fetching = false;
    if (result == fetch_result::Busy) {
        ++m_busyPeers;
        std::uniform_int_distribution<core::duration::rep> delay(minBusyDelay.count(),
                                                                 maxBusyDelay.count());
        m_notBefore = now + core::duration(delay(random));
        return;
    }
    m_behindSince.reset();
    if (result == fetch_result::Complete)
        m_busyPeers = 0;
}

} // namespace comfreypass::gateway
