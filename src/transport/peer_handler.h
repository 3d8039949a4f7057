#pragma once

#include "wire/codec.h"

namespace comfreypass::transport {

/** Receives the messages of other nodes. */
class peer_handler
{
public:
    virtual ~peer_handler() = default;

    /** Called in the reactor's thread for every decoded message. */
    virtual void onPeerMessage(wire::received_message &&message) = 0;

protected:
    peer_handler() = default;
    peer_handler(const peer_handler &) = default;
    peer_handler &operator=(const peer_handler &) = default;
};

} // namespace comfreypass::transport
