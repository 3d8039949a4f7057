#include "gateway/engine_connection_pool.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace comfreypass::gateway {

namespace {

/** Maximum idle time of a connection if the engine does not announce its idle timeout. */
constexpr core::duration defaultLifetime = std::chrono::seconds(2);

/** Share of the engine's idle timeout that is used; the rest covers network delays. */
constexpr int usableLifetimePercent = 60;

} // namespace

engine_connection_pool::engine_connection_pool(ACE_Reactor &reactor,
                                               http1::deferred_deleter &deleter)
    : m_reactor(reactor), m_deleter(deleter)
{ }

engine_connection_pool::~engine_connection_pool() = default;

engine_connection engine_connection_pool::acquire(const http1::endpoint &address,
                                                  core::duration maxIdle, core::time_point now)
{
    const auto found = m_idle.find(address);
    if (found != m_idle.end()) {
        std::vector<idle_connection> &pooled = found->second;
        while (!pooled.empty()) {
            idle_connection last = std::move(pooled.back());
            pooled.pop_back();
            const bool fresh = last.expiresAt > now && now - last.idleSince < maxIdle;
            if (fresh && last.connection->usable())
                return {.connection = std::move(last.connection), .isReused = last.hasServed};
            discard(std::move(last.connection));
        }
    }
    return connect(address);
}

engine_connection engine_connection_pool::connect(const http1::endpoint &address)
{
    return {.connection = std::make_shared<http1::client_connection>(m_reactor, address)};
}

void engine_connection_pool::release(const http1::endpoint &address,
                                     std::shared_ptr<http1::client_connection> connection,
                                     core::duration lifetime, core::time_point now)
{
    const core::duration usableLifetime = lifetime > core::duration::zero()
                                              ? lifetime * usableLifetimePercent / 100
                                              : defaultLifetime;
    m_idle[address].push_back({std::move(connection), now, now + usableLifetime});
}

void engine_connection_pool::addUnused(const http1::endpoint &address,
                                       std::shared_ptr<http1::client_connection> connection,
                                       core::time_point now)
{
    m_idle[address].push_back({.connection = std::move(connection),
                               .idleSince = now,
                               .expiresAt = now + defaultLifetime,
                               .hasServed = false});
}

void engine_connection_pool::discard(std::shared_ptr<http1::client_connection> connection)
{
    if (!connection)
        return;
    connection->cancel();
    m_deleter.add(std::move(connection));
}

void engine_connection_pool::closeAfterRequest(std::shared_ptr<http1::client_connection> connection)
{
    if (!connection)
        return;
    connection->closeAfterRequest();
    m_deleter.add(std::move(connection));
}

void engine_connection_pool::closeIdle(const http1::endpoint &address)
{
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return;
    for (idle_connection &each : found->second)
        discard(std::move(each.connection));
    m_idle.erase(found);
}

void engine_connection_pool::closeExpired(core::time_point now)
{
    for (auto &[address, pooled] : m_idle) {
        for (idle_connection &each : pooled) {
            if (each.expiresAt <= now || !each.connection->usable())
                discard(std::move(each.connection));
        }
        std::erase_if(pooled, [](const idle_connection &each) { return !each.connection; });
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace comfreypass::gateway
