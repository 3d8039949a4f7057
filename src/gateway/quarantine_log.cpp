#include "gateway/quarantine_log.h"

#include "observe/log_setup.h"

#include <chrono>
#include <span>
#include <sstream>

namespace comfreypass::gateway {

using dispatch::feature_kind;
using observe::log_level;
using observe::logEvent;

namespace {

std::string featureText(const dispatch::request_feature &feature)
{
    std::ostringstream text;
    text << std::hex << feature.key;
    return text.str();
}

std::string featureTexts(std::span<const dispatch::request_feature> features, feature_kind kind)
{
    std::string texts;
    for (const dispatch::request_feature &each : features) {
        if (each.kind == kind)
            texts += (texts.empty() ? "" : ",") + featureText(each);
    }
    return texts;
}

void logQuarantined(const dispatch::quarantined_signature &quarantined, std::string_view origin)
{
    const auto remaining
        = std::chrono::duration_cast<std::chrono::milliseconds>(quarantined.remaining);
    const bool isRequest = quarantined.signature.back().kind == feature_kind::Request;
    logEvent(log_level::Warning, isRequest ? "request_quarantined" : "segment_quarantined",
             isRequest ? "this request crashes engines and is refused"
                       : "requests with all of these segments crash engines and are refused",
             {{isRequest ? "digest" : "segment", signatureText(quarantined.signature)},
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

std::string signatureText(const dispatch::crash_signature &signature)
{
    return signature.empty() ? "" : featureTexts(signature, signature.back().kind);
}

void logQuarantine(const dispatch::quarantine_report &report, std::string_view origin)
{
    for (const dispatch::crash_report &each : report.crashes)
        logEvent(log_level::Warning, "engine_crash_suspected",
                 "an engine ended while it ran a request that had no answer yet",
                 {{"engine_key", std::to_string(each.engine)},
                  {"segments", featureTexts(each.features, feature_kind::Segment)},
                  {"digest", featureTexts(each.features, feature_kind::Request)}});
    for (const dispatch::quarantined_signature &each : report.quarantined)
        logQuarantined(each, origin);
    for (const dispatch::request_feature &each : report.answered)
        logCleared(each, origin);
}

} // namespace comfreypass::gateway
