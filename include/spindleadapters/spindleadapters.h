// The public header of the spindleadapters library: the ports over the usual protocols, and the codecs.

#pragma once

#include "spindleadapters/ActionCodec.h" // IWYU pragma: export
#include "spindleadapters/Environment.h" // IWYU pragma: export
#include "spindleadapters/HttpEndpoints.h" // IWYU pragma: export
#include "spindleadapters/HttpPlatform.h" // IWYU pragma: export
#include "spindleadapters/NngPeerTransport.h" // IWYU pragma: export
#include "spindleadapters/PeerCodec.h" // IWYU pragma: export
#include "spindleadapters/PeerTraceCodec.h" // IWYU pragma: export
#include "spindleadapters/Replayer.h" // IWYU pragma: export
#include "spindleadapters/TableCsv.h" // IWYU pragma: export
#include "spindleadapters/TableStore.h" // IWYU pragma: export
#include "spindleadapters/Timeline.h" // IWYU pragma: export
#include "spindleadapters/TraceCodec.h" // IWYU pragma: export
