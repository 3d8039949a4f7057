#pragma once

#include "dispatch/crash_signature.h"
#include "dispatch/quarantine_report.h"

#include <string>
#include <string_view>

namespace comfreypass::gateway {

/**
 * Returns the keys of a signature as hexadecimal digits with commas, as in logs; empty if it has
 * none. Thread-safe.
 */
std::string signatureText(const dispatch::crash_signature &signature);

/**
 * Logs what a node has found or learned about requests that crash engines. `origin` is the address
 * of the peer that has reported it; empty for this node. Thread-safe.
 */
void logQuarantine(const dispatch::quarantine_report &report, std::string_view origin);

} // namespace comfreypass::gateway
