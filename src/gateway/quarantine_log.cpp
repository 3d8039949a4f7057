#include "gateway/quarantine_log.h"

#include "observe/log_setup.h"

#include <chrono>
#include <sstream>

namespace comfreypass::gateway {

using dispatch::feature_kind;
using observe::log_level;
using observe::logEvent;

std::string featureText(const dispatch::request_feature &feature)
{
    std::ostringstream text;
    text << std::hex << feature.key;
    return text.str();
}

namespace {

std::string featureTexts(const dispatch::crash_report &crash, feature_kind kind)
{
    std::string texts;
    for (const dispatch::request_feature &each : crash.features) {
        if (each.kind == kind)
            texts += (texts.empty() ? "" : ",") + featureText(each);
    }
    return texts;
}

void logQuarantined(const dispatch::quarantined_feature &quarantined, std::string_view origin)
{
    const auto remaining
        = std::chrono::duration_cast<std::chrono::milliseconds>(quarantined.remaining);
    const bool isRequest = quarantined.feature.kind == feature_kind::Request;
    logEvent(log_level::Warning, isRequest ? "request_quarantined" : "segment_quarantined",
             isRequest ? "this request crashes engines and is refused"
                       : "requests with this segment crash engines and are refused",
             {{isRequest ? "digest" : "segment", featureText(quarantined.feature)},
              {"crashes", std::to_string(quarantined.crashes)},
              {"remaining_ms", std::to_string(remaining.count())},
              {"peer", origin}});
}

void logCleared(const dispatch::request_feature &feature, std::string_view origin)
{
    const bool isRequest = feature.kind == feature_kind::Request;
    logEvent(log_level::Info, isRequest ? "request_cleared" : "segment_cleared",
             isRequest ? "an engine has answered a suspected request"
                       : "an engine has answered a suspected segment",
             {{isRequest ? "digest" : "segment", featureText(feature)}, {"peer", origin}});
}

} // namespace

void logQuarantine(const dispatch::quarantine_report &report, std::string_view origin)
{
    for (const dispatch::crash_report &each : report.crashes)
        logEvent(log_level::Warning, "engine_crash_suspected",
                 "an engine ended while it ran a request that had no answer yet",
                 {{"engine_key", std::to_string(each.engine)},
                  {"segments", featureTexts(each, feature_kind::Segment)},
                  {"digest", featureTexts(each, feature_kind::Request)}});
    for (const dispatch::quarantined_feature &each : report.quarantined)
        logQuarantined(each, origin);
    for (const dispatch::request_feature &each : report.answered)
        logCleared(each, origin);
}

} // namespace comfreypass::gateway
