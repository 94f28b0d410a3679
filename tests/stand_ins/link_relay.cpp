// Purpose: relays TCP links.
//
// Index of sections
//   1. Listening
//   2. Connections
//   3. Control
#include "tests/stand_ins/link_relay.hpp"

#include <algorithm>
#include <array>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string_view>

namespace fescuevane::stand_ins
{
namespace
{

// 1. Listening

// Data of the callbacks of one service; `link_` has no value for the control.
struct service_data
{
    link_relay* const                relay_;
    std::optional<std::size_t> const link_;
};

gboolean accept_incoming(GSocketService* /*service*/,
                         GSocketConnection* connection, GObject* /*source*/,
                         gpointer           data)
{
    auto const& service = *static_cast<service_data*>(data);
    if (service.link_)
    {
        service.relay_->accept_link(*service.link_, connection);
    }
    else
    {
        service.relay_->accept_control(connection);
    }
    return TRUE;
}

void free_service_data(gpointer data, GClosure* /*closure*/)
{
    delete static_cast<service_data*>(data);
}

std::string take_message(GError* error)
{
    std::string message = error->message;
    g_error_free(error);
    return message;
}

void listen_on(GSocketService* service, std::string const& address)
{
    std::size_t const colon = address.rfind(':');
    if (colon == std::string::npos)
    {
        throw std::runtime_error("an address is IP:PORT, not " + address);
    }
    GSocketAddress* const socket_address =
        g_inet_socket_address_new_from_string(
            address.substr(0, colon).c_str(),
            static_cast<guint>(std::stoul(address.substr(colon + 1))));
    if (socket_address == nullptr)
    {
        throw std::runtime_error("an address is IP:PORT, not " + address);
    }
    GError* error = nullptr;
    g_socket_listener_add_address(G_SOCKET_LISTENER(service), socket_address,
                                  G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP,
                                  nullptr, nullptr, &error);
    g_object_unref(socket_address);
    if (error != nullptr)
    {
        throw std::runtime_error("can't listen on " + address + ": " +
                                 take_message(error));
    }
}

GSocketService* start_service(std::string const&  address,
                              service_data const& data)
{
    GSocketService* const service = g_socket_service_new();
    listen_on(service, address);
    g_signal_connect_data(service, "incoming", G_CALLBACK(&accept_incoming),
                          new service_data(data), &free_service_data,
                          GConnectFlags(0));
    g_socket_service_start(service);
    return service;
}

} // namespace

link_relay::link_relay(std::vector<link> const& links,
                       std::string const&       control)
    : links_(links)
{
    for (std::size_t i = 0; i < links_.size(); ++i)
    {
        link_group_.push_back(find_or_append_group(groups_, links_[i].group_));
        services_.push_back(start_service(links_[i].listen_, {this, i}));
    }
    services_.push_back(start_service(control, {this, std::nullopt}));
}

link_relay::~link_relay()
{
    for (GSocketService* service : services_)
    {
        g_socket_service_stop(service);
        g_socket_listener_close(G_SOCKET_LISTENER(service));
        g_object_unref(service);
    }
    for (auto const& [link, connection] : waiting_)
    {
        g_object_unref(connection);
    }
}

// 2. Connections

namespace
{

// A connection whose far side is being opened.
struct opening
{
    link_relay* const                                 relay_;
    GSocketConnection* const                          near_;
    std::function<void(GSocketConnection* far)> const opened_;
};

void finish_opening(GObject* client, GAsyncResult* result, gpointer data)
{
    std::unique_ptr<opening> const state(static_cast<opening*>(data));
    GSocketConnection* const       far = g_socket_client_connect_finish(
              G_SOCKET_CLIENT(client), result, nullptr);
    if (far != nullptr)
    {
        state->opened_(far);
        g_object_unref(far);
    }
    else
    {
        g_io_stream_close(G_IO_STREAM(state->near_), nullptr, nullptr);
    }
    g_object_unref(state->near_);
}

} // namespace

void link_relay::accept_link(std::size_t link, GSocketConnection* connection)
{
    g_object_ref(connection);
    if (groups_.cut_[link_group_[link]] != 0)
    {
        waiting_.emplace_back(link, connection);
        return;
    }
    forward(link, connection);
}

void link_relay::forward(std::size_t link, GSocketConnection* connection)
{
    GSocketClient* const client = g_socket_client_new();
    g_socket_client_set_enable_proxy(client, FALSE);
    if (!links_[link].source_.empty())
    {
        GSocketAddress* const source = g_inet_socket_address_new_from_string(
            links_[link].source_.c_str(), 0);
        g_socket_client_set_local_address(client, source);
        g_object_unref(source);
    }
    auto* const state =
        new opening{this, connection,
                    [this, link, connection](GSocketConnection* far)
                    {
                        add_connection(link, connection, far);
                    }};
    g_socket_client_connect_to_host_async(client, links_[link].forward_.c_str(),
                                          0, nullptr, &finish_opening, state);
    g_object_unref(client);
}

void link_relay::add_connection(std::size_t link, GSocketConnection* near,
                                GSocketConnection* far)
{
    std::uint64_t const id = ++last_connection_;
    connections_.emplace(id, std::make_unique<relay_connection>(
                                 near, far, groups_, link_group_[link],
                                 [this, id]
                                 {
                                     connections_.erase(id);
                                 }));
}

void link_relay::update_group(std::size_t group)
{
    for (auto const& [id, connection] : connections_)
    {
        if (connection->group() == group)
        {
            connection->update();
        }
    }
    if (groups_.cut_[group] != 0)
    {
        return;
    }
    for (auto const& [link, connection] : std::exchange(waiting_, {}))
    {
        if (link_group_[link] == group)
        {
            forward(link, connection);
        }
        else
        {
            waiting_.emplace_back(link, connection);
        }
    }
}

void link_relay::reset_group(std::size_t group)
{
    std::erase_if(connections_,
                  [group](auto const& entry)
                  {
                      return entry.second->group() == group;
                  });
    std::erase_if(waiting_,
                  [this, group](waiting_connection const& waiting)
                  {
                      if (link_group_[waiting.first] != group)
                      {
                          return false;
                      }
                      g_io_stream_close(G_IO_STREAM(waiting.second), nullptr,
                                        nullptr);
                      g_object_unref(waiting.second);
                      return true;
                  });
}

// 3. Control

namespace
{

struct relay_command
{
    std::string_view const name_;
    bool const             has_amount_;
    void (*const apply_)(group_table&, std::size_t group, std::int64_t amount);
};

void cut_group(group_table& groups, std::size_t group, std::int64_t /*amount*/)
{
    groups.cut_[group] = cut_outward | cut_inward;
}

void cut_group_outward(group_table& groups, std::size_t group,
                       std::int64_t /*amount*/)
{
    groups.cut_[group] = cut_outward;
}

void cut_group_inward(group_table& groups, std::size_t group,
                      std::int64_t /*amount*/)
{
    groups.cut_[group] = cut_inward;
}

void heal_group(group_table& groups, std::size_t group, std::int64_t /*amount*/)
{
    groups.cut_[group] = 0;
}

void delay_group(group_table& groups, std::size_t group, std::int64_t amount)
{
    groups.delay_[group] = amount;
}

void keep_group(group_table& /*groups*/, std::size_t /*group*/,
                std::int64_t /*amount*/)
{
}

constexpr std::array<relay_command, 6> relay_commands = {{
    {"cut", false, &cut_group},
    {"cut-out", false, &cut_group_outward},
    {"cut-in", false, &cut_group_inward},
    {"heal", false, &heal_group},
    {"delay", true, &delay_group},
    {"reset", false, &keep_group},
}};

} // namespace

std::string link_relay::run_command(std::string const& line)
{
    std::istringstream words(line);
    std::string        name;
    std::string        group;
    std::int64_t       amount = 0;
    words >> name >> group;
    auto const command =
        std::find_if(relay_commands.begin(), relay_commands.end(),
                     [&name](relay_command const& each)
                     {
                         return each.name_ == name;
                     });
    if (command == relay_commands.end())
    {
        return "error unknown command";
    }
    if (command->has_amount_ && (!(words >> amount) || amount < 0))
    {
        return "error expected microseconds";
    }
    std::vector<std::size_t> rows;
    std::istringstream       names(group);
    while (std::getline(names, group, ','))
    {
        auto const row = groups_.index_.find(group);
        if (!row)
        {
            return "error unknown group";
        }
        rows.push_back(*row);
    }
    for (std::size_t const row : rows)
    {
        command->apply_(groups_, row, amount);
        if (name == "reset")
        {
            reset_group(row);
        }
        update_group(row);
    }
    return rows.empty() ? "error unknown group" : "ok";
}

namespace
{

// One control connection; lines are answered in order.
struct control_session
{
    link_relay* const        relay_;
    GSocketConnection* const connection_;
    GDataInputStream* const  lines_;
};

void end_session(control_session* session)
{
    g_io_stream_close(G_IO_STREAM(session->connection_), nullptr, nullptr);
    g_object_unref(session->lines_);
    g_object_unref(session->connection_);
    delete session;
}

void read_command(control_session* session);

// Answers are a few bytes, which the socket's buffer takes at once.
bool answer_command(control_session* session, std::string const& answer)
{
    GOutputStream* const output =
        g_io_stream_get_output_stream(G_IO_STREAM(session->connection_));
    return g_output_stream_write_all(output, answer.data(), answer.size(),
                                     nullptr, nullptr, nullptr) != FALSE;
}

void finish_command(GObject* lines, GAsyncResult* result, gpointer data)
{
    auto* const session = static_cast<control_session*>(data);
    char* const line = g_data_input_stream_read_line_finish(
        G_DATA_INPUT_STREAM(lines), result, nullptr, nullptr);
    if (line == nullptr)
    {
        end_session(session);
        return;
    }
    std::string const command = line;
    g_free(line);
    if (!answer_command(session, session->relay_->run_command(command) + "\n"))
    {
        end_session(session);
        return;
    }
    read_command(session);
}

void read_command(control_session* session)
{
    g_data_input_stream_read_line_async(session->lines_, G_PRIORITY_DEFAULT,
                                        nullptr, &finish_command, session);
}

} // namespace

void link_relay::accept_control(GSocketConnection* connection)
{
    GInputStream* const input =
        g_io_stream_get_input_stream(G_IO_STREAM(connection));
    read_command(
        new control_session{this, G_SOCKET_CONNECTION(g_object_ref(connection)),
                            g_data_input_stream_new(input)});
}

} // namespace fescuevane::stand_ins
