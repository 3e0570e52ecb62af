// Carries out the outputs of an ActionMachine for one request.

#pragma once

#include "daemon/ServicePath.h"

namespace jacinthspindle::daemon {

// Runs an admitted action to its end and sets the result.
void runAction(TrafficContext&, ActionLedger&, const ServiceQuery&, Admission&, ServiceResult&);

} // namespace jacinthspindle::daemon
