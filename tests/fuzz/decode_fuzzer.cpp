#include "core/invariant.h"
#include "wire/codec.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

using namespace comfreypass;

// Checks that every message that decode() accepts is unchanged after encoding it and decoding it
// again.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const core::time_point now{std::chrono::hours{1}};
    const auto first = wire::decode(std::as_bytes(std::span{data, size}), now);
    if (first.has_error())
        return 0;
    const std::string bytes = wire::encode(first.value().sender, first.value().body, now);
    const auto second = wire::decode(std::as_bytes(std::span{bytes}), now);
    COMFREYPASS_INVARIANT(second.has_value());
    COMFREYPASS_INVARIANT(second.value().body == first.value().body);
    return 0;
}
