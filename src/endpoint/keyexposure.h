#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "http/httpheaders.h"

namespace cowsliphead
{

struct HttpRequest;

/// True if the field carries credentials of the caller and is never passed on. Thread safety: any thread.
bool isCredentialField(const std::string &field);

/// What the credential fields carry, whatever the scheme: the values, and what follows the first word of each. Thread safety: any thread.
std::vector<std::string> callerCredentials(const HttpHeaders &headers);

/// True if the text holds one of the credentials or anything in the form of a created key, as it stands or behind percent
/// encoding or JSON's escapes. Thread safety: any thread.
bool holdsCredential(std::string_view text, const std::vector<std::string> &credentials);

/// True if path, query or body hold a credential, so that an endpoint would see it. Thread safety: any thread.
bool exposesCredential(const HttpRequest &request);

} // namespace cowsliphead
