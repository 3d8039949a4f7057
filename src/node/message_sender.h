#pragma once

#include "core/name.h"
#include "wire/peer_message.h"

namespace comfreypass::node {

/** Sends messages to nodes; a message to the own node is delivered like any other, but later. */
class message_sender
{
public:
    message_sender() = default;
    virtual ~message_sender() = default;
    message_sender(const message_sender &) = delete;
    message_sender &operator=(const message_sender &) = delete;

    /** The message may be lost. It is never handled from within the call. */
    virtual void send(const core::node_name &to, wire::peer_message message) = 0;
};

} // namespace comfreypass::node
