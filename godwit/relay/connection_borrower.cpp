#include "godwit/relay/connection_borrower.h"

#include "godwit/http/address.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace Godwit
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

} // namespace

ConnectionBorrower::ConnectionBorrower(asio::io_context &io)
    : m_socket(io)
    , m_timer(io)
{
}

std::shared_ptr<ConnectionBorrower> ConnectionBorrower::start(
    asio::io_context &io, const Lender &lender, LendingRequest request, Duration limit, Done done)
{
    auto borrower = std::make_shared<ConnectionBorrower>(io);
    request.secret = lender.secret;
    borrower->m_line = encodeLendingRequest(request);
    borrower->m_done = std::move(done);
    borrower->connect(lender.address, limit);
    return borrower;
}

void ConnectionBorrower::cancel()
{
    m_done = {};
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

void ConnectionBorrower::connect(const std::string &address, Duration limit)
{
    LastReason reason;
    const auto target = parseAddress(address, reason);
    if (!target) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->finish(LendingReply::NoReply);
        });
        return;
    }
    m_timer.expires_after(limit);
    m_timer.async_wait([self = shared_from_this()](const error_code &error) {
        if (!error) {
            self->finish(LendingReply::NoReply);
        }
    });
    m_socket.async_connect(*target, [self = shared_from_this()](const error_code &error) {
        if (error) {
            self->finish(LendingReply::NoReply);
        } else {
            self->sendRequest();
        }
    });
}

void ConnectionBorrower::sendRequest()
{
    if (!m_done) {
        return;
    }
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    asio::async_write(
        m_socket, asio::buffer(m_line), [self = shared_from_this()](const error_code &error, std::size_t) {
            if (error) {
                self->finish(LendingReply::NoReply);
            } else {
                self->readReply();
            }
        });
}

void ConnectionBorrower::readReply()
{
    if (!m_done) {
        return;
    }
    asio::async_read(
        m_socket, asio::buffer(&m_reply, 1), [self = shared_from_this()](const error_code &error, std::size_t) {
            self->finish(error ? LendingReply::NoReply : decodeLendingReply(self->m_reply));
        });
}

void ConnectionBorrower::finish(LendingReply reply)
{
    const auto done = std::exchange(m_done, {});
    if (!done) {
        return;
    }
    m_timer.cancel();
    if (reply != LendingReply::Connected) {
        error_code ignored;
        m_socket.close(ignored);
    }
    done(reply, std::move(m_socket));
}

} // namespace Godwit
