// Purpose: codecs between the values of core, decide and state and the
// messages of the protocols in wire/proto. Encoding never fails; decoding
// checks each field and throws `decode_error`.
//
// Index of sections
//   1. Protocols
//   2. Bounds and errors
#ifndef FESCUEVANE_WIRE_WIRE_HPP
#define FESCUEVANE_WIRE_WIRE_HPP

// 1. Protocols
#include "wire/peer_codec.hpp"     // job results, shards, job keys
#include "wire/platform_codec.hpp" // reads and commits of table rows
#include "wire/target_codec.hpp"   // commands to targets, task states back

// 2. Bounds and errors
#include "wire/bounds.hpp"       // largest sizes and amounts of fields
#include "wire/decode_error.hpp" // names the field that is malformed

#endif
