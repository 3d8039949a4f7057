#include "node/configuration_reader.h"

#include "sheet/sheet.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace comfreypass::node {

namespace {

constexpr unsigned statusOk = 200;
constexpr unsigned statusNotModified = 304;
constexpr core::duration responseMargin = std::chrono::seconds(1);

std::optional<std::uint64_t> readIndex(const transport::http_headers &headers)
{
    const std::optional<std::string_view> text = headers.find("X-Index");
    if (!text)
        return std::nullopt;
    std::uint64_t index = 0;
    const auto [end, code] = std::from_chars(text->data(), text->data() + text->size(), index);
    if (code != std::errc{} || end != text->data() + text->size())
        return std::nullopt;
    return index;
}

configuration_reader::reading toReading(const core::result<http_fetch::response> &response,
                                        core::time_point sentAt)
{
    using kind = configuration_reader::reading::kind;
    configuration_reader::reading reading;
    reading.sentAt = sentAt;
    if (!response) {
        reading.detail = core::describe(response.error());
        return reading;
    }
    const std::optional<std::uint64_t> index = readIndex(response.value().headers);
    const unsigned status = response.value().status;
    if (!index || (status != statusOk && status != statusNotModified)) {
        reading.detail = "response with status " + std::to_string(status)
                         + (index ? "" : " and without a valid X-Index");
        return reading;
    }
    reading.serviceIndex = *index;
    reading.result = status == statusOk ? kind::Value : kind::Unchanged;
    if (reading.result == kind::Value)
        reading.value = response.value().body;
    return reading;
}

} // namespace

configuration_reader::configuration_reader(transport::http_client &client, settings values,
                                           done_function done)
    : m_client(client), m_settings(std::move(values)), m_done(std::move(done))
{ }

configuration_reader::~configuration_reader()
{
    if (m_call != 0)
        m_client.cancel(m_call);
}

void configuration_reader::read(core::time_point now)
{
    if (m_call != 0)
        return;
    const auto waitMs
        = std::chrono::duration_cast<std::chrono::milliseconds>(m_settings.wait).count();
    transport::http_call call;
    call.url = "http://" + m_settings.address + "/v1/value/" + m_settings.key
               + "?after=" + std::to_string(m_index) + "&wait_ms=" + std::to_string(waitMs);
    call.deadline = now + m_settings.wait + responseMargin;
    ++m_reads;

    auto done = [this, alive = std::weak_ptr<bool>(m_alive),
                 now](const core::result<http_fetch::response> &response) {
        if (!alive.expired())
            finish(response, now);
    };
    m_call = m_client.start(std::move(call),
                            std::make_shared<http_fetch>(sheet::maxSheetBytes + 1, done));
}

void configuration_reader::finish(const core::result<http_fetch::response> &response,
                                  core::time_point sentAt)
{
    m_call = 0;
    const reading result = toReading(response, sentAt);
    if (result.result == reading::kind::Failed)
        ++m_failures;
    else
        m_index = result.serviceIndex;
    m_done(result);
}

} // namespace comfreypass::node
