#pragma once

#include "core/name.h"
#include "membership/member.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace comfreypass::membership {

/** Names whose records still have to be sent with pings and acks. Not thread-safe. */
class update_queue
{
public:
    static constexpr std::size_t maxUpdatesPerMessage = 32;
    /** Limits 40 messages per second to about 25 KB/s even while many members change at once. */
    static constexpr std::size_t maxBytesPerMessage = 600;

    /** Queues a record for `copies` messages; the count of a queued name is reset. */
    void push(const core::node_name &name, std::uint32_t copies);
    void erase(const core::node_name &name);
    /** Returns the names for the next message, those with the most remaining copies first. */
    std::vector<core::node_name> next() const;
    /** Records that a copy of the name's record was sent. */
    void recordSent(const core::node_name &name);
    std::size_t size() const noexcept { return m_copies.size(); }

    /** Returns the estimated encoded size of a record in bytes. */
    static std::size_t encodedBytes(const member &record) noexcept;

private:
    std::map<core::node_name, std::uint32_t> m_copies;
};

} // namespace comfreypass::membership
