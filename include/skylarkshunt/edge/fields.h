#ifndef SKYLARKSHUNT_EDGE_FIELDS_H_
#define SKYLARKSHUNT_EDGE_FIELDS_H_

#include "skylarkshunt/edge/messages.h"
#include "skylarkshunt/serial/cbor_array.h"

// Include only in .cc files of codecs: it brings in nlohmann/json.hpp.

namespace skylarkshunt {

/// Appends the fields of `message`, its type first. Thread-safe.
void WriteCallerMessage(const CallerMessage& message, CborArrayWriter& writer);
/// Reads what WriteCallerMessage() wrote; a misfit fails `reader`. Thread-safe.
CallerMessage ReadCallerMessage(CborArrayReader& reader);

/// Appends the fields of `answer`. Thread-safe.
void WriteAnswer(const Answer& answer, CborArrayWriter& writer);
/// Reads what WriteAnswer() wrote; a misfit fails `reader`. Thread-safe.
Answer ReadAnswer(CborArrayReader& reader);

}  // namespace skylarkshunt

#endif  // SKYLARKSHUNT_EDGE_FIELDS_H_
