#include "godwit/config/settings.h"

#include "godwit/config/gateway_settings.h"

#include <catch2/catch.hpp>

using namespace Godwit;

namespace
{

const std::string Good = R"(
host = "entry-1"
data_centre = "salt-lake"
platform = ["127.0.0.1:7001"]
[caller]
listen = "127.0.0.1:8080"
[peer]
listen = "127.0.0.1:8081"
[operator]
listen = "127.0.0.1:8082"
)";

std::string faultsOf(const std::string &text)
{
    LastReason reason;
    CHECK_FALSE(parseSettings(text, "godwitd.toml", reason));
    REQUIRE(reason);
    CHECK(reason->kind == ErrorKind::InvalidSettings);
    return reason->message;
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("settings with defaults")
{
    LastReason reason;
    const auto settings = parseSettings(Good, "godwitd.toml", reason);
    REQUIRE(settings);
    CHECK(settings->host == HostId("entry-1"));
    CHECK(settings->callerAdvertise == "127.0.0.1:8080");
    CHECK(settings->limits.maxBodyBytes == 1048576);
    CHECK_FALSE(settings->peerTls.enabled());
}

TEST_CASE("each fault names file, line, key and remedy, all at once")
{
    const std::string faults = faultsOf("host = 5\ndata_center = \"x\"\nplatform = [\"store:1\"]\n[caller]\n"
                                        "listen = \"127.0.0.1\"\nlisen = 1\n[limits]\nmax_body_bytes = -1\n");
    for (const char *part : {"godwitd.toml:1: host: must be a string",
                             "godwitd.toml:2: data_center: unknown key; did you mean \"data_centre\"?",
                             "data_centre: is missing; add it",
                             "godwitd.toml:3: platform: \"store:1\" is not an IP number and a port",
                             "godwitd.toml:5: caller.listen: must be an IP number and a port",
                             "godwitd.toml:6: caller.lisen: unknown key; did you mean \"listen\"?",
                             "peer: is missing; add [peer]",
                             "godwitd.toml:8: limits.max_body_bytes: must be a whole number from 1 to"}) {
        INFO(faults);
        CHECK(faults.find(part) != std::string::npos);
    }
    CHECK(faultsOf("host = ").find("godwitd.toml:1: ") == 0);
}

TEST_CASE("plain text off the loopback has to be written by name")
{
    const std::string reachable = replaced(Good, "127.0.0.1:8080", "10.0.0.1:8080");
    CHECK(faultsOf(reachable).find("would speak plain text off the loopback") != std::string::npos);
    const std::string any = replaced(Good, "127.0.0.1:8080", "0.0.0.0:8080");
    CHECK(faultsOf(any).find("would speak plain text off the loopback") != std::string::npos);
    LastReason reason;
    CHECK(parseSettings(replaced(reachable, "[caller]", "[caller]\nplain_text = \"allowed\""), "f", reason));
    CHECK(parseSettings(replaced(reachable, "[caller]", "[caller]\ncertificate = \"c\"\nkey = \"k\""), "f", reason));
    CHECK(faultsOf(replaced(Good, "[caller]", "[caller]\nplain_text = \"yes\"")).find("can only be")
          != std::string::npos);
}

TEST_CASE("TLS blocks are whole")
{
    CHECK(faultsOf(replaced(Good, "[caller]", "[caller]\ncertificate = \"c\"")).find("caller.key: is missing")
          != std::string::npos);
    CHECK(faultsOf(replaced(Good, "[peer]", "[peer]\ncertificate = \"c\"\nkey = \"k\"")).find("peer.ca: is missing")
          != std::string::npos);
}

TEST_CASE("caller admission is off unless the settings enable it")
{
    // Guards against a change at deployments that did not ask for it.
    const std::string good = "host = \"a\"\ndata_centre = \"salt-lake\"\n[gateway]\ncallers = \"10.0.0.1:1\"\n"
                             "ready = \"10.0.0.1:2\"\npeers = \"10.0.0.1:3\"\nstore = \"10.0.0.2:4\"\n";
    LastReason reason;
    const auto plain = parseGatewaySettings(good, "router.toml", reason);
    REQUIRE(plain);
    CHECK_FALSE(plain->admission);
    CHECK(plain->admissionWindowBytes == 0);
    const auto set =
        parseGatewaySettings(good + "admission = true\nadmission_window_bytes = 1048576\n", "router.toml", reason);
    REQUIRE(set);
    CHECK(set->admission);
    CHECK(set->admissionWindowBytes == 1'048'576);
    CHECK_FALSE(parseGatewaySettings(good + "admission_window_bytes = 1048577\n", "router.toml", reason));
    CHECK(reason->message.find("gateway.admission_window_bytes") != std::string::npos);
}

TEST_CASE("the descriptors of a router are as many as the settings say, within bounds")
{
    // Guards against a typing error that leaves a router without connections.
    const std::string good = "host = \"a\"\ndata_centre = \"salt-lake\"\n[gateway]\ncallers = \"10.0.0.1:1\"\n"
                             "ready = \"10.0.0.1:2\"\npeers = \"10.0.0.1:3\"\nstore = \"10.0.0.2:4\"\n";
    LastReason reason;
    CHECK(parseGatewaySettings(good, "router.toml", reason)->descriptors == 0);
    CHECK(parseGatewaySettings(good + "descriptors = 4100\n", "router.toml", reason)->descriptors == 4100);
    CHECK_FALSE(parseGatewaySettings(good + "descriptors = -1\n", "router.toml", reason));
    CHECK(reason->message.find("gateway.descriptors") != std::string::npos);
}

TEST_CASE("a router on the platform knows the regions, and how far cold endpoints may be loaded")
{
    const std::string good = "host = \"a\"\ndata_centre = \"salt-lake\"\n[gateway]\ncallers = \"10.0.0.1:1\"\n"
                             "ready = \"10.0.0.1:2\"\npeers = \"10.0.0.1:3\"\nstore = \"10.0.0.2:4\"\n";
    LastReason reason;
    const auto plain = parseGatewaySettings(good, "router.toml", reason);
    REQUIRE(plain);
    CHECK(plain->regions.empty());
    CHECK(plain->coldOverrun == 1);
    CHECK_FALSE(plain->shareSpeeds);
    const std::string places =
        "cold_overrun = 1.5\ncold_slack = 5\nshare_speeds = true\n[gateway.regions]\n\"salt-lake\" = \"kolkata\"\n";
    const auto settings = parseGatewaySettings(good + places, "router.toml", reason);
    REQUIRE(settings);
    CHECK(settings->coldOverrun == 1.5);
    CHECK(settings->coldSlack == 5);
    CHECK(settings->shareSpeeds);
    CHECK(settings->regions.at(DataCentreId{"salt-lake"}) == RegionId{"kolkata"});
    CHECK_FALSE(parseGatewaySettings(good + "[gateway.regions]\nhowrah = 5\n", "router.toml", reason));
    CHECK(reason->message.find("gateway.regions.howrah: must be a string") != std::string::npos);
}

TEST_CASE("a router sends no hedges by default, and refuses settings of hedges out of range")
{
    // Guards against a ratio that is mistaken for a percentage, and against hedges that nobody enabled.
    const std::string good = "host = \"a\"\ndata_centre = \"salt-lake\"\n[gateway]\ncallers = \"10.0.0.1:1\"\n"
                             "ready = \"10.0.0.1:2\"\npeers = \"10.0.0.1:3\"\nstore = \"10.0.0.2:4\"\n";
    LastReason reason;
    const auto plain = parseGatewaySettings(good, "router.toml", reason);
    REQUIRE(plain);
    CHECK(plain->hedgeRatio == 0);
    CHECK(plain->hedgeQuantile == 0.95);
    const auto enabled = parseGatewaySettings(good + "hedge_ratio = 0.05\nhedge_quantile = 0.9\n", "r.toml", reason);
    REQUIRE(enabled);
    CHECK(enabled->hedgeRatio == 0.05);
    CHECK(enabled->hedgeQuantile == 0.9);
    CHECK_FALSE(parseGatewaySettings(good + "hedge_ratio = 5\nhedge_quantile = 1\n", "r.toml", reason));
    CHECK(reason->message.find("gateway.hedge_ratio: must be a number from 0 to 0.5, not 5") != std::string::npos);
    CHECK(reason->message.find("gateway.hedge_quantile: must be a number from 0.5 to 0.999, not 1")
          != std::string::npos);
}

TEST_CASE("a router on the platform limits what it holds for slow readers only if its memory is set")
{
    // Guards against a limit that deployments without the setting have not asked for.
    const std::string good = "host = \"a\"\ndata_centre = \"b\"\n[gateway]\ncallers = \"10.0.0.1:1\"\n"
                             "ready = \"10.0.0.1:2\"\npeers = \"10.0.0.1:3\"\nstore = \"10.0.0.2:4\"\n";
    LastReason reason;
    const auto plain = parseGatewaySettings(good, "router.toml", reason);
    REQUIRE(plain);
    CHECK(plain->memoryMb == 0);
    CHECK(plain->stalledReaderTimeout == std::chrono::seconds(4));
    const auto set = parseGatewaySettings(good + "memory_mb = 160\nstalled_reader_s = 0.5\n", "router.toml", reason);
    REQUIRE(set);
    CHECK(set->memoryMb == 160);
    CHECK(set->stalledReaderTimeout == std::chrono::milliseconds(500));
    CHECK_FALSE(parseGatewaySettings(good + "memory_mb = 1048577\nstalled_reader_s = 0.4\n", "router.toml", reason));
    CHECK(reason->message.find("gateway.memory_mb") != std::string::npos);
    CHECK(reason->message.find("gateway.stalled_reader_s") != std::string::npos);
}
