#pragma once

#include "core/result.h"
#include "transport/zmq_io.h"
#include "transport/zmq_watch.h"

#include <zmq.hpp>

#include <cstdint>
#include <memory>
#include <set>
#include <span>
#include <string>

class ACE_Reactor;

namespace comfreypass::transport {

/**
 * Decides which CURVE client keys may connect to the sockets of a context: the handler of ZeroMQ's
 * authentication protocol (RFC 27/ZAP), served by the reactor. Not thread-safe.
 */
class key_authenticator
{
public:
    /** Accepted and refused connections are only counted; `refused` must outlive this. */
    key_authenticator(ACE_Reactor &reactor, zmq::context_t &context, std::uint64_t &refusedCount);

    /** Begins to decide. Errors: InvalidArgument for a key that is not 40 characters of Z85. */
    core::result<void> open(std::span<const std::string> allowedClients);

private:
    void processRequests();
    bool isAllowed(std::size_t count) const;

    ACE_Reactor &m_reactor;
    std::uint64_t &m_refusedCount;
    /** Binary keys of 32 bytes. */
    std::set<std::string, std::less<>> m_allowed;
    zmq_frames m_frames;
    zmq::socket_t m_socket;
    std::unique_ptr<zmq_watch> m_watch;
};

} // namespace comfreypass::transport
