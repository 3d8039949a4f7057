#pragma once

#include "core/time_point.h"

#include <chrono>
#include <cstddef>

namespace comfreypass::gateway {

/**
 * Limits the records that a node sends to its peers at the same time to what its link carries soon.
 *
 * After a change of a large record the whole fleet wants it from the few nodes that have it. If all
 * transfers shared a slow link, none would end before its timeout. So a few run at full speed, the
 * other peers are told to try again, and by then more nodes have the record. Not thread-safe.
 */
class transfer_pacer
{
public:
    /** A transfer is accepted while those before it end within this time. */
    static constexpr core::duration maxBacklog = std::chrono::milliseconds(100);

    explicit transfer_pacer(double bytesPerSecond) : m_bytesPerSecond(bytesPerSecond) { }

    /** Returns true if a transfer may start. */
    bool mayStart(core::time_point now) const { return m_busyUntil <= now + maxBacklog; }

    /** Counts a transfer that starts. */
    void onStart(std::size_t bytes, core::time_point now);

private:
    double m_bytesPerSecond;
    /** Estimated end of the transfers so far. */
    core::time_point m_busyUntil{};
};

} // namespace comfreypass::gateway
