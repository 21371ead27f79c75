#pragma once

// The model engine stand-in's HTTP interface over the batch, the prefix cache and the orders, with its faults.
//
// docs/STANDINS.md lists the calls. Single-threaded: use it from the thread that runs the io_context.

#include "standins/common/http_server.h"
#include "standins/common/url.h"
#include "standins/engine/batch_model.h"
#include "standins/engine/order_model.h"

#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace Godwit::Standins
{

struct EngineFaults
{
    bool refuse = false; // 503 with Godwit-Not-Run to every new request.
    std::uint64_t resetAfterBytes = 0; // A stream's connection breaks after so many bytes; 0: never.
};

class EngineService
{
public:
    EngineService(boost::asio::io_context &context,
                  BatchModel batch,
                  OrderModel orders,
                  std::size_t maxWaiting,
                  std::uint64_t seed);

    void handle(const HttpRequest &request, const ResponderPtr &responder);

private:
    // A connection that reads a sequence's answer.
    struct Reader
    {
        ResponderPtr responder;
        std::string model;
        bool streamed = false;
        std::int64_t sent = 0; // Tokens of the answer that were sent.
        std::uint64_t bytes = 0;
    };

    void route(const HttpRequest &request, const Target &target, const ResponderPtr &responder);
    void handleControl(const HttpRequest &request, const Target &target, const ResponderPtr &responder);
    void handleChat(const HttpRequest &request, const ResponderPtr &responder);
    void handleResume(const HttpRequest &request, const ResponderPtr &responder);
    void handleOrder(const HttpRequest &request, const ResponderPtr &responder);
    void replyLoad(const ResponderPtr &responder);
    void replyCacheEvents(const Target &target, const ResponderPtr &responder);
    void replyExecutions(const Target &target, const ResponderPtr &responder);

    void attach(SequenceHandle handle, Reader reader);
    void sendNewTokens(SequenceHandle handle);
    void sendStreamed(SequenceHandle handle, Reader &reader);
    bool sendEvent(SequenceHandle handle, Reader &reader, const std::string &data);
    void sendWhole(SequenceHandle handle, Reader &reader);
    void advanceBatch();
    void armTimer();
    void crashIfDue() const;
    std::string requestId(const HttpRequest &request);

    boost::asio::steady_timer m_timer;
    BatchModel m_batch;
    OrderModel m_orders;
    std::size_t m_maxWaiting;
    EngineFaults m_faults;
    std::map<SequenceHandle, Reader> m_readers;
    std::mt19937_64 m_random;
    Draw m_draw;
    std::uint64_t m_epoch;
    std::uint64_t m_anonymous = 0;
};

} // namespace Godwit::Standins
