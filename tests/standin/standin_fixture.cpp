#include "standin/standin_fixture.h"

#include <utility>

namespace comfreypass::tests {

std::shared_ptr<recorded_call> standin_fixture::begin(const std::string &method, std::uint16_t port,
                                                      const std::string &path, std::string body,
                                                      transport::http_headers headers)
{
    transport::http_call call;
    call.method = method;
    call.url = loopback::url(port, path);
    call.body = std::move(body);
    call.headers = std::move(headers);
    auto events = std::make_shared<recorded_call>();
    lastCall = client.start(std::move(call), events);
    return events;
}

std::shared_ptr<recorded_call> standin_fixture::run(const std::string &method, std::uint16_t port,
                                                    const std::string &path, std::string body,
                                                    transport::http_headers headers)
{
    auto events = begin(method, port, path, std::move(body), std::move(headers));
    network.waitFor("the end of the call", [&] { return events->done(); });
    return events;
}

} // namespace comfreypass::tests
