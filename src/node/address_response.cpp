#include "node/address_response.h"

#include <boost/json.hpp>

#include <chrono>

namespace comfreypass::node {

namespace json = boost::json;

idempotency::witness_token makeWitnessToken(std::span<const membership::member> witnesses)
{
    idempotency::witness_token token;
    for (const membership::member &witness : witnesses)
        token.witnesses.push_back({witness.identity, witness.witnessEpoch});
    return token;
}

std::string addressResponse(std::span<const membership::member> nodes, core::duration keep,
                            const idempotency::witness_token &token)
{
    json::array addresses;
    for (const membership::member &node : nodes)
        addresses.push_back({{"address", node.callerAddress},
                             {"node", node.identity.name.text()},
                             {"failure_domain", node.domain.text()}});
    const json::object response{
        {"addresses", std::move(addresses)},
        {"keep_ms", std::chrono::duration_cast<std::chrono::milliseconds>(keep).count()},
        {"witnesses", idempotency::toText(token)},
        {"fall_back", "use the first address; when a connection fails or breaks, repeat the "
                      "request at the next one "
                      "with the same Idempotency-Key and Comfreypass-Witnesses, and with "
                      "Comfreypass-Repeat: true"},
    };
    return json::serialize(response);
}

} // namespace comfreypass::node
