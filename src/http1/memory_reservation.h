#pragma once

#include "core/time_point.h"
#include "http1/memory_budget.h"
#include "http1/reclaim_order.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>

namespace comfreypass::http1 {

/** The part of a memory_budget that one connection uses; released on destruction. Not thread-safe.
 */
class memory_reservation
{
public:
    /**
     * `address` identifies the caller. `reclaim` is called when memory is short; it must reduce the
     * reservation and must not destroy it. The budget must outlive the reservation.
     */
    memory_reservation(memory_budget &budget, std::uint32_t address, std::function<void()> reclaim);
    ~memory_reservation();
    memory_reservation(const memory_reservation &) = delete;
    memory_reservation &operator=(const memory_reservation &) = delete;

    /**
     * Sets the reservation to `bytes` before that memory is used. Holders without progress may be
     * asked to release theirs. Returns false, and changes nothing, if the budget does not allow it.
     */
    bool tryResize(std::size_t bytes, core::time_point now);

    /** Sets the reservation to memory that is in use already. */
    void resize(std::size_t bytes);

    /** Allows the budget to reclaim the memory if no progress is made after `lastProgress`. */
    void setReclaimable(reclaim_order order, core::time_point lastProgress)
    {
        m_order = order;
        m_lastProgress = lastProgress;
    }
    void setNotReclaimable() { m_lastProgress.reset(); }

    std::size_t bytes() const noexcept { return m_bytes; }

private:
    friend class memory_budget;

    memory_budget &m_budget;
    std::uint32_t m_address;
    std::function<void()> m_reclaim;
    std::size_t m_bytes = 0;
    reclaim_order m_order = reclaim_order::IncompleteRequest;
    std::optional<core::time_point> m_lastProgress;
};

} // namespace comfreypass::http1
