#pragma once

#include "core/name.h"
#include "wire/peer_message.h"

namespace comfreypass::node {

/** Sends messages to nodes, including the local node. */
class message_sender
{
public:
    message_sender() = default;
    virtual ~message_sender() = default;
    message_sender(const message_sender &) = delete;
    message_sender &operator=(const message_sender &) = delete;

    /** Sends a message, which may be lost. Its handler never runs within this call, not even for a
     * message to the local node. */
    virtual void send(const core::node_name &to, wire::peer_message message) = 0;
};

} // namespace comfreypass::node
