// The public header of the spindleadapters library: the ports over the usual protocols, and the codecs.

#pragma once

#include "spindleadapters/ActionCodec.h" // IWYU pragma: export
#include "spindleadapters/TraceCodec.h" // IWYU pragma: export
