#include "serve/peer_duty.hpp"

namespace banyanshunt
{

void peer_duty::start() {}
task<void> peer_duty::leave() { co_return; }
void peer_duty::wish(const server_id&, const engine_unit&, milliseconds) {}
task<bool> peer_duty::take_tokens(workspace_id, millitokens) { co_return true; }

} // namespace banyanshunt
