// Decides when work may start at the backend server beside this daemon.
//
// Load pattern: a server shares its machine with others, so that for a fraction of a second at a time all work takes several times
// as long, and the state at the moment when a request starts decides its whole length. Requests wait out such a phase, or go
// elsewhere, rather than start in it.
#pragma once

#include "call/call_base.h"
#include "core/clock_type.h"
#include "world/event_type.h"

#include <cstdint>

namespace radishford {

struct InterruptedRequest;
struct World;

// What is known of the backend server's present speed.
enum class GateState : std::uint8_t {
    Open, // Work may start.
    Closed, // Work takes much longer than usual at this moment.
    Unknown, // The latest figure is too old; a check tells.
};

// Whether work may start now.
GateState gateState(World &world);

// Slots that routed requests may hold: servers slow down when nearly all are taken.
Slots usableSlots(World &world);

// True when nearly all slots are taken.
bool isNearCapacity(const World &world);

// Learns how long work of a request's class takes at the usual speed.
void recordServiceTime(World &world, const Admission &row);

// How long work of an offer's class takes at the usual speed; zero when nothing is known.
Millis typicalServiceTime(const World &world, const Offer &offer);

// Asks the backend server for its load unless a check runs.
void requestCheck(World &world);

// Puts the time of the next check while requests wait.
void scheduleCheck(World &world, GateState gate);

// Holds a broken request back until a check tells whether the backend server crashed.
void checkAfterInterruption(World &world, const InterruptedRequest &broken);

// Takes what a check found.
void handle(World &world, const BackendChecked &event);

// Takes a load figure that came with an answer.
void recordLoad(World &world, const BackendLoad &load);

// Sends checks that are due.
void runGate(World &world);

// When the gate system must run next.
Millis nextGate(const World &world);

} // namespace radishford
