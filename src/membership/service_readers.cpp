#include "membership/service_readers.h"

#include "core/rendezvous.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace comfreypass::membership {

namespace {

/** The first retry of a failed read follows soon because other nodes depend on the readers. */
constexpr core::duration initialBackoff = std::chrono::milliseconds(500);
/** Widens the jitter window with the number of live nodes: at most 100 calls per second. */
constexpr core::duration jitterWindowPerNode = std::chrono::milliseconds(10);

core::duration randomDelay(core::duration window, std::uint64_t random)
{
    const auto span = std::max<std::int64_t>(window.count(), 1);
    return core::duration(static_cast<std::int64_t>(random % static_cast<std::uint64_t>(span)));
}

} // namespace

service_readers::service_readers(core::node_name self, membership_settings settings)
    : m_self(std::move(self)), m_settings(settings)
{ }

void service_readers::choose(std::span<const member *const> live)
{
    std::vector<core::node_name> names;
    std::map<core::node_name, core::domain_name> domains;
    for (const member *node : live) {
        if (node->state == member_state::Leaving)
            continue;
        names.push_back(node->identity.name);
        domains.emplace(node->identity.name, node->domain);
    }
    const auto ranked = core::rendezvousRank("configuration-service", names, names.size());

    m_readers.clear();
    std::set<core::domain_name> used;
    for (const core::node_name &name : ranked) {
        if (m_readers.size() < m_settings.readerCount && used.insert(domains.at(name)).second)
            m_readers.push_back(name);
    }
    // If there are fewer failure domains than readers, the next nodes by rank are added.
    for (const core::node_name &name : ranked) {
        if (m_readers.size() >= m_settings.readerCount)
            break;
        if (std::find(m_readers.begin(), m_readers.end(), name) == m_readers.end())
            m_readers.push_back(name);
    }
}

bool service_readers::isReader() const
{
    return std::find(m_readers.begin(), m_readers.end(), m_self) != m_readers.end();
}

bool service_readers::shouldRead(core::time_point now, std::uint64_t random,
                                 std::optional<core::duration> confirmationAge,
                                 std::size_t liveNodes)
{
    if (m_readStartedAt) {
        if (now - *m_readStartedAt < m_settings.readTimeout)
            return false;
        onReadFailed(now);
    }
    if (isReader()) {
        m_selfReadAt.reset();
    } else {
        if (confirmationAge && *confirmationAge < m_settings.selfReadAge) {
            m_selfReadAt.reset();
            return false;
        }
        if (!m_selfReadAt) {
            core::duration window = std::chrono::seconds(1) + jitterWindowPerNode * liveNodes;
            for (std::uint32_t i = 0; i < m_failures && window < m_settings.maxReadBackoff; ++i)
                window *= 2;
            m_selfReadAt = now + randomDelay(window, random);
        }
        if (now < *m_selfReadAt)
            return false;
        m_selfReadAt.reset();
    }
    if (now < m_nextRead)
        return false;
    m_readStartedAt = now;
    return true;
}

void service_readers::onReadSucceeded(core::time_point now)
{
    m_readStartedAt.reset();
    m_failures = 0;
    m_nextRead = now + m_settings.readInterval;
}

void service_readers::onReadFailed(core::time_point now)
{
    m_readStartedAt.reset();
    core::duration pause = initialBackoff;
    for (std::uint32_t i = 0; i < m_failures && pause < m_settings.maxReadBackoff; ++i)
        pause *= 2;
    m_nextRead = now + std::min(pause, m_settings.maxReadBackoff);
    ++m_failures;
}

} // namespace comfreypass::membership
