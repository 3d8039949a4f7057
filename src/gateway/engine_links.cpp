#include "gateway/engine_links.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace comfreypass::gateway {

namespace {

/** Idle time of a connection whose engine does not say when it closes it. */
constexpr core::duration defaultLifetime = std::chrono::seconds(2);

/** Part of the engine's idle time-out that is used; the rest covers delays on the way. */
constexpr int usedLifetimePercent = 60;

} // namespace

engine_links::engine_links(ACE_Reactor &reactor, http1::deferred_deleter &deleter)
    : m_reactor(reactor), m_deleter(deleter)
{ }

engine_links::~engine_links() = default;

engine_link engine_links::take(const http1::endpoint &address, core::duration longestIdle,
                               core::time_point now)
{
    const auto found = m_idle.find(address);
    if (found != m_idle.end()) {
        std::vector<idle_link> &kept = found->second;
        while (!kept.empty()) {
            idle_link last = std::move(kept.back());
            kept.pop_back();
            const bool fresh = last.expiresAt > now && now - last.idleSince < longestIdle;
            if (fresh && last.connection->usable())
                return {.connection = std::move(last.connection), .isReused = true};
            discard(std::move(last.connection));
        }
    }
    return {.connection = std::make_shared<http1::client_connection>(m_reactor, address)};
}

void engine_links::give(const http1::endpoint &address,
                        std::shared_ptr<http1::client_connection> connection,
                        core::duration lifetime, core::time_point now)
{
    const core::duration usable = lifetime > core::duration::zero()
                                      ? lifetime * usedLifetimePercent / 100
                                      : defaultLifetime;
    m_idle[address].push_back({std::move(connection), now, now + usable});
}

void engine_links::discard(std::shared_ptr<http1::client_connection> connection)
{
    if (!connection)
        return;
    connection->cancel();
    m_deleter.add(std::move(connection));
}

void engine_links::closeExpired(core::time_point now)
{
    for (auto &[address, kept] : m_idle) {
        for (idle_link &each : kept) {
            if (each.expiresAt <= now || !each.connection->usable())
                discard(std::move(each.connection));
        }
        std::erase_if(kept, [](const idle_link &each) { return !each.connection; });
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace comfreypass::gateway
