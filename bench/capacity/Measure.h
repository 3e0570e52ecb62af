// The groups of measurements; each one prints its slopes.

#pragma once

namespace jacinthspindle::bench {

void measureMemory(); // Heap of one daemon's control state.
void measureAdoption(); // Processor time of a change and of a snapshot.
void measureTraffic(); // Bytes, messages, processor time and platform reads of a running fleet.
void measureSpread(); // Time and messages until a change is in force everywhere.
void measureLimits(); // How far a limit is passed when daemons die, join or are cut off.
void measureFailures(); // What a rack, a restart and a partition cost in messages and reads.
void measureTransport(); // Cost of a message over nng sockets on the loopback interface.

} // namespace jacinthspindle::bench
