#include "http1/memory_budget.h"

#include "http1/memory_reservation.h"

#include <algorithm>
#include <utility>

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
    return reclaim({}, now);
}

bool memory_budget::reclaimOldestIncomplete(core::time_point now)
{
    return reclaim({.requester = nullptr,
                    .sameAddress = false,
                    .lastOrder = reclaim_order::IncompleteRequest,
                    .minBytes = 0},
                   now);
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
        const reclaim_scope scope{.requester = &reservation,
                                  .sameAddress = cause == refusal::Share,
                                  .lastOrder = reclaim_order::UnreadResponse,
                                  .minBytes = minReclaimedBytes};
        if (reclaim(scope, now))
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

bool memory_budget::reclaim(const reclaim_scope &scope, core::time_point now)
{
    memory_reservation *first = nullptr;
    for (memory_reservation *each : m_reservations) {
        if (each == scope.requester || !each->m_lastProgress || each->m_bytes < scope.minBytes
            || each->m_order > scope.lastOrder || now - *each->m_lastProgress < stallTime)
            continue;
        if (scope.sameAddress && each->m_address != scope.requester->m_address)
            continue;
        if (first == nullptr
            || std::pair(each->m_order, *each->m_lastProgress)
                   < std::pair(first->m_order, *first->m_lastProgress))
            first = each;
    }
    if (first == nullptr)
        return false;
    // Ends the search even if the holder keeps its memory.
    first->m_lastProgress.reset();
    ++m_counters.reclaimed;
    first->m_reclaim();
    return true;
}

} // namespace comfreypass::http1
