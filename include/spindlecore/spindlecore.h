// The public header of the spindlecore library: types, ports and the state machines that take decisions.

#pragma once

#include "spindlecore/ActionMachine.h" // IWYU pragma: export
#include "spindlecore/Clock.h" // IWYU pragma: export
#include "spindlecore/DecisionCore.h" // IWYU pragma: export
#include "spindlecore/Decisions.h" // IWYU pragma: export
#include "spindlecore/EndpointPauses.h" // IWYU pragma: export
#include "spindlecore/EventSplitter.h" // IWYU pragma: export
#include "spindlecore/FactSourceSelector.h" // IWYU pragma: export
#include "spindlecore/FactTiming.h" // IWYU pragma: export
#include "spindlecore/LayerPlacement.h" // IWYU pragma: export
#include "spindlecore/LimitShares.h" // IWYU pragma: export
#include "spindlecore/LoadAggregator.h" // IWYU pragma: export
#include "spindlecore/Membership.h" // IWYU pragma: export
#include "spindlecore/OrderMachine.h" // IWYU pragma: export
#include "spindlecore/OutageDetector.h" // IWYU pragma: export
#include "spindlecore/PeerMessage.h" // IWYU pragma: export
#include "spindlecore/PlannerLease.h" // IWYU pragma: export
#include "spindlecore/Ports.h" // IWYU pragma: export
#include "spindlecore/PressureAggregator.h" // IWYU pragma: export
#include "spindlecore/ResultCode.h" // IWYU pragma: export
#include "spindlecore/RoutingConfiguration.h" // IWYU pragma: export
#include "spindlecore/StreamCursor.h" // IWYU pragma: export
#include "spindlecore/StreamValidator.h" // IWYU pragma: export
#include "spindlecore/Table.h" // IWYU pragma: export
#include "spindlecore/TableReplica.h" // IWYU pragma: export
#include "spindlecore/Trace.h" // IWYU pragma: export
#include "spindlecore/Types.h" // IWYU pragma: export
