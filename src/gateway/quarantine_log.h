#pragma once

#include "dispatch/quarantine_report.h"
#include "dispatch/request_feature.h"

#include <string>
#include <string_view>

namespace comfreypass::gateway {

/** Returns the key of a feature as hexadecimal digits, as in logs. Thread-safe. */
std::string featureText(const dispatch::request_feature &feature);

/**
 * Logs what a node has found or learned about requests that crash engines. `origin` is the address
 * of the peer that has reported it; empty for this node. Thread-safe.
 */
void logQuarantine(const dispatch::quarantine_report &report, std::string_view origin);

} // namespace comfreypass::gateway
