#include "godwit/gateway/response_ending.h"

#include "godwit/base/enum_names.h"

namespace Godwit
{
namespace
{

constexpr EnumName<ResponseFraming> ResponseFramingNames[] = {
    {ResponseFraming::Length, "length"},
    {ResponseFraming::Chunked, "chunked"},
    {ResponseFraming::Connection, "connection"},
};

constexpr EnumName<ConnectionEnd> ConnectionEndNames[] = {
    {ConnectionEnd::Open, "open"},
    {ConnectionEnd::Closed, "in_order"},
    {ConnectionEnd::Broken, "broken"},
};

constexpr EnumName<StreamPosition> StreamPositionNames[] = {
    {StreamPosition::BeforeFirst, "before_first"},
    {StreamPosition::AtEdge, "at_edge"},
    {StreamPosition::InsideNumber, "inside_number"},
    {StreamPosition::InsideEvent, "inside_event"},
};

constexpr EnumName<ResponseCompleteness> ResponseCompletenessNames[] = {
    {ResponseCompleteness::Declared, "declared"},
    {ResponseCompleteness::Inferred, "inferred"},
    {ResponseCompleteness::Truncated, "broken_off"},
};

} // namespace

std::string_view responseFramingName(ResponseFraming framing)
{
    return enumName(ResponseFramingNames, framing);
}

std::string_view connectionEndName(ConnectionEnd end)
{
    return enumName(ConnectionEndNames, end);
}

std::string_view positionName(const ResponseEnding &ending)
{
    return ending.position ? enumName(StreamPositionNames, *ending.position) : "none";
}

std::string_view responseCompletenessName(ResponseCompleteness completeness)
{
    return enumName(ResponseCompletenessNames, completeness);
}

ResponseCompleteness completenessOf(const ResponseEnding &ending)
{
    const auto position = ending.position.value_or(StreamPosition::AtEdge);
    if (position == StreamPosition::InsideNumber || position == StreamPosition::InsideEvent) {
        return ResponseCompleteness::Truncated;
    }
    if (ending.framing != ResponseFraming::Connection) {
        return ending.connection == ConnectionEnd::Open ? ResponseCompleteness::Declared
                                                        : ResponseCompleteness::Truncated;
    }
    const bool mayBeComplete = ending.connection == ConnectionEnd::Closed && position == StreamPosition::AtEdge;
    return mayBeComplete ? ResponseCompleteness::Inferred : ResponseCompleteness::Truncated;
}

ResponseFraming framingToForward(ResponseFraming received, ResponseFraming declaredFraming)
{
    return received == ResponseFraming::Connection ? ResponseFraming::Connection : declaredFraming;
}

bool mayEndAsComplete(ResponseFraming forwarded, ResponseCompleteness completeness)
{
    return completeness == ResponseCompleteness::Declared
        || (completeness == ResponseCompleteness::Inferred && forwarded == ResponseFraming::Connection);
}

} // namespace Godwit
