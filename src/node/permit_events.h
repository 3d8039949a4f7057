#pragma once

#include "scheduling/permit_grant.h"
#include "scheduling/permit_refusal.h"

namespace comfreypass::node {

/** Receives the outcome of a permit request. */
class permit_events
{
public:
    permit_events() = default;
    virtual ~permit_events() = default;
    permit_events(const permit_events &) = delete;
    permit_events &operator=(const permit_events &) = delete;

    /** The request has a permit for an engine; startDispatch() validates it again at the time of
     * dispatch. */
    virtual void onPermit(const scheduling::permit_grant &permit) = 0;

    /** The request got no permit and was dropped. */
    virtual void onPermitRefused(const scheduling::permit_refusal &refusal) = 0;

    /** The running dispatch must be cancelled in favour of a higher tier. */
    virtual void onPreempted() = 0;
};

} // namespace comfreypass::node
