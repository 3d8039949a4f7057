#pragma once

#include "core/result.h"
#include "idempotency/witness_ref.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace comfreypass::idempotency {

/** Maximum number of witnesses of one token. */
constexpr std::size_t maxWitnesses = 3;
/** Number of witnesses that must accept a claim; any two majorities share a witness. */
constexpr std::size_t witnessMajority = 2;
/** Maximum length of the name of a witness. */
constexpr std::size_t maxWitnessNameBytes = 64;

/**
 * The witnesses of a request. A caller must send the same token with every repeat of a request,
 * because the witnesses of different tokens may be disjoint.
 */
struct witness_token
{
    /** Different nodes, at most `maxWitnesses`. */
    std::vector<witness_ref> witnesses;

    bool operator==(const witness_token &) const = default;
};

/**
 * Returns the text of a token for an HTTP header: base64url without padding. Precondition: at most
 * `maxWitnesses` different nodes whose names have 1 to `maxWitnessNameBytes` bytes. Thread-safe.
 */
std::string toText(const witness_token &token);

/**
 * Parses the text of a token. Thread-safe.
 *
 * Errors: ParseFailed for text that toText() does not produce, and for a token that names a witness
 * twice, with which a single node could form a majority.
 */
core::result<witness_token> parseWitnessToken(std::string_view text);

} // namespace comfreypass::idempotency
