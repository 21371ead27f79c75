#pragma once

// Counters and gauges of a gateway in the Prometheus text form.

#include "godwit/relay/relay.h"
#include "platform/store_client.h"

#include <string>

namespace Godwit
{

std::string renderGatewayMetrics(Relay &relay, const StoreCounters &store);

} // namespace Godwit
