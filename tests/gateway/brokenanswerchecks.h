#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "answers/brokenanswers.h"

/// What a gateway has to make of broken answers. The requests of callers are sent on the routes of GatewayFixture.
namespace brokenanswerchecks
{

/// Header fields of an endpoint's own answer.
inline const std::string Fields = "X-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n";

/// Shorter than the two seconds to which the routes limit a request.
constexpr std::chrono::milliseconds BeforeTimeout{ 1500 };

/// The callers of these paths, who upload this, are told that their requests may have run, as the answer is read.
void checkDoesNotReachTheCaller(const cowsliphead::brokenanswers::Answers &answers, const std::vector<std::string> &paths, const std::string &upload = {});

/// Another endpoint runs the request, with this upload, if it may be repeated, and only then.
void checkIsRepeatedOnlyIfAllowed(const cowsliphead::brokenanswers::Answers &answers, const std::string &upload = {});

/// A stream that has begun is broken off if the endpoint that continues it answers so.
void checkBreaksTheStreamOff(const cowsliphead::brokenanswers::Answers &answers);

/// A request whose prompt was to be read elsewhere runs without the KV cache.
void checkIsFollowedByARunWithoutCache(const cowsliphead::brokenanswers::Answers &answers);

} // namespace brokenanswerchecks
