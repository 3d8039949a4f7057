#pragma once

#include <string>

namespace comfreypass::gateway {

/** What the gateway needs to know of an engine's answer. */
struct response_metadata
{
    /** The attempt that is answered; empty if the engine does not say. */
    std::string attemptId;
    /** It bears the engine's signature. */
    bool isSigned = false;
    /** The engine says that it did not run the request. */
    bool notRun = false;
    /** Another engine has the address. */
    bool misdirected = false;
    bool isEventStream = false;
    /** Whole seconds for which the engine keeps the idle connection; 0 if it does not say. */
    unsigned keepAliveSeconds = 0;
};

} // namespace comfreypass::gateway
