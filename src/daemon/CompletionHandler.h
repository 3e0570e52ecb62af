// Completion requests over HTTP: streams of server-sent events and whole answers. For sources that include httplib.h.

#pragma once

#include "daemon/CompletionJson.h"
#include "daemon/ModelStream.h"

#include <httplib.h>
#include <memory>

namespace jacinthspindle::daemon {

// Thread-safe.
class CompletionHandler {
public:
    explicit CompletionHandler(TrafficContext&);

    // handle is released when the whole answer was written.
    void handle(CompletionForm, const httplib::Request&, httplib::Response&, const std::shared_ptr<void>& handle);

private:
    void answerStream(httplib::Response&, const std::shared_ptr<ModelStream>&, const CompletionIdentity&,
        const std::shared_ptr<void>& handle);
    void answerWhole(httplib::Response&, ModelStream&, const CompletionIdentity&);
    Problem problemOf(const RequestEnd&, const RequestId&);

    TrafficContext& m_context;
};

} // namespace jacinthspindle::daemon
