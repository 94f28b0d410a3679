// Purpose: functions over one libsoup server message.
#ifndef FESCUEVANE_ENTRY_HTTP_MESSAGE_HPP
#define FESCUEVANE_ENTRY_HTTP_MESSAGE_HPP

#include "entry/http_call.hpp"

#include <libsoup/soup.h>
#include <cstdint>
#include <string>

namespace fescuevane::entry
{

struct http_reply;

// Decodes headers, query and body. Throws http_error.
http_call decode_call(SoupServerMessage* message, std::string const& argument);

// Throws http_error 415 when a body comes with a type other than JSON.
void check_content_type(SoupServerMessage* message);

void send_reply(SoupServerMessage* message, http_reply const& reply);

// Decodes one segment of a path. Throws http_error when it is no valid text.
std::string decode_segment(std::string const& segment);

} // namespace fescuevane::entry

#endif
