// Systems that hand events and timers to their handlers.
#pragma once

namespace radishford {

struct World;

// Gives each event of the inbox to the handler of its type.
void runReceive(World &world);

// Gives each due timer to the handler of its kind.
void runExpire(World &world);

} // namespace radishford
