// The public header of the spindleadapters library: the ports over the usual protocols, and the codecs.

#pragma once

#include "spindleadapters/ActionCodec.h" // IWYU pragma: export
#include "spindleadapters/NngPeerTransport.h" // IWYU pragma: export
#include "spindleadapters/PeerCodec.h" // IWYU pragma: export
#include "spindleadapters/PeerTraceCodec.h" // IWYU pragma: export
#include "spindleadapters/TraceCodec.h" // IWYU pragma: export
