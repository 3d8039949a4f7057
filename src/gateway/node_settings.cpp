#include "gateway/node_settings.h"

#include "sheet/object_reader.h"
#include "sheet/parse_json.h"
#include "sheet/settings.h"

#include <utility>

namespace comfreypass::gateway {

namespace {

using sheet::object_reader;
using sheet::presence;

constexpr std::int64_t minDescriptors = 64;
constexpr std::int64_t maxDescriptors = 1'000'000;
constexpr double maxRetryRatio = 10;
constexpr double maxExtraRetries = 1'000'000;
constexpr double maxSeconds = 3'600;
constexpr double minLinkMegabits = 0.1;
constexpr double maxLinkMegabits = 1'000'000;
constexpr double bytesPerMegabit = 125'000;
constexpr std::int64_t minMemoryMegabytes = 16;
constexpr std::int64_t maxMemoryMegabytes = 1'048'576;
constexpr std::size_t bytesPerMegabyte = 1'048'576;

/** Default share of the memory for the data of callers. */
constexpr std::size_t callerMemoryPercent = 40;

constexpr double maxObjectiveMilliseconds = 60'000;
constexpr double maxPromptTokens = 1'000'000;

const char *validateNonEmpty(std::string_view text)
{
    return text.empty() ? "a non-empty string" : nullptr;
}

const char *validateEndpoint(std::string_view text)
{
    return http1::endpoint::parse(text) ? nullptr : "IP:PORT, such as 10.1.0.25:8221";
}

void readEndpoint(object_reader &reader, std::string_view key, http1::endpoint &target)
{
    std::string text;
    reader.text(key, presence::Required, validateEndpoint, text);
    if (const auto parsed = http1::endpoint::parse(text))
        target = parsed.value();
}

void readSeconds(object_reader &reader, std::string_view key, core::duration &target)
{
    double seconds = std::chrono::duration<double>(target).count();
    reader.real(key, presence::Optional, {0.0, maxSeconds}, seconds);
    target = std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(seconds));
}

void readListen(object_reader reader, node_settings &settings)
{
    readEndpoint(reader, "callers", settings.callers);
    readEndpoint(reader, "readiness", settings.readiness);
    readEndpoint(reader, "addresses", settings.addresses);
    readEndpoint(reader, "peers", settings.peers);
    readEndpoint(reader, "metrics", settings.metrics);
    reader.reportUnknownKeys();
}

void readRetries(object_reader reader, node_settings &settings)
{
    reader.real("ratio", presence::Required, {0.0, maxRetryRatio}, settings.retryRatio);
    reader.real("extra", presence::Required, {0.0, maxExtraRetries}, settings.retryExtra);
    readSeconds(reader, "windowSeconds", settings.retryWindow);
    reader.reportUnknownKeys();
}

void readMemory(object_reader &reader, node_settings &settings)
{
    std::size_t total = settings.memoryBytes / bytesPerMegabyte;
    reader.integer("memoryMegabytes", presence::Optional, {minMemoryMegabytes, maxMemoryMegabytes},
                   total);
    settings.memoryBytes = total * bytesPerMegabyte;
    std::size_t callers = 0;
    reader.integer("callerMemoryMegabytes", presence::Optional, {0, maxMemoryMegabytes}, callers);
    settings.callerMemoryBytes = callers > 0 ? callers * bytesPerMegabyte
                                             : settings.memoryBytes / 100 * callerMemoryPercent;
}

void readScheduling(object_reader reader, node_settings &settings)
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    double objective = 0;
    reader.real("coordinateFromObjectiveMs", presence::Optional, {0.0, maxObjectiveMilliseconds},
                objective);
    settings.scheduling.coordinateFromObjective
        = std::chrono::duration_cast<core::duration>(milliseconds(objective));
    reader.real("promptCacheFromTokens", presence::Optional, {0.0, maxPromptTokens},
                settings.scheduling.promptCacheFromTokens);
    reader.reportUnknownKeys();
}

} // namespace

sheet::validated<node_settings> parseNodeSettings(std::string_view text)
{
    auto document = sheet::parseJson(text, sheet::maxSettingsBytes);
    if (!document)
        return std::move(document).error();
    std::vector<core::error> errors;
    node_settings settings;
    object_reader reader(&document.value(), "", errors);
    reader.text("name", presence::Required, validateNonEmpty, settings.name);
    reader.text("failureDomain", presence::Required, validateNonEmpty, settings.domain);
    reader.text("region", presence::Optional, validateNonEmpty, settings.region);
    readListen(reader.object("listen", presence::Required), settings);
    std::vector<std::string> seeds;
    reader.texts("seeds", presence::Optional, validateEndpoint, seeds);
    for (const std::string &seed : seeds) {
        if (const auto parsed = http1::endpoint::parse(seed))
            settings.seeds.push_back(parsed.value().address);
    }
    readEndpoint(reader, "records", settings.records);
    readRetries(reader.object("retries", presence::Required), settings);
    readSeconds(reader, "graceSeconds", settings.gracePeriod);
    readSeconds(reader, "longestAddressTtlSeconds", settings.maxAddressTtl);
    double linkMegabits = settings.linkBytesPerSecond / bytesPerMegabit;
    reader.real("linkMegabitsPerSecond", presence::Optional, {minLinkMegabits, maxLinkMegabits},
                linkMegabits);
    settings.linkBytesPerSecond = linkMegabits * bytesPerMegabit;
    reader.integer("descriptors", presence::Optional, {minDescriptors, maxDescriptors},
                   settings.descriptors);
    readMemory(reader, settings);
    readScheduling(reader.object("scheduling", presence::Optional), settings);
    reader.reportUnknownKeys();
    if (!errors.empty())
        return errors;
    return settings;
}

} // namespace comfreypass::gateway
