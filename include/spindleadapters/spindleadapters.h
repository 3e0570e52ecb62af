// The public header of the spindleadapters library: the ports over the usual protocols, and the codecs.

#pragma once

#include "spindleadapters/HttpEndpoints.h" // IWYU pragma: export
#include "spindleadapters/HttpPlatform.h" // IWYU pragma: export
#include "spindleadapters/TraceCodec.h" // IWYU pragma: export
