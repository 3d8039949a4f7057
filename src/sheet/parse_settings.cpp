#include "sheet/parse_settings.h"

#include "sheet/object_reader.h"
#include "sheet/parse_json.h"
#include "sheet/text_validators.h"

#include <array>
#include <string>
#include <utility>

namespace comfreypass::sheet {

namespace {

using std::chrono::milliseconds;

constexpr std::int64_t mostConnections = 65'536;
// A request line and a few headers need at least this much.
constexpr std::int64_t leastHeaderBytes = 1'024;
constexpr std::int64_t mostHeaderBytes = 1'048'576;
constexpr std::int64_t mostBodyBytes = 67'108'864;
constexpr std::int64_t mostRelayBytes = 16'777'216;
constexpr std::int64_t longestIdleSeconds = 3'600;
constexpr std::int64_t longestTimeMs = 600'000;
// A timer of the reactor that fires more often costs more than the control budget of a node.
constexpr std::int64_t shortestPingMs = 10;
// One-way delays are a few milliseconds between the failure domains of a region.
constexpr milliseconds networkTime{10};

constexpr std::array<std::pair<std::string_view, settings::log_format>, 2> logFormats
    = {{{"text", settings::log_format::Text}, {"json", settings::log_format::Json}}};
constexpr std::array<std::pair<std::string_view, settings::log_level>, 4> logLevels
    = {{{"debug", settings::log_level::Debug},
        {"info", settings::log_level::Info},
        {"warning", settings::log_level::Warning},
        {"error", settings::log_level::Error}}};

void readListen(object_reader &root, settings::listen_addresses &target)
{
    object_reader entry = root.object("listen", presence::Required);
    entry.text("callers", presence::Required, validateAddress, target.callers);
    entry.text("peers", presence::Required, validateAddress, target.peers);
    entry.text("operators", presence::Required, validateAddress, target.operators);
    entry.reportUnknownKeys();

    const auto refuseEqual
        = [&](const char *key, const std::string &address, const std::string &other) {
              if (!address.empty() && address == other) {
                  entry.addError(entry.pointerTo(key), "\"" + address + "\" is used twice",
                                 "give each of callers, peers and operators a port of its own");
              }
          };
    refuseEqual("peers", target.peers, target.callers);
    refuseEqual("operators", target.operators, target.callers);
    refuseEqual("operators", target.operators, target.peers);
}

void readServices(object_reader &root, settings &target)
{
    object_reader service = root.object("configuration_service", presence::Required);
    service.text("address", presence::Required, validateAddress,
                 target.configurationService.address);
    service.text("key", presence::Optional, validateName, target.configurationService.key);
    service.reportUnknownKeys();

    object_reader list = root.object("instance_list", presence::Required);
    list.text("address", presence::Required, validateAddress, target.instanceListAddress);
    list.reportUnknownKeys();
}

void readLimits(object_reader &root, settings::limit_values &target)
{
    object_reader entry = root.object("limits", presence::Optional);
    entry.integer("connections", presence::Optional, {1, mostConnections}, target.connections);
    entry.integer("connections_per_address", presence::Optional, {1, mostConnections},
                  target.connectionsPerAddress);
    entry.integer("header_bytes", presence::Optional, {leastHeaderBytes, mostHeaderBytes},
                  target.headerBytes);
    entry.integer("body_bytes", presence::Optional, {leastHeaderBytes, mostBodyBytes},
                  target.bodyBytes);
    entry.integer("relay_buffer_bytes", presence::Optional, {leastHeaderBytes, mostRelayBytes},
                  target.relayBufferBytes);
    entry.integer("idle_seconds", presence::Optional, {1, longestIdleSeconds}, target.idle);
    entry.reportUnknownKeys();
}

void readTiming(object_reader &root, settings::timing_values &target)
{
    object_reader entry = root.object("timing", presence::Optional);
    entry.integer("ping_ms", presence::Optional, {shortestPingMs, longestTimeMs}, target.ping);
    entry.integer("suspicion_ms", presence::Optional, {shortestPingMs, longestTimeMs},
                  target.suspicion);
    entry.integer("lease_ms", presence::Optional, {shortestPingMs, longestTimeMs}, target.lease);
    entry.integer("address_keep_ms", presence::Optional, {1, longestTimeMs}, target.addressKeep);
    entry.integer("claim_timeout_ms", presence::Optional, {1, longestTimeMs}, target.claimTimeout);
    entry.integer("confirmation_ms", presence::Optional, {shortestPingMs, longestTimeMs},
                  target.confirmation);
    entry.reportUnknownKeys();
}

void readLog(object_reader &root, settings::log_values &target)
{
    object_reader entry = root.object("log", presence::Optional);
    entry.keyword<settings::log_format>("format", presence::Optional, logFormats, target.format);
    entry.keyword<settings::log_level>("level", presence::Optional, logLevels, target.level);
    entry.reportUnknownKeys();
}

void readPeerKeys(object_reader &root, settings &target)
{
    object_reader entry = root.object("peer_keys", presence::Optional);
    if (!entry.isPresent())
        return;
    settings::peer_key_values keys;
    entry.text("secret_key", presence::Optional, validateCurveKey, keys.secretKey);
    entry.text("secret_key_file", presence::Optional, validateFile, keys.secretKeyFile);
    entry.texts("allowed", presence::Required, validateCurveKey, keys.allowed);
    if (entry.has("secret_key") == entry.has("secret_key_file")) {
        entry.addError(entry.pointer(), "needs either secret_key or secret_key_file",
                       "give exactly one of them");
    }
    entry.reportUnknownKeys();
    target.peerKeys = std::move(keys);
}

settings readSettings(const boost::json::value &document, std::vector<core::error> &errors)
{
    settings value;
    object_reader root(&document, {}, errors);
    std::string name;
    std::string domain;
    root.text("name", presence::Required, validateName, name);
    root.text("failure_domain", presence::Required, validateName, domain);
    value.name = core::node_name(std::move(name));
    value.failureDomain = core::domain_name(std::move(domain));
    readListen(root, value.listen);
    root.texts("peers", presence::Optional, validateAddress, value.peers);
    readServices(root, value);
    readLimits(root, value.limits);
    readTiming(root, value.timing);
    readLog(root, value.log);
    readPeerKeys(root, value);
    std::string token;
    root.text("operator_token_sha256", presence::Optional, validateSha256, token);
    if (!token.empty())
        value.operatorTokenSha256 = std::move(token);
    root.reportUnknownKeys();
    return value;
}

/** A pair of values that contradict each other. */
struct contradiction
{
    bool (*holds)(const settings &);
    const char *where;
    const char *detail;
    const char *remedy;
};

constexpr int missedPings = 3;

const std::array contradictions = {
    contradiction{
        [](const settings &s) { return s.timing.lease < 6 * networkTime; }, "/timing/lease_ms",
        "a lease is polled every third of its time, and a poll and its vote may take 20 ms",
        "use at least 60 ms"},
    contradiction{
        [](const settings &s) { return s.timing.lease < 3 * s.timing.ping / 2; },
        "/timing/lease_ms",
        "is under one and a half ping intervals, so a lease can expire before the loss of "
        "its holder is noticed",
        "use at least 1.5 times ping_ms"},
    contradiction{[](const settings &s) { return s.timing.suspicion < 2 * s.timing.ping; },
                  "/timing/suspicion_ms",
                  "is under two ping intervals, so one lost ping can make a live node dead",
                  "use at least 2 times ping_ms"},
    contradiction{
        [](const settings &s) { return s.timing.confirmation < missedPings * s.timing.ping; },
        "/timing/confirmation_ms",
        "is under three ping intervals, so two lost pings make the node refuse requests",
        "use at least 3 times ping_ms"},
    contradiction{[](const settings &s) { return s.timing.confirmation > milliseconds(4'000); },
                  "/timing/confirmation_ms",
                  "is over 4,000 ms, so a node without contact can use a domain that is out for "
                  "more than 5 s",
                  "use at most 4,000 ms"},
    contradiction{[](const settings &s) { return s.timing.claimTimeout < 2 * networkTime; },
                  "/timing/claim_timeout_ms",
                  "is under the 20 ms that a claim and its reply may take, so claims fail without "
                  "a fault",
                  "use at least 20 ms"},
    contradiction{[](const settings &s) { return s.timing.addressKeep < s.timing.suspicion; },
                  "/timing/address_keep_ms",
                  "is under suspicion_ms, so callers ask for addresses more often than they change",
                  "use at least suspicion_ms"},
    contradiction{
        [](const settings &s) { return s.limits.connectionsPerAddress > s.limits.connections; },
        "/limits/connections_per_address", "is greater than connections and has no effect",
        "use at most connections"},
    contradiction{[](const settings &s) { return s.limits.bodyBytes < s.limits.headerBytes; },
                  "/limits/body_bytes", "is less than header_bytes", "use at least header_bytes"},
    contradiction{
        [](const settings &s) { return s.peerKeys.has_value() && s.peerKeys->allowed.empty(); },
        "/peer_keys/allowed", "is empty, so no node may connect",
        "list the public key of every node"},
};

std::vector<core::error> findContradictions(const settings &value)
{
    std::vector<core::error> warnings;
    for (const contradiction &each : contradictions) {
        if (each.holds(value)) {
            warnings.push_back({core::errc::Conflict, each.where, each.detail, each.remedy});
        }
    }
    return warnings;
}

} // namespace

validated<parsed_settings> parseSettings(std::string_view text)
{
    auto document = parseJson(text, maxSettingsBytes);
    if (!document)
        return std::move(document).error();
    std::vector<core::error> errors;
    parsed_settings parsed;
    parsed.value = readSettings(document.value(), errors);
    if (!errors.empty())
        return errors;
    parsed.warnings = findContradictions(parsed.value);
    return parsed;
}

} // namespace comfreypass::sheet
