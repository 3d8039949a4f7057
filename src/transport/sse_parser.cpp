#include "transport/sse_parser.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <utility>

namespace comfreypass::transport {

namespace {

constexpr std::string_view dataField = "data";
constexpr std::string_view endMarker = "[DONE]";

std::uint64_t readCount(const boost::json::object &object, std::string_view name)
{
    const boost::json::value *found = object.if_contains(name);
    if (found == nullptr)
        return 0;
    boost::json::error_code error;
    const auto count = found->to_number<std::uint64_t>(error);
    return error ? 0 : count;
}

bool hasContentDelta(const boost::json::object &event)
{
    const boost::json::value *choices = event.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty())
        return false;
    const boost::json::object *first = choices->get_array().front().if_object();
    const boost::json::value *delta = first == nullptr ? nullptr : first->if_contains("delta");
    if (delta == nullptr || !delta->is_object())
        return false;
    const boost::json::value *content = delta->get_object().if_contains("content");
    return content != nullptr && content->is_string() && !content->get_string().empty();
}

std::optional<token_usage> readUsage(const boost::json::object &event)
{
    const boost::json::value *usage = event.if_contains("usage");
    if (usage == nullptr || !usage->is_object())
        return std::nullopt;
    const boost::json::object &object = usage->get_object();
    token_usage result;
    result.promptTokens = readCount(object, "prompt_tokens");
    result.completionTokens = readCount(object, "completion_tokens");
    const boost::json::value *details = object.if_contains("prompt_tokens_details");
    if (details != nullptr && details->is_object())
        result.cachedTokens = readCount(details->get_object(), "cached_tokens");
    return result;
}

} // namespace

sse_parser::sse_parser(std::size_t maxEventBytes, event_function onEvent)
    : m_maxEventBytes(maxEventBytes), m_onEvent(std::move(onEvent))
{ }

bool sse_parser::feed(std::string_view bytes)
{
    while (!bytes.empty() && !m_overflow) {
        if (m_skipLineFeed) {
            m_skipLineFeed = false;
            if (bytes.front() == '\n') {
                bytes.remove_prefix(1);
                continue;
            }
        }
        const std::size_t end = bytes.find_first_of("\r\n");
        const std::string_view fragment = bytes.substr(0, end);
        if (m_line.size() + m_data.size() + fragment.size() > m_maxEventBytes) {
            m_overflow = true;
            break;
        }
        m_line += fragment;
        if (end == std::string_view::npos)
            break;
        m_skipLineFeed = bytes[end] == '\r';
        bytes.remove_prefix(end + 1);
        endLine();
    }
    return !m_overflow;
}

void sse_parser::endLine()
{
    const std::string line = std::exchange(m_line, {});
    if (line.empty()) {
        endEvent();
        return;
    }
    const std::string_view text = line;
    const std::size_t colon = text.find(':');
    if (text.substr(0, colon) != dataField)
        return;
    std::string_view value
        = colon == std::string_view::npos ? std::string_view() : text.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (m_hasData)
        m_data += '\n';
    m_data += value;
    m_hasData = true;
}

void sse_parser::endEvent()
{
    if (!std::exchange(m_hasData, false))
        return;
    const std::string data = std::exchange(m_data, {});
    if (data == endMarker)
        m_done = true;
    else
        readChatEvent(data);
    if (m_onEvent)
        m_onEvent(data);
}

void sse_parser::readChatEvent(std::string_view data)
{
    boost::json::error_code error;
    const boost::json::value document = boost::json::parse(data, error);
    if (error || !document.is_object())
        return;
    const boost::json::object &event = document.get_object();
    if (hasContentDelta(event))
        ++m_tokens;
    if (const auto usage = readUsage(event))
        m_usage = usage;
}

} // namespace comfreypass::transport
