#include "transport/request_target.h"

#include <curl/curl.h>

#include <memory>

namespace comfreypass::transport {

namespace {

void appendEncoded(std::string &target, std::string_view text)
{
    // With length 0, libcurl would treat the text as null-terminated.
    if (text.empty())
        return;
    const std::unique_ptr<char, decltype(&curl_free)> encoded(
        curl_easy_escape(nullptr, text.data(), static_cast<int>(text.size())), &curl_free);
    if (encoded)
        target += encoded.get();
}

} // namespace

std::string requestTarget(std::string_view path,
                          const std::map<std::string, std::string, std::less<>> &arguments)
{
    std::string target;
    while (!path.empty()) {
        const std::size_t slash = path.find('/');
        appendEncoded(target, path.substr(0, slash));
        if (slash == std::string_view::npos)
            break;
        target += '/';
        path.remove_prefix(slash + 1);
    }
    char separator = '?';
    for (const auto &[name, value] : arguments) {
        target += separator;
        appendEncoded(target, name);
        target += '=';
        appendEncoded(target, value);
        separator = '&';
    }
    return target;
}

} // namespace comfreypass::transport
