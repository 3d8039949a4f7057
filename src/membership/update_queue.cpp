#include "membership/update_queue.h"

#include <algorithm>
#include <utility>

namespace comfreypass::membership {

void update_queue::push(const core::node_name &name, std::uint32_t copies)
{
    m_copies[name] = copies;
}

void update_queue::erase(const core::node_name &name)
{
    m_copies.erase(name);
}

std::vector<core::node_name> update_queue::next() const
{
    std::vector<std::pair<std::uint32_t, const core::node_name *>> ordered;
    ordered.reserve(m_copies.size());
    for (const auto &[name, copies] : m_copies)
        ordered.emplace_back(copies, &name);
    const std::size_t kept = std::min(ordered.size(), maxUpdatesPerMessage);
    std::partial_sort(ordered.begin(), ordered.begin() + static_cast<std::ptrdiff_t>(kept),
                      ordered.end(), [](const auto &left, const auto &right) {
                          return left.first != right.first ? left.first > right.first
                                                           : *left.second < *right.second;
                      });
    std::vector<core::node_name> names;
    names.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i)
        names.push_back(*ordered[i].second);
    return names;
}

void update_queue::recordSent(const core::node_name &name)
{
    const auto found = m_copies.find(name);
    if (found != m_copies.end() && --found->second == 0)
        m_copies.erase(found);
}

std::size_t update_queue::encodedBytes(const member &record) noexcept
{
    // Tags and lengths of eight fields, a fixed 64-bit incarnation and three short varints.
    constexpr std::size_t fixedBytes = 26;
    return fixedBytes + record.identity.name.text().size() + record.peerAddress.size()
           + record.callerAddress.size() + record.domain.text().size();
}

} // namespace comfreypass::membership
