// Purpose: values of a cell to and from messages between hosts.
#ifndef FESCUEVANE_PEER_PEER_CODEC_HPP
#define FESCUEVANE_PEER_PEER_CODEC_HPP

#include "core/instant.hpp"

#include <cstdint>

namespace fescuevane::cell
{
struct advice_reply;
struct heartbeat;
struct job_answer;
struct job_call;
struct send_question;
namespace v1
{
class AdviceAnswer;
class AdviceCall;
class Heartbeat;
class JobAnswer;
class JobCall;
} // namespace v1
} // namespace fescuevane::cell

namespace fescuevane::peer
{

// Deadlines travel as the time that is left, since clocks of hosts differ.
// Decoding throws `peer_error` for values that can't be.
cell::v1::Heartbeat  encode_heartbeat(cell::heartbeat const& beat);
cell::heartbeat      decode_heartbeat(cell::v1::Heartbeat const& message);
cell::v1::JobCall    encode_call(cell::job_call const& call, instant now);
cell::job_call       decode_call(cell::v1::JobCall const& message, instant now);
cell::v1::JobAnswer  encode_answer(cell::job_answer const& answer);
cell::job_answer     decode_answer(cell::v1::JobAnswer const& message);
cell::v1::AdviceCall encode_question(cell::send_question const& question,
                                     instant                    now);
cell::send_question  decode_question(cell::v1::AdviceCall const& message,
                                     instant                     now);
cell::v1::AdviceAnswer encode_advice(cell::advice_reply const& answer);
cell::advice_reply     decode_advice(std::uint64_t                 request,
                                     cell::v1::AdviceAnswer const& message);

} // namespace fescuevane::peer

#endif
