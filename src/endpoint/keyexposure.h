#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "http/httpheaders.h"

namespace cowsliphead
{

struct HttpRequest;

/// True for header fields that carry credentials and are never forwarded. Thread safety: any thread.
bool isCredentialField(const std::string &field);

/// The credentials in the credential fields except Cookie, for any authentication scheme: of each value the part after the first word, or the
/// whole value if it is a single word. Thread safety: any thread.
std::vector<std::string> collectCredentials(const HttpHeaders &headers);

/// True if the text contains one of the credentials or anything in the format of a generated API key, unencoded, percent-encoded or escaped
/// as in JSON. Thread safety: any thread.
bool containsCredential(std::string_view text, const std::vector<std::string> &credentials);

/// True if the path, query or body contains a credential, which would be forwarded to an endpoint. Thread safety: any thread.
bool exposesCredential(const HttpRequest &request);

} // namespace cowsliphead
