// Systems that dispatch events and due timers to their handlers.
#pragma once

namespace radishford {

struct World;

// Dispatches the events of the inbox in order of arrival, and empties it.
void runEventDispatch(World &world);

// Dispatches all due timers in order of their time.
void runTimerDispatch(World &world);

} // namespace radishford
