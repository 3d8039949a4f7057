#include "node/chat_request.h"

#include "core/hash.h"

#include <boost/json.hpp>

#include <algorithm>
#include <limits>
#include <string>

namespace comfreypass::node {

namespace {

namespace json = boost::json;

constexpr std::int64_t maxDecodeTokens = 1'000'000;
constexpr std::size_t maxBodyDepth = 32;

core::error invalid(std::string pointer, std::string detail)
{
    return {core::errc::ValidationFailed, std::move(pointer), std::move(detail), ""};
}

void appendContent(const json::value &content, std::string &prompt)
{
    if (const json::string *text = content.if_string()) {
        prompt.append(text->data(), text->size());
        return;
    }
    const json::array *parts = content.if_array();
    if (!parts)
        return;
    for (const json::value &part : *parts) {
        const json::object *object = part.if_object();
        const json::value *text = object ? object->if_contains("text") : nullptr;
        if (text && text->is_string())
            appendContent(*text, prompt);
    }
}

core::result<std::string> readPrompt(const json::object &body)
{
    const json::value *messages = body.if_contains("messages");
    if (!messages || !messages->is_array() || messages->get_array().empty())
        return invalid("/messages", "must be a non-empty array");

    std::string prompt;
    for (const json::value &message : messages->get_array()) {
        const json::object *object = message.if_object();
        if (!object)
            return invalid("/messages", "each message must be an object");
        // Engines include roles in the cached prompt, so the prefix hashes must cover them.
        if (const json::value *role = object->if_contains("role"); role && role->is_string())
            appendContent(*role, prompt);
        prompt += '\n';
        if (const json::value *content = object->if_contains("content"))
            appendContent(*content, prompt);
        prompt += '\n';
    }
    return prompt;
}

core::result<std::uint32_t> readDecodeTokens(const json::object &body)
{
    for (const char *key : {"max_completion_tokens", "max_tokens"}) {
        const json::value *limit = body.if_contains(key);
        if (!limit || limit->is_null())
            continue;
        const std::int64_t *tokens = limit->if_int64();
        if (!tokens || *tokens < 1 || *tokens > maxDecodeTokens)
            return invalid(std::string("/") + key, "must be an integer from 1 to 1000000");
        return static_cast<std::uint32_t>(*tokens);
    }
    return chat_request::defaultDecodeTokens;
}

std::vector<std::uint64_t> hashPrefixes(std::string_view prompt)
{
    constexpr std::size_t blockBytes
        = chat_request::prefixBlockTokens * chat_request::charactersPerToken;
    const std::size_t blocks = std::min(prompt.size() / blockBytes, chat_request::maxPrefixHashes);

    std::vector<std::uint64_t> hashes;
    hashes.reserve(blocks);
    std::uint64_t previous = 0;
    for (std::size_t block = 0; block < blocks; ++block) {
        // Chaining makes each hash cover the whole prefix without rehashing the earlier blocks.
        previous = core::hash64(prompt.substr(block * blockBytes, blockBytes), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

} // namespace

core::result<chat_request> parseChatRequest(std::string_view body)
{
    json::parse_options options;
    options.max_depth = maxBodyDepth;
    json::error_code code;
    const json::value document
        = json::parse(json::string_view(body.data(), body.size()), code, {}, options);
    if (code)
        return core::error{core::errc::ParseFailed, "", "the body is not JSON: " + code.message(),
                           ""};
    const json::object *object = document.if_object();
    if (!object)
        return invalid("", "the body must be a JSON object");

    const json::value *model = object->if_contains("model");
    if (!model || !model->is_string() || model->get_string().empty())
        return invalid("/model", "must be a non-empty string");

    const json::value *stream = object->if_contains("stream");
    if (stream && !stream->is_bool() && !stream->is_null())
        return invalid("/stream", "must be true or false");

    const core::result<std::string> prompt = readPrompt(*object);
    if (!prompt)
        return prompt.error();
    const core::result<std::uint32_t> decodeTokens = readDecodeTokens(*object);
    if (!decodeTokens)
        return decodeTokens.error();

    const std::size_t promptTokens
        = std::clamp<std::size_t>(prompt.value().size() / chat_request::charactersPerToken, 1,
                                  std::numeric_limits<std::uint32_t>::max());
    chat_request request;
    request.model = core::model_name(std::string_view(model->get_string()));
    request.stream = stream && stream->is_bool() && stream->get_bool();
    request.cost = {static_cast<std::uint32_t>(promptTokens), decodeTokens.value()};
    request.prefixHashes = hashPrefixes(prompt.value());
    return request;
}

} // namespace comfreypass::node
