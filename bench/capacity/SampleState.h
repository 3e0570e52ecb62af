// Tables of any size for the measurements.

#pragma once

#include <spindlecore/spindlecore.h>

namespace jacinthspindle::bench {

// A valid table: 5 models, each on stages of 8 layers, endpoints in 11 data centres, and limits for each workspace.
Table sampleTable(size_t workers, size_t workspaces);

// The change that gives one workspace another weight.
TableDelta sampleChange(const Table&, uint32_t weight);

HostId hostOf(size_t index);
DataCentreId dataCentreOf(size_t index);
constexpr size_t dataCentres = 11;

} // namespace jacinthspindle::bench
