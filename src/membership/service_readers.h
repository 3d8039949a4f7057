#pragma once

#include "core/name.h"
#include "core/time_point.h"
#include "membership/member.h"
#include "membership/membership_settings.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace comfreypass::membership {

/**
 * Decides which nodes read the configuration service and when this node does. Not thread-safe.
 *
 * A constant number of readers reads regularly. Other nodes read only if they have received no
 * recent confirmation; their random delay grows with the number of live nodes and with each
 * failure, so the fleet's call rate stays bounded even while the service is down.
 */
class service_readers
{
public:
    service_readers(core::node_name self, membership_settings settings);

    /** Chooses the readers from the live members by rank, preferring different failure domains. */
    void choose(std::span<const member *const> live);
    const std::vector<core::node_name> &readers() const noexcept { return m_readers; }
    bool isReader() const;

    /** Returns true if the owner must start a read now; the read then counts as started. */
    bool shouldRead(core::time_point now, std::uint64_t random,
                    std::optional<core::duration> confirmationAge, std::size_t liveNodes);
    void onReadSucceeded(core::time_point now);
    void onReadFailed(core::time_point now);

private:
    core::node_name m_self;
    membership_settings m_settings;
    std::vector<core::node_name> m_readers;
    std::optional<core::time_point> m_readStartedAt;
    core::time_point m_nextRead;
    std::optional<core::time_point> m_selfReadAt;
    std::uint32_t m_failures = 0;
};

} // namespace comfreypass::membership
