#include "godwit/gateway/answer_ending.h"

#include "godwit/base/enum_names.h"

namespace Godwit
{
namespace
{

constexpr EnumName<AnswerFraming> AnswerFramingNames[] = {
    {AnswerFraming::Length, "length"},
    {AnswerFraming::Chunked, "chunked"},
    {AnswerFraming::Connection, "connection"},
};

constexpr EnumName<ConnectionEnd> ConnectionEndNames[] = {
    {ConnectionEnd::Open, "open"},
    {ConnectionEnd::InOrder, "in_order"},
    {ConnectionEnd::Broken, "broken"},
};

constexpr EnumName<StreamPosition> StreamPositionNames[] = {
    {StreamPosition::BeforeFirst, "before_first"},
    {StreamPosition::AtEdge, "at_edge"},
    {StreamPosition::InsideNumber, "inside_number"},
    {StreamPosition::InsideEvent, "inside_event"},
};

constexpr EnumName<AnswerExtent> AnswerExtentNames[] = {
    {AnswerExtent::Declared, "declared"},
    {AnswerExtent::Inferred, "inferred"},
    {AnswerExtent::BrokenOff, "broken_off"},
};

} // namespace

std::string_view answerFramingName(AnswerFraming framing)
{
    return enumName(AnswerFramingNames, framing);
}

std::string_view connectionEndName(ConnectionEnd end)
{
    return enumName(ConnectionEndNames, end);
}

std::string_view positionName(const AnswerEnding &ending)
{
    return ending.position ? enumName(StreamPositionNames, *ending.position) : "none";
}

std::string_view answerExtentName(AnswerExtent extent)
{
    return enumName(AnswerExtentNames, extent);
}

AnswerExtent extentOf(const AnswerEnding &ending)
{
    const auto position = ending.position.value_or(StreamPosition::AtEdge);
    if (position == StreamPosition::InsideNumber || position == StreamPosition::InsideEvent) {
        return AnswerExtent::BrokenOff;
    }
    if (ending.framing != AnswerFraming::Connection) {
        return ending.connection == ConnectionEnd::Open ? AnswerExtent::Declared : AnswerExtent::BrokenOff;
    }
    const bool mayBeWhole = ending.connection == ConnectionEnd::InOrder && position == StreamPosition::AtEdge;
    return mayBeWhole ? AnswerExtent::Inferred : AnswerExtent::BrokenOff;
}

AnswerFraming framingToPass(AnswerFraming received, AnswerFraming otherwise)
{
    return received == AnswerFraming::Connection ? AnswerFraming::Connection : otherwise;
}

bool mayEndWhole(AnswerFraming passed, AnswerExtent extent)
{
    return extent == AnswerExtent::Declared
        || (extent == AnswerExtent::Inferred && passed == AnswerFraming::Connection);
}

} // namespace Godwit
