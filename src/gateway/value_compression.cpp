#include "gateway/value_compression.h"

#include <zlib.h>

namespace comfreypass::gateway {

std::string compressValue(std::string_view value)
{
    if (value.size() < minCompressedValueBytes)
        return {};
    uLongf size = compressBound(value.size());
    std::string compressed(size, '\0');
    if (compress2(reinterpret_cast<Bytef *>(compressed.data()), &size,
                  reinterpret_cast<const Bytef *>(value.data()), value.size(), Z_BEST_SPEED)
        != Z_OK)
        return {};
    compressed.resize(size);
    return compressed;
}

core::result<std::string> decompressValue(std::string_view compressed, std::size_t size)
{
    const core::error invalid{core::errc::ParseFailed, "compressed value", "cannot be read", ""};
    if (size > maxDecompressedValueBytes)
        return invalid;
    std::string value(size, '\0');
    uLongf written = size;
    if (uncompress(reinterpret_cast<Bytef *>(value.data()), &written,
                   reinterpret_cast<const Bytef *>(compressed.data()), compressed.size())
            != Z_OK
        || written != size)
        return invalid;
    return value;
}

} // namespace comfreypass::gateway
