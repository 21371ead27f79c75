#pragma once

// Stand-in of the platform's key-value store: items with revisions, leases, conditional transactions and watches, as
// the platform's page of its protocol describes them. One thread a connection.
//
// Example:
//   Store store;
//   store.put("op/config", document);
//   store.start();

#include "sockets.h"

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Review
{

class Store
{
public:
    Store();
    void start();
    std::string address() const;

    // Write as operators and endpoints do. `bytes` is the value before its encoding.
    void put(const std::string &key, const std::string &bytes);
    void remove(const std::string &key);
    // Decoded value; empty if the key does not exist.
    std::string get(const std::string &key);

    // While the store is down, calls get no response and are not executed.
    void setDown(bool down);

private:
    using Clock = std::chrono::steady_clock;

    struct Item
    {
        std::string value; // In base64.
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct Change
    {
        std::string key;
        Item item;
        bool removed = false;
    };

    struct Lease
    {
        std::chrono::milliseconds timeToLive{};
        Clock::time_point until;
    };

    struct Reply
    {
        int status = 200;
        std::string body = "{}";
    };

    void serve(Socket socket);
    Reply handle(const HttpMessage &request);
    Reply getKey(const std::string &key);
    Reply getRange(const std::string &prefix, const std::string &after);
    Reply watch(std::unique_lock<std::mutex> &lock, const std::string &target);
    Reply transact(const std::string &body);
    Reply grantLease(const std::string &body);
    Reply renewLease(std::uint64_t lease);
    Reply endLease(std::uint64_t lease);
    void write(const std::string &key, Item item);
    void erase(const std::string &key);
    void expireLeases();

    int m_port;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_down = false;
    std::uint64_t m_revision = 100;
    std::uint64_t m_nextLease = 7000;
    std::map<std::string, Item> m_items;
    std::map<std::uint64_t, Lease> m_leases;
    std::vector<Change> m_history;
};

} // namespace Review
