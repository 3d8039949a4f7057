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

constexpr std::int64_t maxConnections = 65'536;
// Room for a request line and a few headers.
constexpr std::int64_t minBufferBytes = 1'024;
constexpr std::int64_t maxHeaderBytes = 1'048'576;
constexpr std::int64_t maxBodyBytes = 67'108'864;
constexpr std::int64_t maxRelayBufferBytes = 16'777'216;
constexpr std::int64_t maxIdleSeconds = 3'600;
constexpr std::int64_t maxTimingMs = 600'000;
// Reactor timers with a shorter interval exceed the control budget of a node.
constexpr std::int64_t minTimingMs = 10;
// One-way delays are a few milliseconds between the failure domains of a region.
constexpr milliseconds oneWayDelay{10};

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

    const auto rejectDuplicate
        = [&](const char *key, const std::string &address, const std::string &other) {
              if (!address.empty() && address == other) {
                  entry.addError(entry.pointerTo(key), "\"" + address + "\" is used twice",
                                 "use separate ports for callers, peers and operators");
              }
          };
    rejectDuplicate("peers", target.peers, target.callers);
    rejectDuplicate("operators", target.operators, target.callers);
    rejectDuplicate("operators", target.operators, target.peers);
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
    entry.integer("connections", presence::Optional, {1, maxConnections}, target.connections);
    entry.integer("connections_per_address", presence::Optional, {1, maxConnections},
                  target.connectionsPerAddress);
    entry.integer("header_bytes", presence::Optional, {minBufferBytes, maxHeaderBytes},
                  target.headerBytes);
    entry.integer("body_bytes", presence::Optional, {minBufferBytes, maxBodyBytes},
                  target.bodyBytes);
    entry.integer("relay_buffer_bytes", presence::Optional, {minBufferBytes, maxRelayBufferBytes},
                  target.relayBufferBytes);
    entry.integer("idle_seconds", presence::Optional, {1, maxIdleSeconds}, target.idle);
    entry.reportUnknownKeys();
}

void readTiming(object_reader &root, settings::timing_values &target)
{
    object_reader entry = root.object("timing", presence::Optional);
    entry.integer("ping_ms", presence::Optional, {minTimingMs, maxTimingMs}, target.ping);
    entry.integer("suspicion_ms", presence::Optional, {minTimingMs, maxTimingMs}, target.suspicion);
    entry.integer("lease_ms", presence::Optional, {minTimingMs, maxTimingMs}, target.lease);
    entry.integer("address_keep_ms", presence::Optional, {1, maxTimingMs}, target.addressTtl);
    entry.integer("claim_timeout_ms", presence::Optional, {1, maxTimingMs}, target.claimTimeout);
    entry.integer("confirmation_ms", presence::Optional, {minTimingMs, maxTimingMs},
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
        entry.addError(entry.pointer(), "requires either secret_key or secret_key_file",
                       "set exactly one of them");
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

/** A check for two conflicting values. */
struct settings_conflict
{
    bool (*isPresent)(const settings &);
    const char *where;
    const char *detail;
    const char *remedy;
};

constexpr int minConfirmationPings = 3;

const std::array settingsConflicts = {
    settings_conflict{
        [](const settings &s) { return s.timing.lease < 6 * oneWayDelay; }, "/timing/lease_ms",
        "the lease is polled every third of its duration, and a poll with its vote may take 20 ms",
        "use at least 60 ms"},
    settings_conflict{
        [](const settings &s) { return s.timing.lease < 3 * s.timing.ping / 2; },
        "/timing/lease_ms",
        "is less than 1.5 ping intervals, so a lease can expire before the failure of its "
        "holder is detected",
        "use at least 1.5 times ping_ms"},
    settings_conflict{
        [](const settings &s) { return s.timing.suspicion < 2 * s.timing.ping; },
        "/timing/suspicion_ms",
        "is less than two ping intervals, so one lost ping can mark a live node as dead",
        "use at least 2 times ping_ms"},
    settings_conflict{
        [](const settings &s) {
            return s.timing.confirmation < minConfirmationPings * s.timing.ping;
        },
        "/timing/confirmation_ms",
        "is less than three ping intervals, so two lost pings make the node refuse requests",
        "use at least 3 times ping_ms"},
    settings_conflict{
        [](const settings &s) { return s.timing.confirmation > milliseconds(4'000); },
        "/timing/confirmation_ms",
        "is more than 4,000 ms, so an isolated node can use a failure domain for more "
        "than 5 s after it is taken out of service",
        "use at most 4,000 ms"},
    settings_conflict{[](const settings &s) { return s.timing.claimTimeout < 2 * oneWayDelay; },
                      "/timing/claim_timeout_ms",
                      "is less than the 20 ms that a claim and its reply may take, so claims fail "
                      "without a fault",
                      "use at least 20 ms"},
    settings_conflict{
        [](const settings &s) { return s.timing.addressTtl < s.timing.suspicion; },
        "/timing/address_keep_ms",
        "is less than suspicion_ms, so callers request addresses more often than they "
        "change",
        "use at least suspicion_ms"},
    settings_conflict{
        [](const settings &s) { return s.limits.connectionsPerAddress > s.limits.connections; },
        "/limits/connections_per_address", "is greater than connections and has no effect",
        "use at most connections"},
    settings_conflict{[](const settings &s) { return s.limits.bodyBytes < s.limits.headerBytes; },
                      "/limits/body_bytes", "is less than header_bytes",
                      "use at least header_bytes"},
    settings_conflict{
        [](const settings &s) { return s.peerKeys.has_value() && s.peerKeys->allowed.empty(); },
        "/peer_keys/allowed", "is empty, so no node may connect",
        "list the public key of every node"},
};

std::vector<core::error> findConflicts(const settings &value)
{
    std::vector<core::error> warnings;
    for (const settings_conflict &each : settingsConflicts) {
        if (each.isPresent(value)) {
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
    parsed.warnings = findConflicts(parsed.value);
    return parsed;
}

} // namespace comfreypass::sheet
