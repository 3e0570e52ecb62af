// Distinguishes a data centre that is cut off from one that lost single engines. The engines of a data centre that was
// cut off return with their layers, so the planner must not rebuild its layout meanwhile.

#pragma once

#include "spindlecore/LayerPlacement.h"

#include <map>

namespace jacinthspindle {

// Deterministic and without I/O. Not thread-safe.
class OutageDetector {
public:
    // Records the engines that are currently reported. Call it once in each planning cycle.
    PlacementConstraints update(Instant now, const std::vector<PlacedEngine>&);

private:
    struct DataCentre {
        size_t baseline = 0; // Number of engines before the current loss.
        Instant baselineAt {}; // When at least that many engines were last present.
        size_t present = 0; // Number of engines that are neither leaving nor lost.
        Instant changedAt {}; // When `present` last changed.
        std::optional<Instant> cutOffAt; // Set while the data centre is considered cut off.
    };

    static void recordEngineCount(Instant now, DataCentre&, size_t present);

    std::map<DataCentreId, DataCentre> m_dataCentres;
};

} // namespace jacinthspindle
