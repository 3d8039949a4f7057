#include "http1/memory_reservation.h"

#include <utility>

namespace comfreypass::http1 {

memory_reservation::memory_reservation(memory_budget &budget, std::uint32_t address,
                                       std::function<void()> reclaim)
    : m_budget(budget), m_address(address), m_reclaim(std::move(reclaim))
{
    m_budget.m_reservations.insert(this);
}

memory_reservation::~memory_reservation()
{
    resize(0);
    m_budget.m_reservations.erase(this);
}

bool memory_reservation::tryResize(std::size_t bytes, core::time_point now)
{
    return m_budget.tryResize(*this, bytes, now);
}

void memory_reservation::resize(std::size_t bytes)
{
    m_budget.resize(*this, bytes);
}

} // namespace comfreypass::http1
