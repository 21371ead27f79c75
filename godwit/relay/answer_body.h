#pragma once

// Body type for responses that are forwarded as they arrive. Unlike string_body of Boost.Beast it does not allocate the
// length that an endpoint declares.

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace Godwit
{

struct AnswerBody
{
    using value_type = std::string;

    // Appends to the body; the interface is that of Boost.Beast's BodyReader.
    class Reader
    {
    public:
        template<bool isRequest, class Fields>
        Reader(boost::beast::http::header<isRequest, Fields> &, value_type &body)
            : m_body(body)
        {
        }

        void init(const boost::optional<std::uint64_t> &, boost::beast::error_code &error)
        {
            error = {};
        }

        template<class Buffers>
        std::size_t put(const Buffers &buffers, boost::beast::error_code &error)
        {
            error = {};
            std::size_t count = 0;
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                m_body.append(static_cast<const char *>(buffer.data()), buffer.size());
                count += buffer.size();
            }
            return count;
        }

        void finish(boost::beast::error_code &error)
        {
            error = {};
        }

    private:
        value_type &m_body;
    };
    using reader = Reader;
};

} // namespace Godwit
