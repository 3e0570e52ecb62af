// The JSON document that GET /status answers with.

#pragma once

#include "daemon/Lifecycle.h"
#include "daemon/TraceRecorder.h"
#include "spindlecore/PeerMessage.h"
#include "spindlecore/Table.h"

#include <memory>
#include <string>
#include <vector>

namespace jacinthspindle::daemon {

struct StatusFigures {
    TraceIdentity identity;
    DataCentreId dataCentre;
    Phase phase = Phase::Serving;
    bool isReady = false;
    uint32_t requestsInProgress = 0;
    size_t queueLength = 0;
    std::shared_ptr<const Table> table; // May be null.
    int64_t tableAgeMs = 0;
    bool isTablePoller = false;
    bool isPlatformUp = false;
    bool isSuperseded = false;
    std::shared_ptr<const std::vector<MemberUpdate>> members;
    uint64_t nextTraceSequence = 0;
};

std::string statusJson(const StatusFigures&);

} // namespace jacinthspindle::daemon
