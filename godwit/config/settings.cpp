#include "godwit/config/settings.h"

#include "godwit/config/toml_reader.h"

#include <algorithm>
#include <array>
#include <charconv>

#include <arpa/inet.h>

namespace Godwit
{
namespace
{

using internal::FaultList;
using internal::TableReader;
using internal::UnknownKeys;

constexpr std::array<std::string_view, 5> LogLevels = {"trace", "debug", "info", "warning", "error"};
constexpr double MaxThreads = 64.0;
constexpr double MaxBytes = 1024.0 * 1024.0 * 1024.0;
constexpr double MaxEntries = 1e6;
constexpr double MaxSeconds = 86400.0;

struct IpAndPort
{
    std::string ip;
    bool isV6 = false;
    int port = 0;
};

std::optional<IpAndPort> splitAddress(std::string_view address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string_view::npos || colon + 1 == address.size()) {
        return std::nullopt;
    }
    IpAndPort split;
    const std::string_view portText = address.substr(colon + 1);
    const auto [end, fault] = std::from_chars(portText.data(), portText.data() + portText.size(), split.port);
    if (fault != std::errc{} || end != portText.data() + portText.size() || split.port < 0 || split.port > 65535) {
        return std::nullopt;
    }
    std::string_view ip = address.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        split.isV6 = true;
        ip = ip.substr(1, ip.size() - 2);
    }
    split.ip = std::string(ip);
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    if (inet_pton(split.isV6 ? AF_INET6 : AF_INET, split.ip.c_str(), binary.data()) != 1) {
        return std::nullopt;
    }
    return split;
}

std::string readAddress(TableReader &reader, std::string_view key, std::string value)
{
    if (!value.empty() && !isIpAndPort(value)) {
        reader.fault(key, "must be an IP number and a port, such as \"127.0.0.1:8080\"");
    }
    return value;
}

// The settings of one listener.
struct Listener
{
    std::string listen;
    std::string advertise;
    TlsSettings tls;
};

// Plain text on a reachable address would show keys and requests to the network; a forgotten certificate must not
// lead there silently, so it has to be written by name.
void checkPlainText(TableReader &reader, const Listener &listener)
{
    const bool reachable = isIpAndPort(listener.listen) && !isLoopback(listener.listen);
    if (!listener.tls.enabled() && reachable && !listener.tls.plainTextAllowed) {
        reader.fault("listen",
                     "would speak plain text off the loopback; set certificate and key, or write plain_text = "
                     "\"allowed\"");
    }
}

Listener readListener(TableReader &root, std::string_view name, FaultList &faults, bool isPeer)
{
    Listener listener;
    const toml::table *table = root.table(name);
    if (table == nullptr) {
        if (!root.has(name)) {
            root.fault(name, "is missing; add [" + std::string(name) + "] with listen = \"ip:port\"");
        }
        return listener;
    }
    TableReader reader(*table, std::string(name), faults, UnknownKeys::Refuse);
    listener.listen = readAddress(reader, "listen", reader.requiredText("listen"));
    listener.advertise = readAddress(reader, "advertise", reader.text("advertise", listener.listen));
    listener.tls.certificate = reader.text("certificate", "");
    listener.tls.key = reader.text("key", "");
    listener.tls.ca = reader.text("ca", "");
    const std::string plainText = reader.text("plain_text", "");
    listener.tls.plainTextAllowed = plainText == "allowed";
    if (!plainText.empty() && !listener.tls.plainTextAllowed) {
        reader.fault("plain_text", "can only be \"allowed\"; remove it otherwise");
    }
    if (listener.tls.certificate.empty() != listener.tls.key.empty()) {
        reader.fault(listener.tls.key.empty() ? "key" : "certificate", "is missing; TLS needs certificate and key");
    }
    if (isPeer && listener.tls.enabled() && listener.tls.ca.empty()) {
        reader.fault("ca", "is missing; routers prove to each other who they are by certificates of this CA");
    }
    checkPlainText(reader, listener);
    reader.finish();
    return listener;
}

void readLimits(TableReader &root, FaultList &faults, SettingsLimits &limits)
{
    const toml::table *table = root.table("limits");
    if (table == nullptr) {
        return;
    }
    TableReader reader(*table, "limits", faults, UnknownKeys::Refuse);
    const auto size = [&](std::string_view key, std::size_t &value, double most) {
        value = static_cast<std::size_t>(reader.integer(key, static_cast<std::int64_t>(value), {1.0, most}));
    };
    const auto seconds = [&](std::string_view key, Duration &value) {
        const double read = reader.number(key, toSeconds(value), {0.01, MaxSeconds});
        value = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(read));
    };
    size("max_body_bytes", limits.maxBodyBytes, MaxBytes);
    size("max_header_bytes", limits.maxHeaderBytes, MaxBytes);
    size("max_connections", limits.maxConnections, MaxEntries);
    size("max_queued_calls", limits.maxQueuedCalls, MaxEntries);
    size("max_operator_calls", limits.maxOperatorCalls, MaxEntries);
    size("max_peer_message_bytes", limits.maxPeerMessageBytes, MaxBytes);
    seconds("header_timeout_seconds", limits.headerTimeout);
    seconds("body_timeout_seconds", limits.bodyTimeout);
    seconds("idle_timeout_seconds", limits.idleTimeout);
    seconds("drain_timeout_seconds", limits.drainTimeout);
    reader.finish();
}

void readPlatform(TableReader &root, Settings &settings)
{
    settings.platform = root.texts("platform");
    if (settings.platform.empty()) {
        root.fault("platform", "must name the platform's addresses, such as [\"127.0.0.1:7001\"]");
    }
    for (const std::string &address : settings.platform) {
        if (!isIpAndPort(address)) {
            root.fault("platform", '"' + address + "\" is not an IP number and a port, such as \"127.0.0.1:7001\"");
        }
    }
}

void readListeners(TableReader &root, FaultList &faults, Settings &settings)
{
    const Listener caller = readListener(root, "caller", faults, false);
    const Listener peer = readListener(root, "peer", faults, true);
    const Listener administration = readListener(root, "operator", faults, false);
    settings.callerListen = caller.listen;
    settings.callerAdvertise = caller.advertise;
    settings.callerTls = caller.tls;
    settings.peerListen = peer.listen;
    settings.peerAdvertise = peer.advertise;
    settings.peerTls = peer.tls;
    settings.operatorListen = administration.listen;
    settings.operatorTls = administration.tls;
}

} // namespace

bool isIpAndPort(std::string_view address)
{
    return splitAddress(address).has_value();
}

bool isLoopback(std::string_view address)
{
    const auto split = splitAddress(address);
    if (!split) {
        return false;
    }
    return split->isV6 ? split->ip == "::1" : split->ip.compare(0, 4, "127.") == 0;
}

std::optional<Settings> parseSettings(std::string_view text, std::string_view fileName, LastReason &reason)
{
    FaultList faults;
    const auto table = internal::parseToml(text, fileName, faults);
    if (!table) {
        reason = faults.toError(ErrorKind::InvalidSettings);
        return std::nullopt;
    }
    Settings settings;
    TableReader root(*table, "", faults, UnknownKeys::Refuse);
    settings.host = HostId(root.requiredText("host"));
    settings.dataCentre = DataCentreId(root.requiredText("data_centre"));
    readPlatform(root, settings);
    readListeners(root, faults, settings);
    settings.trafficThreads =
        static_cast<int>(root.integer("traffic_threads", settings.trafficThreads, {1.0, MaxThreads}));
    settings.logLevel = root.text("log_level", settings.logLevel);
    if (std::find(LogLevels.begin(), LogLevels.end(), settings.logLevel) == LogLevels.end()) {
        root.fault("log_level", "must be trace, debug, info, warning or error");
    }
    readLimits(root, faults, settings.limits);
    root.finish();
    if (!faults.empty()) {
        reason = faults.toError(ErrorKind::InvalidSettings);
        return std::nullopt;
    }
    return settings;
}

} // namespace Godwit
