#pragma once

// Counters and gauges of a router in the Prometheus text format.

#include "godwit/relay/relay.h"
#include "platform/store_client.h"

#include <string>

namespace Godwit
{

std::string renderGatewayMetrics(Relay &relay, const StoreCounters &store);

} // namespace Godwit
