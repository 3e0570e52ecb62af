// Tells a data centre that is cut off from one that has lost engines, so that the planner does not rebuild a layout
// which comes back whole.

#pragma once

#include "spindlecore/LayerPlacement.h"

#include <map>

namespace jacinthspindle {

// Deterministic and without I/O. Not thread-safe.
class LossWatch {
public:
    // Takes the engines as they are seen now; to be called in each cycle of the planner.
    PlacementScope update(Instant now, const std::vector<PlacedEngine>&);

private:
    struct DataCentre {
        size_t usual = 0; // Engines before the present loss.
        Instant usualAt {}; // When there were as many the last time.
        size_t present = 0; // That neither leave nor are lost.
        Instant changedAt {}; // When their number last changed.
        std::optional<Instant> cutOffAt;
    };

    static void note(Instant now, DataCentre&, size_t present);

    std::map<DataCentreId, DataCentre> m_dataCentres;
};

} // namespace jacinthspindle
