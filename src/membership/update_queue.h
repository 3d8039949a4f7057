#pragma once

#include "core/name.h"
#include "membership/member.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace comfreypass::membership {

/** Names whose records still have to be passed on with pings and acks. Not thread-safe. */
class update_queue
{
public:
    static constexpr std::size_t maxUpdatesPerMessage = 32;
    /** Keeps 40 messages a second near 25 KB/s even while many members change at once. */
    static constexpr std::size_t maxBytesPerMessage = 600;

    /** Queues a record for `copies` messages; a name that is queued starts again. */
    void push(const core::node_name &name, std::uint32_t copies);
    void erase(const core::node_name &name);
    /** Names for the next message, those that were sent the least often first. */
    std::vector<core::node_name> next() const;
    /** Counts a copy of the name's record as sent. */
    void recordSent(const core::node_name &name);
    std::size_t size() const noexcept { return m_copies.size(); }

    /** Estimated encoded size of a record in bytes. */
    static std::size_t encodedBytes(const member &record) noexcept;

private:
    std::map<core::node_name, std::uint32_t> m_copies;
};

} // namespace comfreypass::membership
