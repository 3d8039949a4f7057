#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace comfreypass::scheduling {

/**
 * Bounded hash table from prompt prefixes to the engine that last received them. A newer prefix
 * overwrites an older one in the same slot. Entries are hints. Not thread-safe.
 */
class prefix_table
{
public:
    using engine_id = std::uint32_t;

    /** The longest known prefix of a request. */
    struct match
    {
        engine_id engine = 0;
        /** Number of the request's hashes that match, counted from the shortest prefix. */
        std::size_t hashes = 0;
    };

    explicit prefix_table(std::size_t capacity = 32'768);

    /** Finds the longest known prefix; `hashes` are ordered from the shortest prefix. */
    std::optional<match> find(std::span<const std::uint64_t> hashes) const;
    void insert(std::span<const std::uint64_t> hashes, engine_id engine);

private:
    struct slot
    {
        std::uint64_t hash = 0;
        engine_id engine = 0;
    };

    std::vector<slot> m_slots;
};

} // namespace comfreypass::scheduling
