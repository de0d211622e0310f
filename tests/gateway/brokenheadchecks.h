#pragma once

#include <chrono>
#include <string>

#include "answers/brokenanswers.h"

/// What a gateway has to make of answers with a broken head. The requests of callers are sent on the routes of GatewayFixture.
namespace brokenheadchecks
{

/// Header fields of an endpoint's own answer.
inline const std::string Fields = "X-Attempt-Id: ID\r\nX-Response-Stamp: s\r\n";

/// Shorter than the two seconds to which the routes limit a request.
constexpr std::chrono::milliseconds BeforeTimeout{ 1500 };

/// The caller is told that its request may have run, as the answer is read.
void checkDoesNotReachTheCaller(const cowsliphead::brokenanswers::Answers &answers);

/// Another endpoint runs the request if it may be repeated, and only then.
void checkIsRepeatedOnlyIfAllowed(const cowsliphead::brokenanswers::Answers &answers);

/// A stream that has begun is broken off if the endpoint that continues it answers so.
void checkBreaksTheStreamOff(const cowsliphead::brokenanswers::Answers &answers);

/// A request whose prompt was to be read elsewhere runs without the KV cache.
void checkIsFollowedByARunWithoutCache(const cowsliphead::brokenanswers::Answers &answers);

} // namespace brokenheadchecks
