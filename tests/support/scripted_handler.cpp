#include "support/scripted_handler.h"

namespace comfreypass::tests {

void scripted_handler::onRequest(std::shared_ptr<transport::http_exchange> exchange)
{
    m_exchanges.push_back(exchange);
    if (m_script)
        m_script(*exchange);
}

} // namespace comfreypass::tests
