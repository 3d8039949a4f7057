#include "support/early_response.h"

#include "support/listening_socket.h"
#include "transport/http_client.h"

#include <chrono>
#include <utility>

namespace comfreypass::tests::early_response {

std::shared_ptr<recorded_call> run(loopback &loop, const std::string &response, upload_end end)
{
    constexpr std::size_t uploadBytes = 8'388'608;
    listening_socket upstream;
    transport::http_client client(loop.reactor());
    transport::http_call call;
    call.method = "POST";
    call.url = loopback::url(upstream.port(), "/");
    call.body = std::string(uploadBytes, 'u');
    auto events = std::make_shared<recorded_call>();
    client.start(std::move(call), events);
    loop.waitFor("a connection", [&] { return upstream.pending(); });
    raw_socket connection = upstream.accept();
    loop.waitFor("the request", [&] { return !connection.receive(1).empty(); });
    connection.send(response);
    if (end == upload_end::EndThenReset || end == upload_end::EndThenReadOn)
        connection.closeSending();
    if (end != upload_end::ResetAtOnce)
        loop.runFor(std::chrono::milliseconds(20));
    const bool readsOn = end == upload_end::ReadOn || end == upload_end::EndThenReadOn;
    if (!readsOn)
        connection.reset();
    loop.waitFor("the end of the call", [&] {
        if (readsOn)
            connection.receive();
        return events->done();
    });
    return events;
}

} // namespace comfreypass::tests::early_response
