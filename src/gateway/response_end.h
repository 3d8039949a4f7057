#pragma once

#include "http1/message_head.h"

#include <string_view>

namespace comfreypass::gateway {

/** Returns false if the response ends with its header, whatever its fields say. Thread-safe. */
bool mayHaveBody(unsigned status, std::string_view requestMethod) noexcept;

/**
 * Returns whether the response has neither a length nor chunks, so that only an orderly end of its
 * connection completes it. Thread-safe.
 */
bool endsWithConnection(const http1::message_head &response,
                        std::string_view requestMethod) noexcept;

} // namespace comfreypass::gateway
