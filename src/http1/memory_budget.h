#pragma once

#include "core/time_point.h"
#include "http1/reclaim_order.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <unordered_set>

namespace comfreypass::http1 {

class memory_reservation;

/**
 * Bounds the memory that a node holds for all its callers.
 *
 * A quarter of the limit is kept for small requests, so that ordinary callers are served while
 * large bodies fill the rest, and a caller address cannot take all of the rest. If memory is
 * short, the holders that have made no progress for longest are asked to release theirs first.
 * Knows no sockets and no clock. Not thread-safe.
 */
class memory_budget
{
public:
    /** Reservations up to this size, in bytes, may use the whole limit. */
    static constexpr std::size_t smallBytes = 98'304;

    /** A holder that has made progress within this time is not asked to release its memory. */
    static constexpr core::duration stallTime = std::chrono::milliseconds(500);

    struct counters
    {
        /** Refused growth because of the limit, and because of the share of an address. */
        std::uint64_t refusedByLimit = 0;
        std::uint64_t refusedByShare = 0;
        /** Holders that were asked to release their memory. */
        std::uint64_t reclaimed = 0;
    };

    explicit memory_budget(std::size_t limitBytes) noexcept : m_limit(limitBytes) { }
    memory_budget(const memory_budget &) = delete;
    memory_budget &operator=(const memory_budget &) = delete;

    /** Returns the reserved bytes; can exceed the limit by memory that was already in use. */
    std::size_t usedBytes() const noexcept { return m_used; }
    std::size_t limitBytes() const noexcept { return m_limit; }

    /** Returns the bytes that reservations larger than smallBytes may use, and those of an address.
     */
    std::size_t largeLimitBytes() const noexcept;
    std::size_t addressLimitBytes() const noexcept;

    const counters &counts() const noexcept { return m_counters; }

    /** Asks the holder without progress for the longest time to release its memory, if it has made
     * none for stallTime. Returns false if there is no such holder. */
    bool reclaimOldest(core::time_point now);

    /** As reclaimOldest, but asks only holders of incomplete requests. */
    bool reclaimOldestIncomplete(core::time_point now);

private:
    friend class memory_reservation;

    enum class refusal : std::uint8_t { None, Limit, Share };

    refusal check(const memory_reservation &reservation, std::size_t bytes) const;
    bool tryResize(memory_reservation &reservation, std::size_t bytes, core::time_point now);
    void resize(memory_reservation &reservation, std::size_t bytes);
    struct reclaim_scope
    {
        /** Is not asked itself; null if memory is reclaimed for no holder. */
        const memory_reservation *requester = nullptr;
        /** Ask only holders of the requester's address. */
        bool sameAddress = false;
        reclaim_order lastOrder = reclaim_order::UnreadResponse;
        std::size_t minBytes = 0;
    };

    bool reclaim(const reclaim_scope &scope, core::time_point now);

    std::size_t m_limit;
    std::size_t m_used = 0;
    std::unordered_map<std::uint32_t, std::size_t> m_usedByAddress;
    std::unordered_set<memory_reservation *> m_reservations;
    counters m_counters;
};

} // namespace comfreypass::http1
