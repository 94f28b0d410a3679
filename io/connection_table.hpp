// Purpose: connections of one HTTP port, and who has to go at a bound.
#ifndef FESCUEVANE_IO_CONNECTION_TABLE_HPP
#define FESCUEVANE_IO_CONNECTION_TABLE_HPP

#include "core/instant.hpp"
#include "io/http_limits.hpp"
#include "io/http_refusal.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace fescuevane::io
{

using connection_id = std::uint64_t;

enum class connection_phase : std::uint8_t
{
    draining, // refused
    idle,     // between requests
    headers,
    body,
    answering // the request was read whole
};

// Decides without I/O. Connections that are returned are to be closed; they
// leave the table by `remove`.
class connection_table
{
public:
    explicit connection_table(http_limits const& limits) : limits_(limits) {}

    void set_max_body_bytes(std::uint64_t bytes)
    {
        limits_.max_body_bytes_ = bytes;
    }

    // Adds a connection, or none when all places are taken by connections that
    // wait for their answers. `closed` gets the one that makes place: a refused
    // one, or the one that has been without a whole request for longest, first
    // of those that never sent one. Ordinary requests are read within
    // milliseconds, so it is seldom one of theirs.
    std::optional<connection_id> add(instant                     now,
                                     std::vector<connection_id>& closed);
    void                         remove(connection_id id);

    // The deadline of an idle connection, of which `received` bytes have come
    // in all: with more than before, a request is on its way and has to be read
    // by one more deadline. The library doesn't tell of the first byte.
    void note_idle(connection_id id, std::uint64_t received, instant now);
    // All headers were read; `announced` bytes of a body follow.
    std::optional<http_refusal> note_headers(connection_id id,
                                             std::uint64_t header_bytes,
                                             std::uint64_t announced,
                                             instant       now);
    // A part of a body. Where the sum of all bodies lacks room, `closed` gets
    // the connections whose bodies have been on their way for longest.
    std::optional<http_refusal> note_body(connection_id id, std::uint64_t bytes,
                                          std::vector<connection_id>& closed);
    void                        note_read(connection_id id, instant now);
    void note_answered(connection_id id, std::uint64_t received, instant now);
    // The connection was refused; what it still sends is dropped.
    void note_refused(connection_id id, instant now);

    std::vector<connection_id>      find_expired(instant now) const;
    instant                         next_deadline() const;
    std::optional<connection_phase> find_phase(connection_id id) const;
    std::size_t                     size() const { return rows_.size(); }
    std::uint64_t                   body_bytes() const { return body_sum_; }

private:
    struct row
    {
        connection_phase phase_ = connection_phase::idle;
        bool             completed_ = false; // a request, at least once
        instant          since_;             // without a whole request
        instant          deadline_ = instant::never();
        std::uint64_t    body_bytes_ = 0;
        std::uint64_t    received_ = 0; // when it became idle
    };

    // Refused ones first, then those that completed no request.
    using place = std::tuple<bool, bool, instant, connection_id>;

    static place make_place(connection_id id, row const& own);
    void         change(connection_id id, row const& own);

    http_limits                                 limits_;
    connection_id                               last_id_ = 0;
    std::uint64_t                               body_sum_ = 0;
    std::map<connection_id, row>                rows_;
    std::set<place>                             closable_;
    std::set<std::pair<instant, connection_id>> deadlines_;
    std::set<std::pair<instant, connection_id>> bodies_; // not read whole
};

} // namespace fescuevane::io

#endif
