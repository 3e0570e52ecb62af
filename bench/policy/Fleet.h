// The fleet of the policy benchmark: the users' tables and the true speeds, which the policies do not see.

#pragma once

#include <spindlecore/spindlecore.h>

#include <string>

namespace jacinthspindle::bench {

enum class User : uint8_t { Authority, TinigKamay };

constexpr uint32_t modelLayers = 12;
constexpr uint32_t slotsPerWorker = 8;
constexpr uint32_t daemonCount = 16;
constexpr double activationBytes = 8192;

// True speed of one kind of accelerator for an empty batch. A full batch is slower by the factor 1 + batchSlowdown.
struct Speed {
    double decodePerLayer = 0; // Seconds per token and layer.
    double prefillPerLayer = 0; // Seconds per prompt token and layer.
};
constexpr double batchSlowdown = 0.5;
constexpr double crossDataCentreDelay = 0.001; // Seconds per token.

Speed speedOf(const std::string& accelerator);
const char* userName(User);

// Three data centres with four workers for each third of the model and one worker with two thirds; one worker in
// each data centre has a link that is a hundred times slower than the others.
Table fleetTable(User);

// Reference seconds for which a request of this size holds its slots on the faster accelerator in a full batch.
double referenceHold(double promptTokens, double tokens);

// Reference slot-seconds per second that the fleet can serve: the layer with the fewest slots bounds it, each slot
// counted by its accelerator's speed.
double referenceCapacity(const Table&);

} // namespace jacinthspindle::bench
