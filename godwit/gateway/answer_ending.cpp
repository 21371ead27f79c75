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

} // namespace Godwit
