#include "gateway/engine_prober.h"

#include <iterator>
#include <utility>

namespace comfreypass::gateway {

engine_prober::engine_prober(engine_connection_pool &connections,
                             const dispatch::engine_registry &registry, refused_function onRefused,
                             alive_function onAlive)
    : m_connections(connections), m_registry(registry), m_onRefused(std::move(onRefused)),
      m_onAlive(std::move(onAlive))
{ }

void engine_prober::onBroken(const dispatch::engine_entry &engine, core::time_point now)
{
    schedule(engine, now);
}

void engine_prober::onEnded(const dispatch::engine_entry &engine, core::time_point now)
{
    if (engine_probe *probe = schedule(engine, now))
        probe->endedAt = now;
}

engine_prober::engine_probe *engine_prober::schedule(const dispatch::engine_entry &engine,
                                                     core::time_point now)
{
    const auto address = http1::endpoint::parse(engine.address);
    if (!address)
        return nullptr;
    const auto added = m_probes.try_emplace(
        dispatch::engine_registry::keyOf(engine.id),
        engine_probe{.engine = engine, .address = address.value(), .brokenAt = now});
    return &added.first->second;
}

void engine_prober::advance(core::time_point now)
{
    for (auto each = m_probes.begin(); each != m_probes.end();)
        each = advance(each->second, now) ? std::next(each) : m_probes.erase(each);
}

bool engine_prober::advance(engine_probe &probe, core::time_point now)
{
    if (!probe.connection) {
        if (!probe.endedAt && m_registry.hasSentSince(probe.engine.id, probe.brokenAt))
            return false;
        if (now - probe.brokenAt < probeDelay)
            return true;
        if (m_registry.hasSentSince(probe.engine.id, probe.brokenAt + maxBytesDelay))
            return finishAlive(probe);
        probe.connection = m_connections.connect(probe.address).connection;
        // A refusal is reported later; a connection that fails at once lacks a descriptor.
        return probe.connection->usable();
    }
    const bool isOpen = probe.connection->usable();
    if (isOpen && probe.connection->connected()) {
        m_connections.addUnused(probe.address, std::move(probe.connection), now);
        return finishAlive(probe);
    }
    if (isOpen && now - probe.brokenAt < probeTimeout)
        return true;
    const bool isRefused = !isOpen && !probe.connection->connected();
    m_connections.discard(std::move(probe.connection));
    if (isRefused)
        m_onRefused(probe.engine, now);
    return false;
}

// A response that ended after the probe was scheduled needs a later proof.
bool engine_prober::finishAlive(engine_probe &probe)
{
    if (!probe.endedAt)
        return false;
    m_onAlive(probe.engine, probe.brokenAt);
    if (*probe.endedAt <= probe.brokenAt)
        return false;
    probe.brokenAt = *probe.endedAt;
    probe.connection.reset();
    return true;
}

} // namespace comfreypass::gateway
