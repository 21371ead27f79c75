#pragma once

// Applies the speeds of engines (endpoint_speed.h) to an endpoint table: takes samples from first events, exchanges
// ratios with other routers, and sets the rates at which the engines are expected to process prompts.
//
// While every engine of a service is within the band, its engines have no rate and all choices are as without this
// part. Once one is outside, all engines of the service get a rate, since costs with and without the fixed time can't
// be compared: the expected time of the service, multiplied by the ratio of engines outside the band.
//
// All functions do nothing unless `EndpointTable::shareSpeeds` is set, except that recordFirstEvent() still updates the
// load. Pure functions: time is passed in.
//
// Example:
//   recordFirstEvent(table, endpoint, prefill, now);
//   send(takeSpeedReports(table, MaxSpeedReports));
//   applySpeedReports(table, reports, now); // What another router has sent.

#include "godwit/gateway/endpoint_table.h"

#include <cstddef>
#include <string>
#include <vector>

namespace Godwit
{

// Bound of the reports in one message.
constexpr std::size_t MaxSpeedReports = 32;
// Bound of the samples in one report, so that a single one can't replace what many routers have observed.
constexpr int MaxReportedSamples = 100;

// Mean ratio that a router has observed at one engine since its last report.
struct SpeedReport
{
    EndpointId endpoint;
    EndpointIncarnation startedAt = 0;
    double ratio = 1;
    int samples = 0;
};

// An engine whose ratio has left or re-entered the band.
struct SpeedChange
{
    EndpointId endpoint;
    CurrentSpeed speed;
    bool outsideBand = false;
};

// Call when the first event of a prompt arrives. Finishes its prefill and takes a sample from it.
void recordFirstEvent(EndpointTable &table, EndpointState &endpoint, PrefillId prefill, TimePoint now);

// Returns the unreported samples of at most `most` engines, those with the most samples first, and counts them as
// reported.
std::vector<SpeedReport> takeSpeedReports(EndpointTable &table, std::size_t most);

// Reports about unknown engines or former runs of an engine are ignored.
void applySpeedReports(EndpointTable &table, const std::vector<SpeedReport> &reports, TimePoint now);

// Updates the rates of a service's engines if `SpeedOptions::refreshInterval` has passed since the last time.
void refreshRates(EndpointTable &table, const std::string &service, TimePoint now);

// Returns the engines whose ratio has left or re-entered the band since the last call.
std::vector<SpeedChange> takeSpeedChanges(EndpointTable &table, TimePoint now);

} // namespace Godwit
