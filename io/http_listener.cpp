// Purpose: an HTTP server whose clients hold no more than its limits allow.
//
// Index of sections
//   1. State
//   2. Connections
//   3. Requests
//   4. Listener
#include "io/http_listener.hpp"

#include "io/connection_activity.hpp"
#include "io/connection_table.hpp"
#include "io/main_loop.hpp"
#include "io/socket_acceptor.hpp"
#include "io/timer.hpp"

#include <gio/gio.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <array>
#include <cstring>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace fescuevane::io
{
namespace
{

constexpr std::int64_t log_gap_micros = micros_per_second;

constexpr char const* place_key = "fescuevane-place"; // of an address
constexpr char const* body_key = "fescuevane-body";   // of a message

struct refusal_answer
{
    unsigned    status_;
    char const* reason_;
};

// In the order of `http_refusal`; status 0: closed without an answer. 504 where
// the same request may succeed later: an earlier attempt of its id may have
// stored the job, so it can't be told that it never runs.
constexpr std::array<refusal_answer, http_refusal_count> refusal_answers = {{
    {431, "Request Header Fields Too Large"},
    {413, "Payload Too Large"},
    {504, "Gateway Timeout"},
    {504, "Gateway Timeout"},
    {0, ""},
}};

// The library doesn't notice that a client closed a connection which served a
// request, and keeps it, but it frees those that end with an answer. When it
// keeps this multiple of the places, answers close their connections.
constexpr std::size_t kept_factor = 2;

// Of requests on closed connections; never written.
constexpr unsigned closed_status = 503;

} // namespace

// 1. State

struct http_listener::state : std::enable_shared_from_this<state>
{
    struct open_connection
    {
        socket_ptr         socket_;
        SoupServerMessage* message_ = nullptr; // of which the headers were read
    };

    // Of one connection, known by the address of its client.
    struct place
    {
        std::weak_ptr<state> const own_;
        connection_id const        id_;
    };

    state(http_limits const& limits, http_listener_handlers handlers)
        : handlers_(std::move(handlers))
        , max_kept_(kept_factor * limits.max_connections_)
        , table_(limits)
        , expiry_(
              [this]
              {
                  expire();
              })
        , acceptor_(
              [this](socket_ptr socket)
              {
                  accept(std::move(socket));
              })
    {
    }

    static void on_closed(void* place, GObject* connection);
    static void on_started(SoupServer* server, SoupServerMessage* message,
                           void* own);
    static void on_early(SoupServer* server, SoupServerMessage* message,
                         char const* path, GHashTable* query, void* own);
    static void on_read(SoupServer* server, SoupServerMessage* message,
                        void* own);
    static void on_over(SoupServer* server, SoupServerMessage* message,
                        void* own);
    static void on_chunk(SoupServerMessage* message, GBytes* chunk, void* own);
    static std::optional<connection_id> find_id(SoupServerMessage* message);

    void          accept(socket_ptr socket);
    void          close(connection_id id, http_refusal reason);
    void          end(connection_id id);
    void          refuse(SoupServerMessage* message, connection_id id,
                         http_refusal reason);
    void          write_refusal(connection_id id, http_refusal reason);
    void          count(http_refusal reason);
    void          expire();
    void          arm();
    std::uint64_t count_received(connection_id id) const;

    http_listener_handlers                   handlers_;
    std::size_t const                        max_kept_;
    std::size_t                              kept_ = 0; // by the library
    connection_table                         table_;
    std::map<connection_id, open_connection> open_;
    SoupServer*                              server_ = nullptr;
    instant         armed_ = instant::never(); // the timer
    timer           expiry_;
    socket_acceptor acceptor_;
    instant         log_after_;
    std::uint64_t   unlogged_ = 0;
};

// 2. Connections

void http_listener::state::accept(socket_ptr socket)
{
    std::vector<connection_id> closed;
    auto const                 id = table_.add(read_clock(), closed);
    for (connection_id const old : closed)
    {
        close(old, http_refusal::no_place);
    }
    if (!id)
    {
        count(http_refusal::no_place);
        return;
    }
    arm();
    // The library writes head and body of an answer apart; without this option
    // the body waits for the client's delayed acknowledgement, about 40 ms.
    g_socket_set_option(socket.get(), IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
    GSocketAddress* local = g_socket_get_local_address(socket.get(), nullptr);
    GSocketAddress* remote = g_socket_get_remote_address(socket.get(), nullptr);
    GSocketConnection* const connection =
        g_socket_connection_factory_create_connection(socket.get());
    open_.emplace(*id, open_connection{.socket_ = std::move(socket)});
    ++kept_;
    g_object_weak_ref(G_OBJECT(connection), &on_closed,
                      new place{weak_from_this(), *id});
    // A client that is gone already has no remote address.
    if (local != nullptr && remote != nullptr)
    {
        g_object_set_data_full(G_OBJECT(remote), place_key,
                               new place{weak_from_this(), *id},
                               [](void* data)
                               {
                                   delete static_cast<place*>(data);
                               });
        soup_server_accept_iostream(server_, G_IO_STREAM(connection), local,
                                    remote, nullptr);
    }
    g_clear_object(&local);
    g_clear_object(&remote);
    g_object_unref(connection);
}

void http_listener::state::on_closed(void* data, GObject* /*connection*/)
{
    std::unique_ptr<place> const at(static_cast<place*>(data));
    if (auto const own = at->own_.lock())
    {
        --own->kept_;
        own->table_.remove(at->id_);
        own->open_.erase(at->id_);
        own->arm();
    }
}

void http_listener::state::close(connection_id id, http_refusal reason)
{
    count(reason);
    write_refusal(id, reason);
    end(id);
}

// The library sees the end of the connection once it has read what the system
// still holds. That may complete the request: a status keeps it from the
// handlers.
void http_listener::state::end(connection_id id)
{
    auto const phase = table_.find_phase(id);
    bool const answering = phase == connection_phase::answering;
    table_.remove(id);
    auto const found = open_.find(id);
    if (found == open_.end())
    {
        return;
    }
    if (found->second.message_ != nullptr && !answering)
    {
        soup_server_message_set_status(found->second.message_, closed_status,
                                       nullptr);
    }
    g_socket_shutdown(found->second.socket_.get(), TRUE, TRUE, nullptr);
    // The library doesn't always notice the end of a connection that was used.
    if (phase == connection_phase::idle)
    {
        g_socket_close(found->second.socket_.get(), nullptr);
    }
    open_.erase(found);
}

// The library has written nothing since the last answer, so the refusal can go
// to the socket at once, before the rest of the request was read.
void http_listener::state::write_refusal(connection_id id, http_refusal reason)
{
    auto const            found = open_.find(id);
    refusal_answer const& answer =
        refusal_answers.at(static_cast<std::size_t>(reason));
    auto const phase = table_.find_phase(id);
    if (found == open_.end() || answer.status_ == 0 ||
        (phase != connection_phase::headers && phase != connection_phase::body))
    {
        return;
    }
    std::string const body =
        handlers_.write_body_(answer.status_, answer.reason_);
    std::string const text =
        "HTTP/1.1 " + std::to_string(answer.status_) + " " + answer.reason_ +
        "\r\nConnection: close\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    g_socket_send(found->second.socket_.get(), text.data(), text.size(),
                  nullptr, nullptr);
    g_socket_shutdown(found->second.socket_.get(), FALSE, TRUE, nullptr);
}

void http_listener::state::count(http_refusal reason)
{
    handlers_.refused_(reason);
    ++unlogged_;
    instant const now = read_clock();
    if (now >= log_after_)
    {
        log_after_ = now.after(log_gap_micros);
        handlers_.log_(reason, std::exchange(unlogged_, 0));
    }
}

void http_listener::state::expire()
{
    instant const now = read_clock();
    armed_ = instant::never();
    for (connection_id const id : table_.find_expired(now))
    {
        if (table_.find_phase(id) == connection_phase::idle)
        {
            table_.note_idle(id, count_received(id), now);
            continue;
        }
        if (table_.find_phase(id) == connection_phase::draining)
        {
            end(id); // was counted when it was refused
            continue;
        }
        close(id, http_refusal::too_slow);
    }
    arm();
}

std::uint64_t http_listener::state::count_received(connection_id id) const
{
    auto const found = open_.find(id);
    return found == open_.end()
               ? 0
               : read_activity(g_socket_get_fd(found->second.socket_.get()))
                     .received_bytes_;
}

void http_listener::state::arm()
{
    // A timer that fires too early costs less than one that is set again with
    // each request: deadlines mostly move to later times.
    instant const next = table_.next_deadline();
    if (next < armed_)
    {
        armed_ = next;
        expiry_.arm(next);
    }
}

// 3. Requests

std::optional<connection_id>
http_listener::state::find_id(SoupServerMessage* message)
{
    GSocketAddress* const address =
        soup_server_message_get_remote_address(message);
    auto const* const at = address == nullptr
                               ? nullptr
                               : static_cast<place*>(g_object_get_data(
                                     G_OBJECT(address), place_key));
    return at == nullptr ? std::nullopt : std::optional(at->id_);
}

// Before the headers. The library answers requests whose target it can't give a
// handler without the early one, but reads their bodies, too. Its list of parts
// takes a hundred times the size of a body that arrives byte by byte.
void http_listener::state::on_started(SoupServer* /*server*/,
                                      SoupServerMessage* message, void* /*own*/)
{
    soup_message_body_set_accumulate(
        soup_server_message_get_request_body(message), FALSE);
}

// After the headers, before the body.
void http_listener::state::on_early(SoupServer* /*server*/,
                                    SoupServerMessage* message,
                                    char const* /*path*/, GHashTable* /*query*/,
                                    void* own)
{
    auto&      self = *static_cast<state*>(own);
    auto const id = find_id(message);
    auto const found = id ? self.open_.find(*id) : self.open_.end();
    if (found == self.open_.end())
    {
        soup_server_message_set_status(message, closed_status, nullptr);
        return;
    }
    found->second.message_ = message;
    if (self.handlers_.max_body_bytes_)
    {
        self.table_.set_max_body_bytes(self.handlers_.max_body_bytes_());
    }
    SoupMessageHeaders* const headers =
        soup_server_message_get_request_headers(message);
    bool const announced = soup_message_headers_get_encoding(headers) ==
                           SOUP_ENCODING_CONTENT_LENGTH;
    auto const refusal = self.table_.note_headers(
        *id, count_header_bytes(message),
        announced ? static_cast<std::uint64_t>(
                        soup_message_headers_get_content_length(headers))
                  : 0,
        read_clock());
    self.arm();
    if (refusal)
    {
        self.refuse(message, *id, *refusal);
        return;
    }
    g_signal_connect(message, "got-chunk", G_CALLBACK(&on_chunk), own);
}

void http_listener::state::on_chunk(SoupServerMessage* message, GBytes* chunk,
                                    void* own)
{
    auto&      self = *static_cast<state*>(own);
    auto const id = find_id(message);
    if (!id || self.table_.find_phase(*id) != connection_phase::body)
    {
        return;
    }
    std::vector<connection_id> closed;
    auto const                 refusal =
        self.table_.note_body(*id, g_bytes_get_size(chunk), closed);
    for (connection_id const other : closed)
    {
        self.close(other, http_refusal::no_memory);
    }
    if (refusal)
    {
        self.refuse(message, *id, *refusal);
        return;
    }
    auto* body = static_cast<std::string*>(
        g_object_get_data(G_OBJECT(message), body_key));
    if (body == nullptr)
    {
        body = new std::string;
        g_object_set_data_full(G_OBJECT(message), body_key, body,
                               [](void* data)
                               {
                                   delete static_cast<std::string*>(data);
                               });
    }
    gsize             size = 0;
    void const* const data = g_bytes_get_data(chunk, &size);
    body->append(static_cast<char const*>(data), size);
}

// What the client still sends is read and dropped until the deadline, so that
// it can read the refusal. A status keeps the message from the handlers.
void http_listener::state::refuse(SoupServerMessage* message, connection_id id,
                                  http_refusal reason)
{
    count(reason);
    write_refusal(id, reason);
    table_.note_refused(id, read_clock());
    arm();
    g_object_set_data(G_OBJECT(message), body_key, nullptr);
    soup_server_message_set_status(
        message, refusal_answers.at(static_cast<std::size_t>(reason)).status_,
        nullptr);
}

void http_listener::state::on_read(SoupServer* /*server*/,
                                   SoupServerMessage* message, void* own)
{
    auto& self = *static_cast<state*>(own);
    if (auto const id = find_id(message))
    {
        self.table_.note_read(*id, read_clock());
        self.arm();
    }
    if (self.kept_ > self.max_kept_)
    {
        soup_message_headers_replace(
            soup_server_message_get_response_headers(message), "Connection",
            "close");
    }
}

void http_listener::state::on_over(SoupServer* /*server*/,
                                   SoupServerMessage* message, void* own)
{
    auto& self = *static_cast<state*>(own);
    if (auto const id = find_id(message))
    {
        auto const found = self.open_.find(*id);
        if (found != self.open_.end())
        {
            found->second.message_ = nullptr;
        }
        self.table_.note_answered(*id, self.count_received(*id), read_clock());
        self.arm();
    }
}

// 4. Listener

http_listener::http_listener(SoupServer* server, http_limits const& limits,
                             http_listener_handlers handlers)
    : state_(std::make_shared<state>(limits, std::move(handlers)))
{
    state_->server_ = server;
    g_signal_connect(state_->server_, "request-started",
                     G_CALLBACK(&state::on_started), state_.get());
    soup_server_add_early_handler(state_->server_, nullptr, &state::on_early,
                                  state_.get(), nullptr);
    g_signal_connect(state_->server_, "request-read",
                     G_CALLBACK(&state::on_read), state_.get());
    g_signal_connect(state_->server_, "request-finished",
                     G_CALLBACK(&state::on_over), state_.get());
    g_signal_connect(state_->server_, "request-aborted",
                     G_CALLBACK(&state::on_over), state_.get());
}

http_listener::~http_listener()
{
    stop_listening();
    g_signal_handlers_disconnect_by_data(state_->server_, state_.get());
    g_object_unref(state_->server_);
}

void http_listener::listen(std::string const& address)
{
    state_->acceptor_.listen(address);
    // The library keeps connections open only while it has a listening socket.
    // It watches this one in a context that never runs, so it accepts none.
    GMainContext* const unused = g_main_context_new();
    g_main_context_push_thread_default(unused);
    soup_server_listen_socket(state_->server_, state_->acceptor_.socket(),
                              SoupServerListenOptions(0), nullptr);
    g_main_context_pop_thread_default(unused);
    g_main_context_unref(unused);
}

SoupServer* http_listener::server() const
{
    return state_->server_;
}

std::uint16_t http_listener::port() const
{
    return state_->acceptor_.port();
}

void http_listener::stop_listening()
{
    state_->acceptor_.stop();
    soup_server_disconnect(state_->server_);
}

std::size_t http_listener::connections() const
{
    return state_->table_.size();
}

GSocket* http_listener::find_socket(SoupServerMessage* message)
{
    GSocketAddress* const address =
        soup_server_message_get_remote_address(message);
    auto const* const at = address == nullptr
                               ? nullptr
                               : static_cast<state::place*>(g_object_get_data(
                                     G_OBJECT(address), place_key));
    auto const        own = at == nullptr ? nullptr : at->own_.lock();
    if (own == nullptr)
    {
        return nullptr;
    }
    auto const found = own->open_.find(at->id_);
    return found == own->open_.end() ? nullptr : found->second.socket_.get();
}

std::string http_listener::take_body(SoupServerMessage* message)
{
    auto* const body = static_cast<std::string*>(
        g_object_get_data(G_OBJECT(message), body_key));
    return body == nullptr ? std::string() : std::exchange(*body, {});
}

std::size_t count_header_bytes(SoupServerMessage* message)
{
    constexpr std::size_t separator_bytes = 4; // ": " and the end of the line
    std::size_t           size = 0;
    soup_message_headers_foreach(
        soup_server_message_get_request_headers(message),
        [](char const* name, char const* value, void* sum)
        {
            *static_cast<std::size_t*>(sum) +=
                std::strlen(name) + std::strlen(value) + separator_bytes;
        },
        &size);
    return size;
}

} // namespace fescuevane::io
