#include "scheduling/prefix_table.h"

#include "core/invariant.h"

namespace comfreypass::scheduling {

prefix_table::prefix_table(std::size_t capacity) : m_slots(capacity)
{
    COMFREYPASS_INVARIANT(capacity > 0);
}

std::optional<prefix_table::match> prefix_table::find(std::span<const std::uint64_t> hashes) const
{
    for (std::size_t count = hashes.size(); count > 0; --count) {
        const std::uint64_t hash = hashes[count - 1];
        const slot &found = m_slots[hash % m_slots.size()];
        if (hash != 0 && found.hash == hash)
            return match{found.engine, count};
    }
    return std::nullopt;
}

void prefix_table::insert(std::span<const std::uint64_t> hashes, engine_id engine)
{
    for (const std::uint64_t hash : hashes)
        m_slots[hash % m_slots.size()] = slot{hash, engine};
}

} // namespace comfreypass::scheduling
