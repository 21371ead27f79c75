#include "store.h"

#include <nlohmann/json.hpp>

#include <thread>
#include <utility>

namespace Review
{
namespace
{

using nlohmann::json;

constexpr int IdleTimeoutMs = 120'000;
constexpr std::size_t PageItems = 500;
constexpr char Alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encodeBase64(const std::string &bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        const std::size_t count = std::min<std::size_t>(3, bytes.size() - i);
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8 | (k < count ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text.push_back(k <= count ? Alphabet[group >> (18 - 6 * k) & 63] : '=');
        }
    }
    return text;
}

std::string decodeBase64(const std::string &text)
{
    const std::string alphabet(Alphabet);
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char c : text) {
        const std::size_t digit = alphabet.find(c);
        if (digit == std::string::npos) {
            break;
        }
        group = group << 6 | static_cast<std::uint32_t>(digit);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes.push_back(static_cast<char>(group >> bits & 255));
        }
    }
    return bytes;
}

bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

std::uint64_t numberAtEnd(const std::string &target)
{
    return std::strtoull(target.c_str() + target.rfind('/') + 1, nullptr, 10);
}

std::string reasonOf(int status)
{
    return std::to_string(status) + (status == 200 ? " OK" : " No");
}

} // namespace

Store::Store()
    : m_port(freePort())
{
}

void Store::start()
{
    std::thread([this] {
        const Socket listener = listenOn(m_port);
        while (listener.isOpen()) {
            Socket socket = acceptFrom(listener);
            if (socket.isOpen()) {
                std::thread(&Store::serve, this, std::move(socket)).detach();
            }
        }
    }).detach();
}

std::string Store::address() const
{
    return "127.0.0.1:" + std::to_string(m_port);
}

void Store::put(const std::string &key, const std::string &bytes)
{
    const std::lock_guard lock(m_mutex);
    write(key, Item{encodeBase64(bytes)});
}

void Store::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    erase(key);
}

std::string Store::get(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_items.find(key);
    return found == m_items.end() ? std::string() : decodeBase64(found->second.value);
}

void Store::setDown(bool down)
{
    const std::lock_guard lock(m_mutex);
    m_down = down;
    m_changed.notify_all();
}

void Store::serve(Socket socket)
{
    while (const auto request = readRequest(socket, IdleTimeoutMs)) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_down) {
                continue;
            }
        }
        const Reply reply = handle(*request);
        if (!sendAll(socket,
                     formatResponse(reasonOf(reply.status), "Content-Type: application/json\r\n", reply.body))) {
            return;
        }
    }
}

Store::Reply Store::handle(const HttpMessage &request)
{
    const std::string target = targetOf(request);
    std::unique_lock lock(m_mutex);
    expireLeases();
    if (startsWith(target, "/kv-key?")) {
        return getKey(queryOf(target, "Key"));
    }
    if (startsWith(target, "/kv-range?")) {
        return getRange(queryOf(target, "PathPrefix"), queryOf(target, "After"));
    }
    if (startsWith(target, "/kv-watch?")) {
        return watch(lock, target);
    }
    if (target == "/kv-txn") {
        return transact(request.body);
    }
    if (target == "/kv-lease") {
        return grantLease(request.body);
    }
    if (startsWith(target, "/kv-keep/")) {
        return renewLease(numberAtEnd(target));
    }
    if (startsWith(target, "/kv-lease-end/")) {
        return endLease(numberAtEnd(target));
    }
    return {404};
}

namespace
{

template<typename Item>
json itemJson(const std::string &key, const Item &item)
{
    return {{"Key", key},
            {"Value", item.value},
            {"Revision", item.revision},
            {"Created", item.created},
            {"Lease", item.lease}};
}

} // namespace

Store::Reply Store::getKey(const std::string &key)
{
    const auto found = m_items.find(key);
    if (found == m_items.end()) {
        return {404};
    }
    json body = itemJson(key, found->second);
    body["At"] = m_revision;
    return {200, body.dump()};
}

Store::Reply Store::getRange(const std::string &prefix, const std::string &after)
{
    json items = json::array();
    bool more = false;
    for (const auto &[key, item] : m_items) {
        if (!startsWith(key, prefix) || (!after.empty() && key <= after)) {
            continue;
        }
        if (items.size() == PageItems) {
            more = true;
            break;
        }
        items.push_back(itemJson(key, item));
    }
    return {200, json{{"Items", std::move(items)}, {"HasMore", more}, {"At", m_revision}}.dump()};
}

Store::Reply Store::watch(std::unique_lock<std::mutex> &lock, const std::string &target)
{
    const std::string prefix = queryOf(target, "PathPrefix");
    const std::uint64_t after = std::strtoull(queryOf(target, "After").c_str(), nullptr, 10);
    const auto until = Clock::now() + std::chrono::milliseconds(std::atoi(queryOf(target, "WaitMs").c_str()));
    json events = json::array();
    while (true) {
        for (const Change &change : m_history) {
            if (change.item.revision > after && startsWith(change.key, prefix)) {
                events.push_back(change.removed
                                     ? json{{"Key", change.key}, {"Revision", change.item.revision}, {"Removed", true}}
                                     : itemJson(change.key, change.item));
            }
        }
        if (!events.empty() || Clock::now() >= until) {
            break;
        }
        m_changed.wait_until(lock, until);
    }
    return {200, json{{"events", std::move(events)}, {"At", m_revision}}.dump()};
}

Store::Reply Store::transact(const std::string &body)
{
    const json call = json::parse(body);
    json current = json::array();
    bool holds = true;
    for (const json &row : call.at("ExpectedRevision")) {
        const std::string key = row.at("Key");
        const auto found = m_items.find(key);
        const std::uint64_t revision = found == m_items.end() ? 0 : found->second.revision;
        holds = holds && revision == row.at("Revision").get<std::uint64_t>();
        if (found != m_items.end()) {
            current.push_back(itemJson(key, found->second));
        }
    }
    if (!holds) {
        return {412, json{{"Items", std::move(current)}}.dump()};
    }
    for (const json &row : call.at("Puts")) {
        const std::uint64_t lease = row.value("Lease", std::uint64_t{0});
        if (lease != 0 && m_leases.count(lease) == 0) {
            return {404};
        }
    }
    ++m_revision;
    const std::uint64_t revision = m_revision--;
    for (const json &row : call.at("Puts")) {
        write(row.at("Key"), Item{row.at("Value"), 0, 0, row.value("Lease", std::uint64_t{0})});
        m_revision = revision - 1; // All changes of one transaction have one revision.
    }
    for (const json &key : call.at("Remove")) {
        erase(key);
        m_revision = revision - 1;
    }
    m_revision = revision;
    return {200, json{{"Revision", revision}}.dump()};
}

Store::Reply Store::grantLease(const std::string &body)
{
    const std::chrono::milliseconds time(json::parse(body).at("TtlMs").get<int>());
    const std::uint64_t lease = m_nextLease++;
    m_leases[lease] = {time, Clock::now() + time};
    return {200, json{{"Lease", lease}, {"TtlMs", time.count()}}.dump()};
}

Store::Reply Store::renewLease(std::uint64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return {404};
    }
    found->second.until = Clock::now() + found->second.timeToLive;
    return {200, json{{"TtlMs", found->second.timeToLive.count()}}.dump()};
}

Store::Reply Store::endLease(std::uint64_t lease)
{
    const auto found = m_leases.find(lease);
    if (found == m_leases.end()) {
        return {404};
    }
    found->second.until = Clock::now();
    expireLeases();
    return {200};
}

void Store::write(const std::string &key, Item item)
{
    item.revision = ++m_revision;
    const auto found = m_items.find(key);
    item.created = found == m_items.end() ? item.revision : found->second.created;
    m_history.push_back({key, item, false});
    m_items[key] = std::move(item);
    m_changed.notify_all();
}

void Store::erase(const std::string &key)
{
    if (m_items.erase(key) > 0) {
        Item removed;
        removed.revision = ++m_revision;
        m_history.push_back({key, removed, true});
        m_changed.notify_all();
    }
}

void Store::expireLeases()
{
    for (auto lease = m_leases.begin(); lease != m_leases.end();) {
        if (lease->second.until > Clock::now()) {
            ++lease;
            continue;
        }
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == lease->first) {
                keys.push_back(key);
            }
        }
        for (const std::string &key : keys) {
            erase(key);
        }
        lease = m_leases.erase(lease);
    }
}

} // namespace Review
