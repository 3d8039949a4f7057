#include "standin/chat_request.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace comfreypass::standin {

namespace {

constexpr std::uint32_t charactersPerToken = 4;

core::error validationError(std::string where, std::string detail)
{
    return {core::errc::ValidationFailed, std::move(where), std::move(detail), ""};
}

bool isTrue(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *found = object.if_contains(name);
    return found != nullptr && found->is_bool() && found->get_bool();
}

core::result<std::string> joinMessages(const boost::json::object &body)
{
    const boost::json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty())
        return validationError("/messages", "must be a list with a message");
    std::string prompt;
    for (const boost::json::value &message : messages->get_array()) {
        const boost::json::object *object = message.if_object();
        const boost::json::value *role = object == nullptr ? nullptr : object->if_contains("role");
        const boost::json::value *content
            = object == nullptr ? nullptr : object->if_contains("content");
        if (role == nullptr || content == nullptr || !role->is_string() || !content->is_string())
            return validationError("/messages", "each needs a role and a content as text");
        prompt += std::string_view(role->get_string());
        prompt += '\n';
        prompt += std::string_view(content->get_string());
        prompt += '\n';
    }
    return prompt;
}

} // namespace

std::uint32_t chat_request::promptTokens() const noexcept
{
    return std::max<std::uint32_t>(1,
                                   static_cast<std::uint32_t>(prompt.size()) / charactersPerToken);
}

core::result<chat_request> chat_request::parse(std::string_view body)
{
    boost::json::error_code error;
    const boost::json::value document = boost::json::parse(body, error);
    if (error)
        return core::error{core::errc::ParseFailed, "", error.message(), "send a JSON object"};
    if (!document.is_object())
        return validationError("/", "must be an object");
    const boost::json::object &object = document.get_object();

    chat_request request;
    const boost::json::value *model = object.if_contains("model");
    if (model != nullptr && model->is_string())
        request.model = std::string_view(model->get_string());
    auto prompt = joinMessages(object);
    if (!prompt)
        return prompt.error();
    request.prompt = std::move(prompt).value();
    if (const boost::json::value *tokens = object.if_contains("max_tokens")) {
        request.maxTokens = tokens->to_number<std::uint32_t>(error);
        if (error || request.maxTokens == 0)
            return validationError("/max_tokens", "must be a positive number");
    }
    request.stream = isTrue(object, "stream");
    const boost::json::value *options = object.if_contains("stream_options");
    request.includeUsage = options != nullptr && options->is_object()
                           && isTrue(options->get_object(), "include_usage");
    return request;
}

} // namespace comfreypass::standin
