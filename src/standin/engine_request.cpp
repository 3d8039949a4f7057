#include "standin/engine_request.h"

#include "standin/response_text.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace comfreypass::standin {

namespace {

std::string event(const boost::json::object &document)
{
    return "data: " + boost::json::serialize(document) + "\n\n";
}

boost::json::object chunk(const engine_request &request)
{
    return {
        {"id", request.stream}, {"object", "chat.completion.chunk"}, {"model", request.chat.model}};
}

boost::json::object usage(const engine_request &request)
{
    const std::uint32_t prompt = request.chat.promptTokens();
    return {{"prompt_tokens", prompt},
            {"completion_tokens", request.nextToken},
            {"total_tokens", prompt + request.nextToken},
            {"prompt_tokens_details", {{"cached_tokens", request.cachedTokens}}}};
}

} // namespace

std::string engine_request::tokenEvent(const std::string &token) const
{
    boost::json::object document = chunk(*this);
    boost::json::object delta{{"content", token}};
    if (nextToken == 0)
        delta["role"] = "assistant";
    document["choices"] = boost::json::array{
        boost::json::object{{"index", 0}, {"delta", delta}, {"finish_reason", nullptr}}};
    return event(document);
}

std::string engine_request::endEvents() const
{
    boost::json::object last = chunk(*this);
    last["choices"] = boost::json::array{boost::json::object{
        {"index", 0}, {"delta", boost::json::object()}, {"finish_reason", "length"}}};
    std::string events = event(last);
    if (chat.includeUsage) {
        boost::json::object totals = chunk(*this);
        totals["choices"] = boost::json::array();
        totals["usage"] = usage(*this);
        events += event(totals);
    }
    return events + "data: [DONE]\n\n";
}

std::string engine_request::responseBody() const
{
    const boost::json::object message{{"role", "assistant"},
                                      {"content", responseText(chat.prompt, nextToken)}};
    boost::json::object document{
        {"id", stream}, {"object", "chat.completion"}, {"model", chat.model}};
    document["choices"] = boost::json::array{
        boost::json::object{{"index", 0}, {"message", message}, {"finish_reason", "length"}}};
    document["usage"] = usage(*this);
    return boost::json::serialize(document);
}

} // namespace comfreypass::standin
