#include "node/instance_list_reader.h"

#include <utility>

namespace comfreypass::node {

namespace {

constexpr unsigned statusOk = 200;
constexpr core::duration responseTimeout = std::chrono::seconds(2);

} // namespace

instance_list_reader::instance_list_reader(transport::http_client &client, std::string address,
                                           read_function read)
    : m_client(client), m_address(std::move(address)), m_read(std::move(read))
{ }

instance_list_reader::~instance_list_reader()
{
    if (m_call != 0)
        m_client.cancel(m_call);
}

void instance_list_reader::tick(core::time_point now)
{
    if (m_call != 0 || now < m_nextRead)
        return;
    m_nextRead = now + interval;
    ++m_reads;

    transport::http_call call;
    call.url = "http://" + m_address + "/v1/instances";
    call.deadline = now + responseTimeout;
    auto done = [this, alive = std::weak_ptr<bool>(m_alive)](
                    const core::result<http_fetch::response> &response) {
        if (!alive.expired())
            finish(response);
    };
    m_call = m_client.start(std::move(call), std::make_shared<http_fetch>(maxBytes, done));
}

void instance_list_reader::finish(const core::result<http_fetch::response> &response)
{
    m_call = 0;
    if (!response || response.value().status != statusOk) {
        ++m_failures;
        return;
    }
    const core::result<instance_listing> listing = parseInstanceListing(response.value().body);
    if (!listing) {
        ++m_failures;
        return;
    }
    m_read(listing.value());
}

} // namespace comfreypass::node
