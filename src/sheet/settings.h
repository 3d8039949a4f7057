#pragma once

#include "core/name.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace comfreypass::sheet {

/** Largest settings document that is accepted. */
constexpr std::size_t maxSettingsBytes = 262'144;

/** Settings of one node, validated. Addresses have the form ip:port, or [ip]:port for IPv6. */
struct settings
{
    /** Where the node listens; the same addresses are given to callers and other nodes. */
    struct listen_addresses
    {
        std::string callers;
        std::string peers;
        std::string operators;
    };

    struct configuration_service
    {
        std::string address;
        /** Key under which the service holds the sheet. */
        std::string key = "sheet";
    };

    /** Bounds on what callers may hold open or send. */
    struct limit_values
    {
        std::uint32_t connections = 1'024;
        std::uint32_t connectionsPerAddress = 256;
        std::uint32_t headerBytes = 64 * 1024;
        std::uint32_t bodyBytes = 1024 * 1024;
        /** Per direction of one relayed stream. */
        std::uint32_t relayBufferBytes = 64 * 1024;
        /** A caller's connection without traffic is closed after this time. */
        std::chrono::seconds idle{60};
    };

    struct timing_values
    {
        std::chrono::milliseconds ping{500};
        std::chrono::milliseconds suspicion{1'500};
        std::chrono::milliseconds lease{1'500};
        /** How long callers may use an answer with addresses. */
        std::chrono::milliseconds addressKeep{10'000};
        std::chrono::milliseconds claimTimeout{250};
        /** Age at which the knowledge "no newer sheet exists" no longer counts. */
        std::chrono::milliseconds confirmation{4'000};
    };

    enum class log_format : std::uint8_t { Text, Json };
    enum class log_level : std::uint8_t { Debug, Info, Warning, Error };

    struct log_values
    {
        log_format format = log_format::Text;
        log_level level = log_level::Info;
    };

    /** CURVE keys of the node in Z85 form (40 characters); exactly one of the secrets is given. */
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
    /** Peer addresses of nodes that are contacted first. */
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
