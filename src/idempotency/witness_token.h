#pragma once

#include "core/result.h"
#include "idempotency/witness_ref.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::idempotency {

/** Witnesses of one token. */
constexpr std::size_t maxWitnesses = 3;
/** Witnesses that must accept a claim; any two majorities share a witness. */
constexpr std::size_t witnessMajority = 2;
/** Bytes in the name of a witness. */
constexpr std::size_t maxWitnessNameBytes = 64;

/**
 * The witnesses of a request. A caller sends the same token with every repeat of a request: two
 * tokens may name witnesses that know nothing of each other.
 */
struct witness_token
{
    /** Different nodes, at most `maxWitnesses`. */
    std::vector<witness_ref> witnesses;

    bool operator==(const witness_token &) const = default;
};

/**
 * Text of a token for an HTTP header: base64url without padding. Precondition: at most
 * `maxWitnesses` different nodes whose names have 1 to `maxWitnessNameBytes` bytes. Thread-safe.
 */
std::string toText(const witness_token &token);

/**
 * Reads the text of a token. Thread-safe.
 *
 * Errors: ParseFailed for text that toText() does not produce, including a witness that is named
 * twice, which would let one node form a majority.
 */
core::result<witness_token> parseWitnessToken(std::string_view text);

} // namespace comfreypass::idempotency
