#pragma once

#include "transport/http_handler.h"

#include <functional>
#include <memory>
#include <vector>

namespace comfreypass::tests {

/** Passes each request to a function, if one is set, and keeps the exchanges until dropAll(). */
class scripted_handler : public transport::http_handler
{
public:
    using script = std::function<void(transport::http_exchange &)>;

    void setScript(script newScript) { m_script = std::move(newScript); }
    void onRequest(std::shared_ptr<transport::http_exchange> exchange) override;

    const std::vector<std::shared_ptr<transport::http_exchange>> &exchanges() const
    {
        return m_exchanges;
    }
    void dropAll() { m_exchanges.clear(); }

private:
    script m_script;
    std::vector<std::shared_ptr<transport::http_exchange>> m_exchanges;
};

} // namespace comfreypass::tests
