#pragma once

#include "core/result.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace comfreypass::gateway {

/** Smaller values fit a datagram and are not compressed. */
constexpr std::size_t minCompressedValueBytes = 1'200;

/** Limit on a decompressed value; the source holds values of up to 1 MB. */
constexpr std::size_t maxDecompressedValueBytes = 4'194'304;

/** Compresses the value of a record with zlib. Returns nothing if it is small. Thread-safe. */
std::string compressValue(std::string_view value);

/**
 * Reverses compressValue(); `size` is the size of the value. Error: ParseFailed if the bytes are
 * invalid or the size is wrong or too large. Thread-safe.
 */
core::result<std::string> decompressValue(std::string_view compressed, std::size_t size);

} // namespace comfreypass::gateway
