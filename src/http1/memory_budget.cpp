#include "http1/memory_budget.h"

#include "http1/memory_reservation.h"

#include <algorithm>

namespace comfreypass::http1 {

namespace {

/** Releasing less than this from a stalled holder is not worth a closed connection. */
constexpr std::size_t minReclaimedBytes = 8'192;

/** A single address may use this much even of a small budget: a body of 4 MiB must be served. */
constexpr std::size_t minAddressBytes = 5'242'880;

} // namespace

std::size_t memory_budget::largeLimitBytes() const noexcept
{
    return m_limit / 4 * 3;
}

std::size_t memory_budget::addressLimitBytes() const noexcept
{
    return std::max(largeLimitBytes() / 4 * 3, std::min(largeLimitBytes(), minAddressBytes));
}

bool memory_budget::reclaimOldest(core::time_point now)
{
    return reclaim(nullptr, 0, false, now);
}

memory_budget::refusal memory_budget::check(const memory_reservation &reservation,
                                            std::size_t bytes) const
{
    const std::size_t used = m_used - reservation.m_bytes + bytes;
    if (bytes <= smallBytes)
        return used > m_limit ? refusal::Limit : refusal::None;
    if (used > largeLimitBytes())
        return refusal::Limit;
    const auto found = m_usedByAddress.find(reservation.m_address);
    const std::size_t others
        = found == m_usedByAddress.end() ? 0 : found->second - reservation.m_bytes;
    return others + bytes > addressLimitBytes() ? refusal::Share : refusal::None;
}

bool memory_budget::tryResize(memory_reservation &reservation, std::size_t bytes,
                              core::time_point now)
{
    while (bytes > reservation.m_bytes) {
        const refusal cause = check(reservation, bytes);
        if (cause == refusal::None)
            break;
        if (reclaim(&reservation, minReclaimedBytes, cause == refusal::Share, now))
            continue;
        ++(cause == refusal::Share ? m_counters.refusedByShare : m_counters.refusedByLimit);
        return false;
    }
    resize(reservation, bytes);
    return true;
}

void memory_budget::resize(memory_reservation &reservation, std::size_t bytes)
{
    if (bytes == reservation.m_bytes)
        return;
    m_used = m_used - reservation.m_bytes + bytes;
    std::size_t &ofAddress = m_usedByAddress[reservation.m_address];
    ofAddress = ofAddress - reservation.m_bytes + bytes;
    reservation.m_bytes = bytes;
    if (ofAddress == 0)
        m_usedByAddress.erase(reservation.m_address);
}

bool memory_budget::reclaim(const memory_reservation *requester, std::size_t minBytes,
                            bool sameAddress, core::time_point now)
{
    memory_reservation *oldest = nullptr;
    for (memory_reservation *each : m_reservations) {
        const bool isCandidate = each != requester && each->m_lastProgress
                                 && each->m_bytes >= minBytes
                                 && now - *each->m_lastProgress >= stallTime
                                 && !(sameAddress && each->m_address != requester->m_address);
        if (isCandidate && (oldest == nullptr || *each->m_lastProgress < *oldest->m_lastProgress))
            oldest = each;
    }
    if (oldest == nullptr)
        return false;
    // Ends the search even if the holder keeps its memory.
    oldest->m_lastProgress.reset();
    ++m_counters.reclaimed;
    oldest->m_reclaim();
    return true;
}

} // namespace comfreypass::http1
