#pragma once

#include "core/result.h"
#include "support/proxy_faults.h"
#include "transport/reactor_timer.h"
#include "transport/socket_watch.h"

#include <ace/Reactor.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::tests {

class proxy_link;

/** TCP proxy to one target that injects faults. Not thread-safe. */
class fault_proxy
{
public:
    /** Creates a proxy that forwards connections to a numeric IPv4 address and port. */
    fault_proxy(ACE_Reactor &reactor, std::string targetAddress, std::uint16_t targetPort);
    ~fault_proxy();
    fault_proxy(const fault_proxy &) = delete;
    fault_proxy &operator=(const fault_proxy &) = delete;

    /** Listens on an IPv4 address and returns the port; the system chooses one for 0. */
    core::result<std::uint16_t> listen(const std::string &address = "127.0.0.1",
                                       std::uint16_t port = 0);

    /** Sets the faults of existing and future connections. */
    void setFaults(const proxy_faults &faults);

    /** Closes all connections. */
    void cut();

    /** Resets all connections. */
    void reset();

    /** Resets the target's side of all connections; the callers' sides stay open. */
    void halfOpen();

    /**
     * Executes one command: `delay MS`, `hold to-target|to-caller|both|none`, `reset-after BYTES`,
     * `garble EVERY`, `refuse on|off`, `cut`, `reset`, `half-open`, or `heal` (no faults).
     * Errors: InvalidArgument for any other line.
     */
    core::result<void> command(std::string_view line);

    std::size_t openConnections() const;
    std::uint64_t acceptedConnections() const { return m_accepted; }

private:
    void accept();
    int connectToTarget() const;
    void removeEnded();
    template<class Action>
    void forEachLink(Action action);

    ACE_Reactor &m_reactor;
    std::string m_targetAddress;
    std::uint16_t m_targetPort;
    proxy_faults m_faults;
    int m_listening = -1;
    std::uint64_t m_accepted = 0;
    std::unique_ptr<transport::socket_watch> m_watch;
    std::vector<std::unique_ptr<proxy_link>> m_links;
    transport::reactor_timer m_cleanup;
};

} // namespace comfreypass::tests
