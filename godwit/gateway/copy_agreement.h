#pragma once

// Whether a copy of what the platform keeps is as new as those of the other routers.
//
// News travels over links that can be full: it may come seconds late while everything else looks sound, and a router
// can't tell that by what it has received. So it asks others, and goes by the time of the question.
//
// Pure. Example:
//   noteAnswer(agreement, asked, newerFor, now);
//   if (isOutdated(agreement, options, now)) { ... refuse what the copy decides ... }

#include "godwit/base/time.h"

#include <algorithm>

namespace Godwit
{

struct CopyAgreement
{
    TimePoint answeredAt; // When the last answer came.
    TimePoint agreedAt; // Up to this moment the copy held all that another router did.
    TimePoint heardEqualAt; // When a reading of another router was heard that had found no more than the copy holds.
};

struct AgreementOptions
{
    // A copy may be this much older than another router's. Answers come twice a second, and the bound on the use of
    // removed entries is 2 s.
    Duration longestLag = std::chrono::milliseconds(1200);
    // A router that has not been answered for longer is cut off, or has had nothing to ask for: it serves what it can
    // reach.
    Duration answersCountFor = std::chrono::milliseconds(1500);
    // Longer than the gap between two readings, which a calm router hears of, and no longer than a change of the
    // document may take to be in force.
    Duration confirmedFor = std::chrono::seconds(2);
};

// A peer was asked at `asked`, and had held changes that this copy lacks for `newerFor`. Zero says no more than that
// the peer holds nothing newer, since it may be old itself.
inline void noteAnswer(CopyAgreement &agreement, TimePoint asked, Duration newerFor, TimePoint now)
{
    agreement.answeredAt = now;
    const TimePoint agreed = std::min(asked, now) - newerFor;
    agreement.agreedAt = newerFor > Duration::zero() ? agreed : std::max(agreement.agreedAt, agreed);
}

// This router has read everything itself, beginning at `began`.
inline void noteReading(CopyAgreement &agreement, TimePoint began)
{
    agreement.agreedAt = std::max(agreement.agreedAt, began);
}

// Another router has told of a reading that found what this copy holds.
inline void noteEqualReading(CopyAgreement &agreement, TimePoint now)
{
    agreement.heardEqualAt = now;
}

// Whether the copy has lately been shown to be current. Where it has not, what it lacks may exist: this router can be
// cut off, or what it should know waits on its link.
inline bool isConfirmed(const CopyAgreement &agreement, const AgreementOptions &options, TimePoint now)
{
    return now < std::max(agreement.agreedAt, agreement.heardEqualAt) + options.confirmedFor;
}

// By the last answer, since between answers nothing is known.
inline bool isOutdated(const CopyAgreement &agreement, const AgreementOptions &options, TimePoint now)
{
    return now < agreement.answeredAt + options.answersCountFor
        && agreement.answeredAt > agreement.agreedAt + options.longestLag;
}

} // namespace Godwit
