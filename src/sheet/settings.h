#pragma once

#include "core/name.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace comfreypass::sheet {

/** Maximum size of a settings document. */
constexpr std::size_t maxSettingsBytes = 262'144;

/** Validated settings of one node. Addresses have the form ip:port, or [ip]:port for IPv6. */
struct settings
{
    /** Addresses on which the node listens; callers and other nodes receive the same addresses. */
    struct listen_addresses
    {
        std::string callers;
        std::string peers;
        std::string operators;
    };

    struct configuration_service
    {
        std::string address;
        /** Key of the sheet in the service. */
        std::string key = "sheet";
    };

    /** Limits on the connections and the data of callers. */
    struct limit_values
    {
        std::uint32_t connections = 1'024;
        std::uint32_t connectionsPerAddress = 256;
        std::uint32_t headerBytes = 64 * 1024;
        std::uint32_t bodyBytes = 1024 * 1024;
        /** Buffer for each direction of one relayed stream. */
        std::uint32_t relayBufferBytes = 64 * 1024;
        /** Time without traffic after which a caller's connection is closed. */
        std::chrono::seconds idle{60};
    };

    struct timing_values
    {
        std::chrono::milliseconds ping{500};
        std::chrono::milliseconds suspicion{1'500};
        std::chrono::milliseconds lease{1'500};
        /** How long callers may use a response with addresses. */
        std::chrono::milliseconds addressTtl{10'000};
        std::chrono::milliseconds claimTimeout{250};
        /** Age after which the confirmation that no newer sheet exists is no longer valid. */
        std::chrono::milliseconds confirmation{4'000};
    };

    enum class log_format : std::uint8_t { Text, Json };
    enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

    struct log_values
    {
        log_format format = log_format::Text;
        log_level level = log_level::Info;
    };

    /** CURVE keys of the node in Z85 form (40 characters); exactly one of the two secrets is set.
     */
    struct peer_key_values
    {
        std::string secretKey;
        /** File that holds the secret key in Z85 form. */
        std::string secretKeyFile;
        /** Public keys of the nodes that may connect. */
        std::vector<std::string> allowed;
    };

    core::node_name name;
    core::domain_name failureDomain;
    listen_addresses listen;
    /** Peer addresses of the nodes to contact first. */
    std::vector<std::string> peers;
    configuration_service configurationService;
    std::string instanceListAddress;
    limit_values limits;
    timing_values timing;
    log_values log;
    /** Without keys, connections between nodes are neither encrypted nor authenticated. */
    std::optional<peer_key_values> peerKeys;
    /** SHA-256 of the operators' bearer token in lower-case hexadecimal digits. */
    std::optional<std::string> operatorTokenSha256;
};

} // namespace comfreypass::sheet
