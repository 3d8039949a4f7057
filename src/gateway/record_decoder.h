#pragma once

#include "core/result.h"
#include "dispatch/configuration.h"
#include "dispatch/engine_entry.h"
#include "dispatch/published_record.h"
#include "gateway/record_source.h"

#include <string>
#include <string_view>
#include <variant>

namespace comfreypass::gateway {

/** A failure domain whose engines receive no new requests. */
struct evacuated_domain
{
    std::string name;
};

/** A record that the gateway ignores. */
struct unrelated_record
{
};

/** Content of a published record. */
using record_content = std::variant<unrelated_record, dispatch::configuration,
                                    dispatch::engine_entry, evacuated_domain>;

/** Decodes published records. Implementations are stateless and thread-safe. */
class record_decoder
{
public:
    record_decoder() = default;
    virtual ~record_decoder() = default;
    record_decoder(const record_decoder &) = delete;
    record_decoder &operator=(const record_decoder &) = delete;

    /** Errors: ParseFailed or ValidationFailed, with the location in the value. */
    virtual core::result<record_content> decode(const dispatch::published_record &record) const = 0;

    /** Returns the engine id or domain name encoded in a key; empty for other keys. */
    virtual std::string_view engineOfKey(std::string_view key) const = 0;
    virtual std::string_view evacuatedDomainOfKey(std::string_view key) const = 0;
};

} // namespace comfreypass::gateway
