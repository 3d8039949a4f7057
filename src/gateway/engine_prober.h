#pragma once

#include "core/time_point.h"
#include "dispatch/engine_registry.h"
#include "gateway/engine_connection_pool.h"
#include "http1/client_connection.h"
#include "http1/endpoint.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace comfreypass::gateway {

/**
 * Finds out whether an engine that broke off a response still accepts connections.
 *
 * A broken response alone does not show that the engine's process has ended, and in a quiet hour no
 * request may follow that would find the engine down. An engine that has sent something since needs
 * no probe. The probe is a connection without a request; if the engine accepts it, the next request
 * uses it. A connection that stays unanswered may have been cut, and proves nothing.
 *
 * The end of a response without a length looks the same whether the engine has completed it or has
 * crashed, so it is probed, too: the engine is alive if it accepts the connection, or has sent
 * something so much later that it was not on the way when the response ended.
 *
 * At most one probe of each engine runs at a time. Not thread-safe.
 */
class engine_prober
{
public:
    /** Receives the engine that refuses connections; must not call the prober. */
    using refused_function
        = std::function<void(const dispatch::engine_entry &engine, core::time_point now)>;

    /** Receives an engine that is alive, and the time of the last response whose end was probed;
     * must not call the prober. */
    using alive_function
        = std::function<void(const dispatch::engine_entry &engine, core::time_point endedAt)>;

    /** Time for a process that ends to close its listening socket. */
    static constexpr core::duration probeDelay = std::chrono::milliseconds(100);

    /** Bytes that arrive later than this after an end were sent after it. */
    static constexpr core::duration maxBytesDelay = probeDelay / 2;

    /** A probe without a result after this time proves nothing. */
    static constexpr core::duration probeTimeout = std::chrono::seconds(1);

    /** Pool and registry must outlive the prober. */
    engine_prober(engine_connection_pool &connections, const dispatch::engine_registry &registry,
                  refused_function onRefused, alive_function onAlive);

    /** Schedules a probe of an engine that has just broken off a response. */
    void onBroken(const dispatch::engine_entry &engine, core::time_point now);

    /** Schedules a probe of an engine that has just ended a response without a length. */
    void onEnded(const dispatch::engine_entry &engine, core::time_point now);

    /** Starts and ends probes; to be called every few milliseconds. */
    void advance(core::time_point now);

    /** Returns the number of engines that are or will be probed. */
    std::size_t pendingCount() const noexcept { return m_probes.size(); }

private:
    struct engine_probe
    {
        dispatch::engine_entry engine;
        http1::endpoint address;
        core::time_point brokenAt;
        /** The last end of a response without a length; if there is none, only a refusal matters.
         */
        std::optional<core::time_point> endedAt = {};
        /** Null until the probe starts. */
        std::shared_ptr<http1::client_connection> connection = {};
    };

    /** Returns nullptr if the engine has no valid address. */
    engine_probe *schedule(const dispatch::engine_entry &engine, core::time_point now);
    /** Returns false if the probe has ended. */
    bool advance(engine_probe &probe, core::time_point now);
    /** Returns false if no response has ended since the probe was scheduled. */
    bool finishAlive(engine_probe &probe);

    engine_connection_pool &m_connections;
    const dispatch::engine_registry &m_registry;
    refused_function m_onRefused;
    alive_function m_onAlive;
    std::map<dispatch::engine_key, engine_probe> m_probes;
};

} // namespace comfreypass::gateway
