// Stand-ins for the platform's store, workers and clients, and a runner of
// `fescuevane cell` processes, for the scripts in review/6 to review/10. All of
// them live in one program with a thread for each connection, so that a case can
// decide about single calls and connections.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace harness
{

using nlohmann::json;
using steady = std::chrono::steady_clock;

// 1. Time and the record

inline steady::time_point const began = steady::now();

inline std::int64_t now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               steady::now() - began)
        .count();
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

// Waits until the condition holds. False when it doesn't in time.
template <typename Condition>
bool wait_until(std::int64_t ms, Condition const& holds)
{
    std::int64_t const end = now_ms() + ms;
    while (!holds())
    {
        if (now_ms() > end)
        {
            return false;
        }
        sleep_ms(5);
    }
    return true;
}

class record
{
public:
    static void open(std::string const& path) { file() = std::fopen(path.c_str(), "w"); }

    static void line(char const* format, ...) __attribute__((format(printf, 1, 2)))
    {
        static std::mutex mutex;
        std::lock_guard const lock(mutex);
        char    text[4000];
        va_list arguments;
        va_start(arguments, format);
        std::vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        for (FILE* const out : {file(), stdout})
        {
            if (out != nullptr)
            {
                std::fprintf(out, "%8.3f  %s\n", static_cast<double>(now_ms()) / 1000, text);
                std::fflush(out);
            }
        }
    }

private:
    static FILE*& file()
    {
        static FILE* opened = nullptr;
        return opened;
    }
};

// 2. HTTP server

struct request
{
    std::string                        method_;
    std::string                        path_;  // without the query
    std::map<std::string, std::string> query_;
    std::map<std::string, std::string> headers_; // names in lower case
    std::string                        body_;
    std::string                        caller_; // IP address
    int                                connection_ = 0;
    int                                listener_ = -1; // of the store
};

// What becomes of a call.
struct response
{
    enum class fate
    {
        answer,
        reset, // the connection ends without an answer
        silent // no answer, and nothing further on this connection
    };
    unsigned    status_ = 200;
    std::string body_ = "{}";
    fate        fate_ = fate::answer;
};

inline sockaddr_in make_address(std::string const& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline std::string decode_url(std::string const& text)
{
    std::string out;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] == '%' && at + 2 < text.size())
        {
            out += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        }
        else
        {
            out += text[at] == '+' ? ' ' : text[at];
        }
    }
    return out;
}

class server
{
public:
    using handler = std::function<response(request const&)>;

    // Port 0: a free one.
    server(std::string ip, int port, handler handle)
        : ip_(std::move(ip)), handle_(std::move(handle))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address = make_address(ip_, port);
        if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            listen(listener_, 256) != 0)
        {
            std::fprintf(stderr, "can't listen on %s:%d: %s\n", ip_.c_str(), port,
                         std::strerror(errno));
            std::exit(2);
        }
        socklen_t size = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept_all(); }).detach();
    }

    std::string address() const { return ip_ + ":" + std::to_string(port_); }

    // Resets all connections that are open now, of one caller or of all.
    void reset_all(std::string const& caller = "")
    {
        std::lock_guard const lock(mutex_);
        for (auto const& [fd, from] : open_)
        {
            if (caller.empty() || from == caller)
            {
                linger const hard{1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                ::shutdown(fd, SHUT_RDWR);
            }
        }
    }

    // Makes all connections that are open now go silent for good, of one caller
    // or of all: nothing that comes on them is seen, and nothing is sent.
    std::size_t silence_all(std::string const& caller = "")
    {
        std::lock_guard const lock(mutex_);
        std::size_t           count = 0;
        for (auto const& [fd, from] : open_)
        {
            if (caller.empty() || from == caller)
            {
                count += silent_.insert(fd).second ? 1 : 0;
            }
        }
        return count;
    }

private:
    bool is_silent(int fd)
    {
        std::lock_guard const lock(mutex_);
        return silent_.contains(fd);
    }

    void accept_all()
    {
        for (;;)
        {
            sockaddr_in from{};
            socklen_t   size = sizeof from;
            int const   fd = accept4(listener_, reinterpret_cast<sockaddr*>(&from), &size,
                                     SOCK_CLOEXEC);
            if (fd < 0)
            {
                sleep_ms(10);
                continue;
            }
            int const on = 1;
            setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            char text[64];
            inet_ntop(AF_INET, &from.sin_addr, text, sizeof text);
            std::string const caller = text;
            {
                std::lock_guard const lock(mutex_);
                open_[fd] = caller;
            }
            std::thread([this, fd, caller, number = ++connections_] { serve(fd, caller, number); })
                .detach();
        }
    }

    static bool read_request(int fd, std::string& buffer, request& into)
    {
        std::size_t end = 0;
        char        chunk[65536];
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
        {
            ssize_t const got = recv(fd, chunk, sizeof chunk, 0);
            if (got <= 0)
            {
                return false;
            }
            buffer.append(chunk, static_cast<std::size_t>(got));
        }
        std::string const head = buffer.substr(0, end);
        buffer.erase(0, end + 4);
        std::size_t const first = head.find("\r\n");
        std::string const start = head.substr(0, first);
        std::size_t const space = start.find(' ');
        std::size_t const last = start.rfind(' ');
        into.method_ = start.substr(0, space);
        std::string const target = start.substr(space + 1, last - space - 1);
        std::size_t const mark = target.find('?');
        into.path_ = decode_url(target.substr(0, mark));
        if (mark != std::string::npos)
        {
            std::string const query = target.substr(mark + 1);
            for (std::size_t at = 0; at < query.size();)
            {
                std::size_t const amp = std::min(query.find('&', at), query.size());
                std::string const pair = query.substr(at, amp - at);
                std::size_t const equals = pair.find('=');
                into.query_[pair.substr(0, equals)] =
                    equals == std::string::npos ? "" : decode_url(pair.substr(equals + 1));
                at = amp + 1;
            }
        }
        for (std::size_t at = first; at != std::string::npos && at < head.size();)
        {
            std::size_t const next = head.find("\r\n", at + 2);
            std::string const row =
                head.substr(at + 2, next == std::string::npos ? std::string::npos : next - at - 2);
            std::size_t const colon = row.find(':');
            if (colon != std::string::npos)
            {
                std::string name = row.substr(0, colon);
                std::transform(name.begin(), name.end(), name.begin(), ::tolower);
                std::size_t const value = row.find_first_not_of(' ', colon + 1);
                into.headers_[name] = value == std::string::npos ? "" : row.substr(value);
            }
            at = next;
        }
        auto const        length = into.headers_.find("content-length");
        std::size_t const wanted =
            length == into.headers_.end() ? 0 : std::stoul(length->second);
        while (buffer.size() < wanted)
        {
            ssize_t const got = recv(fd, chunk, sizeof chunk, 0);
            if (got <= 0)
            {
                return false;
            }
            buffer.append(chunk, static_cast<std::size_t>(got));
        }
        into.body_ = buffer.substr(0, wanted);
        buffer.erase(0, wanted);
        return true;
    }

    void serve(int fd, std::string const& caller, int number)
    {
        std::string buffer;
        for (;;)
        {
            request call;
            call.caller_ = caller;
            call.connection_ = number;
            if (!read_request(fd, buffer, call))
            {
                break;
            }
            if (is_silent(fd))
            {
                continue;
            }
            response const reply = handle_(call);
            if (is_silent(fd))
            {
                continue;
            }
            if (reply.fate_ == response::fate::reset)
            {
                linger const hard{1, 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
                break;
            }
            if (reply.fate_ == response::fate::silent)
            {
                // Reads on until the caller gives the connection up.
                char chunk[4096];
                while (recv(fd, chunk, sizeof chunk, 0) > 0)
                {
                }
                break;
            }
            std::string const text = "HTTP/1.1 " + std::to_string(reply.status_) +
                                     " X\r\nContent-Type: application/json\r\nContent-Length: " +
                                     std::to_string(reply.body_.size()) + "\r\n\r\n" + reply.body_;
            if (send(fd, text.data(), text.size(), MSG_NOSIGNAL) !=
                static_cast<ssize_t>(text.size()))
            {
                break;
            }
        }
        std::lock_guard const lock(mutex_);
        open_.erase(fd);
        silent_.erase(fd);
        close(fd);
    }

    std::string const          ip_;
    int                        port_ = 0;
    int                        listener_ = -1;
    handler const              handle_;
    std::atomic<int>           connections_{0};
    std::mutex                 mutex_;
    std::map<int, std::string> open_; // to the caller
    std::set<int>              silent_;
};

// 3. HTTP client. Status 0: no answer.

struct reply
{
    int         status_ = 0;
    std::string body_;
    std::string headers_;
};

inline reply call(std::string const& address, std::string const& method, std::string const& path,
                  std::string const& host, std::string const& key, std::string const& body,
                  int wait_ms)
{
    std::size_t const colon = address.rfind(':');
    int const         fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    sockaddr_in const to =
        make_address(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
    std::int64_t const end = now_ms() + wait_ms;
    reply              result;
    auto const         ready = [&](short what)
    {
        pollfd one{fd, what, 0};
        int const left = static_cast<int>(std::max<std::int64_t>(0, end - now_ms()));
        return poll(&one, 1, left) == 1;
    };
    connect(fd, reinterpret_cast<sockaddr const*>(&to), sizeof to);
    int       error = 0;
    socklen_t size = sizeof error;
    if (!ready(POLLOUT) || getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
    {
        close(fd);
        return result;
    }
    std::string const text =
        method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n" +
        (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") +
        "X-Fescuevane-Deadline-Ms: " + std::to_string(wait_ms) +
        "\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    std::size_t sent = 0;
    while (sent < text.size() && ready(POLLOUT))
    {
        ssize_t const put = send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (put <= 0)
        {
            break;
        }
        sent += static_cast<std::size_t>(put);
    }
    std::string all;
    char        chunk[8192];
    while (ready(POLLIN))
    {
        ssize_t const got = recv(fd, chunk, sizeof chunk, 0);
        if (got <= 0)
        {
            break;
        }
        all.append(chunk, static_cast<std::size_t>(got));
    }
    close(fd);
    std::size_t const head = all.find("\r\n\r\n");
    if (head != std::string::npos && all.rfind("HTTP/1.1 ", 0) == 0)
    {
        result.status_ = std::stoi(all.substr(9, 3));
        result.headers_ = all.substr(0, head);
        result.body_ = all.substr(head + 4);
    }
    return result;
}

// 4. Relay of connections. While it is cut, nothing passes and nothing is
// refused; what was sent meanwhile passes when it is healed.

class relay
{
public:
    relay(std::string const& ip, std::string target) : target_(std::move(target))
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = make_address(ip, 0);
        if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            listen(listener_, 256) != 0)
        {
            std::fprintf(stderr, "can't listen on %s\n", ip.c_str());
            std::exit(2);
        }
        socklen_t size = sizeof address;
        getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
        address_ = ip + ":" + std::to_string(ntohs(address.sin_port));
        std::thread([this] { accept_all(); }).detach();
    }
    std::string const& address() const { return address_; }
    void               set_cut(bool value) { cut_ = value; }
    // Connections that are open now carry nothing any more; new ones work.
    void silence_all() { ++generation_; }

private:
    void accept_all()
    {
        for (;;)
        {
            int const from = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (from < 0)
            {
                sleep_ms(10);
                continue;
            }
            std::thread([this, from] { carry(from); }).detach();
        }
    }

    void carry(int from)
    {
        while (cut_)
        {
            sleep_ms(5);
        }
        std::size_t const colon = target_.rfind(':');
        sockaddr_in const address =
            make_address(target_.substr(0, colon), std::stoi(target_.substr(colon + 1)));
        int const to = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int const on = 1;
        setsockopt(from, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        setsockopt(to, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        if (connect(to, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0)
        {
            close(from);
            close(to);
            return;
        }
        int const   generation = generation_;
        std::thread back([this, from, to, generation] { copy(to, from, generation); });
        copy(from, to, generation);
        back.join();
        close(from);
        close(to);
    }

    void copy(int in, int out, int generation)
    {
        char chunk[65536];
        for (;;)
        {
            ssize_t const got = recv(in, chunk, sizeof chunk, 0);
            while (cut_)
            {
                sleep_ms(5);
            }
            if (got <= 0)
            {
                break;
            }
            if (generation != generation_)
            {
                continue;
            }
            for (ssize_t sent = 0; sent < got;)
            {
                ssize_t const put =
                    send(out, chunk + sent, static_cast<std::size_t>(got - sent), MSG_NOSIGNAL);
                if (put <= 0)
                {
                    ::shutdown(in, SHUT_RDWR);
                    return;
                }
                sent += put;
            }
        }
        ::shutdown(out, SHUT_WR);
    }

    std::string const target_;
    std::string       address_;
    int               listener_ = -1;
    std::atomic<bool> cut_{false};
    std::atomic<int>  generation_{0};
};

// 5. The platform's store

inline std::string encode_base64(std::string const& bytes)
{
    static char const digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string       out;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        std::uint32_t word = 0;
        for (std::size_t k = 0; k < 3; ++k)
        {
            word = word << 8 | (at + k < bytes.size() ? static_cast<unsigned char>(bytes[at + k]) : 0);
        }
        for (std::size_t k = 0; k < 4; ++k)
        {
            out += at + k <= bytes.size() ? digits[word >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

inline std::string decode_base64(std::string const& text)
{
    std::string   out;
    std::uint32_t word = 0;
    int           bits = 0;
    for (char const c : text)
    {
        int const value = c >= 'A' && c <= 'Z'   ? c - 'A'
                          : c >= 'a' && c <= 'z' ? c - 'a' + 26
                          : c >= '0' && c <= '9' ? c - '0' + 52
                          : c == '+'             ? 62
                          : c == '/'             ? 63
                                                 : -1;
        if (value < 0)
        {
            continue;
        }
        word = word << 6 | static_cast<std::uint32_t>(value);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>(word >> bits & 255);
        }
    }
    return out;
}

class store
{
public:
    using place = std::tuple<std::string, std::string, std::string>; // table, part, key
    struct cell
    {
        std::string  value_; // base64
        std::int64_t version_ = 0;
    };
    // Decides about a call before anything is done. None: it is served.
    using gate = std::function<std::optional<response>(request const&)>;
    // Decides about the answer of a performed call, e.g. loses it.
    using filter = std::function<response(request const&, response const&)>;

    explicit store(std::string const& ip)
        : server_(ip, 0, [this](request const& call) { return serve(call); })
    {
    }

    std::string address() const { return server_.address(); }
    void        reset_all(std::string const& caller = "") { server_.reset_all(caller); }

    // A further address of the store, so that its callers can be told apart.
    std::size_t add_listener(std::string const& ip)
    {
        std::size_t const number = more_.size();
        more_.push_back(std::make_unique<server>(
            ip, 0,
            [this, number](request call)
            {
                call.listener_ = static_cast<int>(number);
                return view(number, serve(call));
            }));
        return number;
    }
    // Callers of the listener find one address in the rows in place of another,
    // so that their connections go through a relay.
    void set_relayed(std::size_t number, std::string const& address, std::string const& relay)
    {
        std::lock_guard const lock(hook_mutex_);
        relayed_[number][address] = relay;
    }
    server& listener(std::size_t number) { return *more_.at(number); }

    void set_gate(gate value)
    {
        std::lock_guard const lock(hook_mutex_);
        gate_ = std::move(value);
    }
    void set_filter(filter value)
    {
        std::lock_guard const lock(hook_mutex_);
        filter_ = std::move(value);
    }

    // Of the operator and of workers.
    void put(std::string const& table, std::string const& key, std::string const& text)
    {
        std::lock_guard const lock(mutex_);
        ++version_;
        rows_[{table, "", key}] = {encode_base64(text), version_};
        changes_.push_back({version_, {table, "", key}, rows_[{table, "", key}].value_, false});
        changed_.notify_all();
    }
    void remove(std::string const& table, std::string const& key)
    {
        std::lock_guard const lock(mutex_);
        if (rows_.erase({table, "", key}) > 0)
        {
            ++version_;
            changes_.push_back({version_, {table, "", key}, "", true});
            changed_.notify_all();
        }
    }
    // Decoded texts of the rows of a table, by key.
    std::map<std::string, std::string> list(std::string const& table)
    {
        std::lock_guard const              lock(mutex_);
        std::map<std::string, std::string> found;
        for (auto const& [at, row] : rows_)
        {
            if (std::get<0>(at) == table)
            {
                found[std::get<2>(at)] = decode_base64(row.value_);
            }
        }
        return found;
    }

private:
    struct change
    {
        std::int64_t version_ = 0;
        place        place_;
        std::string  value_;
        bool         removed_ = false;
    };

    response view(std::size_t number, response result)
    {
        std::map<std::string, std::string> relayed;
        {
            std::lock_guard const lock(hook_mutex_);
            relayed = relayed_[number];
        }
        if (relayed.empty() || result.fate_ != response::fate::answer)
        {
            return result;
        }
        json body = json::parse(result.body_, nullptr, false);
        if (!body.is_object() || !body.contains("rows"))
        {
            return result;
        }
        for (json& row : body["rows"])
        {
            std::string const table = row.value("table", "");
            if (!row.contains("value") || (table != "member" && table != "servers"))
            {
                continue;
            }
            json value = json::parse(decode_base64(row["value"]), nullptr, false);
            for (char const* const name : {"address", "addr"})
            {
                if (value.is_object() && value.contains(name) && relayed.contains(value[name]))
                {
                    value[name] = relayed[value[name]];
                    row["value"] = encode_base64(value.dump());
                }
            }
        }
        result.body_ = body.dump();
        return result;
    }

    response serve(request const& call)
    {
        gate   before;
        filter after;
        {
            std::lock_guard const lock(hook_mutex_);
            before = gate_;
            after = filter_;
        }
        if (before)
        {
            if (auto const decided = before(call))
            {
                return *decided;
            }
        }
        response result{404, "{}"};
        if (call.path_ == "/rows-tx")
        {
            sleep_ms(8);
            result = transact(json::parse(call.body_));
        }
        else if (call.path_ == "/rows-get")
        {
            sleep_ms(4);
            result = read(call);
        }
        else if (call.path_ == "/rows-feed")
        {
            result = feed(call);
        }
        {
            std::lock_guard const lock(hook_mutex_);
            after = filter_;
        }
        return after ? after(call, result) : result;
    }

    static json write_row(place const& at, cell const& row)
    {
        return {{"table", std::get<0>(at)},
                {"part", std::get<1>(at)},
                {"key", std::get<2>(at)},
                {"value", row.value_},
                {"ver", row.version_}};
    }
    static place read_place(json const& row)
    {
        return {row.at("table").get<std::string>(), row.value("part", ""),
                row.at("key").get<std::string>()};
    }
    json finish(json rows) const
    {
        return {{"rows", std::move(rows)}, {"ver", version_}, {"nowMs", now_ms()}};
    }

    response transact(json const& body)
    {
        std::lock_guard const lock(mutex_);
        bool                  holds = true;
        json                  current = json::array();
        for (json const& condition : body.value("expectedRev", json::array()))
        {
            place const at = read_place(condition);
            auto const  found = rows_.find(at);
            holds = holds && condition.at("ver").get<std::int64_t>() ==
                                 (found == rows_.end() ? 0 : found->second.version_);
            if (found != rows_.end())
            {
                current.push_back(write_row(at, found->second));
            }
        }
        if (!holds)
        {
            return {412, finish(std::move(current)).dump()};
        }
        ++version_;
        for (json const& row : body.value("writes", json::array()))
        {
            place const at = read_place(row);
            rows_[at] = {row.at("value").get<std::string>(), version_};
            changes_.push_back({version_, at, rows_[at].value_, false});
        }
        for (json const& row : body.value("remove", json::array()))
        {
            place const at = read_place(row);
            if (rows_.erase(at) > 0)
            {
                changes_.push_back({version_, at, "", true});
            }
        }
        changed_.notify_all();
        return {200, finish(json::array()).dump()};
    }

    response read(request const& call)
    {
        auto const text = [&call](char const* name)
        {
            auto const found = call.query_.find(name);
            return found == call.query_.end() ? std::string() : found->second;
        };
        std::lock_guard const lock(mutex_);
        std::string const     table = text("table");
        std::string const     part = text("part");
        std::string const     end = text("target");
        std::size_t const     most =
            text("limit").empty() ? 500 : std::min<std::size_t>(500, std::stoul(text("limit")));
        json rows = json::array();
        bool truncated = false;
        for (auto row = rows_.lower_bound({table, part, text("from")});
             row != rows_.end() && std::get<0>(row->first) == table &&
             std::get<1>(row->first) == part && (end.empty() || std::get<2>(row->first) < end);
             ++row)
        {
            if (rows.size() == most)
            {
                truncated = true;
                break;
            }
            rows.push_back(write_row(row->first, row->second));
        }
        json body = finish(std::move(rows));
        body["truncated"] = truncated;
        return {200, body.dump()};
    }

    response feed(request const& call)
    {
        std::string const  table = call.query_.at("table");
        std::int64_t const after = std::stoll(call.query_.at("after"));
        std::int64_t const wait = std::stoll(call.query_.at("waitMs"));
        std::unique_lock   lock(mutex_);
        auto const         end = steady::now() + std::chrono::milliseconds(wait);
        for (;;)
        {
            json rows = json::array();
            for (change const& one : changes_)
            {
                if (one.version_ <= after || std::get<0>(one.place_) != table)
                {
                    continue;
                }
                json row = write_row(one.place_, {one.value_, one.version_});
                if (one.removed_)
                {
                    row.erase("value");
                    row["tombstone"] = true;
                }
                rows.push_back(std::move(row));
            }
            if (!rows.empty() || changed_.wait_until(lock, end) == std::cv_status::timeout)
            {
                return {200, finish(std::move(rows)).dump()};
            }
        }
    }

    std::mutex              hook_mutex_;
    gate                    gate_;
    filter                  filter_;
    std::map<std::size_t, std::map<std::string, std::string>> relayed_;
    std::mutex              mutex_;
    std::condition_variable changed_;
    std::map<place, cell>   rows_;
    std::deque<change>      changes_;
    std::int64_t            version_ = 0;
    std::vector<std::unique_ptr<server>> more_;
    server                  server_;
};

// 6. Workers

// What a worker was told, and what ran there.
struct run_event
{
    std::int64_t at_ms_ = 0;
    std::string  worker_;
    std::string  what_; // start, or how a run ended
    std::string  task_;
    std::int64_t run_ = 0;
    std::int64_t fence_ = 0;
};

class run_log
{
public:
    void add(run_event event)
    {
        std::lock_guard const lock(mutex_);
        record::line("worker %s: %s %s run %lld fence %lld", event.worker_.c_str(),
                     event.what_.c_str(), event.task_.c_str(), static_cast<long long>(event.run_),
                     static_cast<long long>(event.fence_));
        events_.push_back(std::move(event));
    }
    std::vector<run_event> list() const
    {
        std::lock_guard const lock(mutex_);
        return events_;
    }

private:
    mutable std::mutex     mutex_;
    std::vector<run_event> events_;
};

// Runs tasks under leases. The text of a job says how long its tasks work:
// "work 1500" or "work forever".
class worker
{
public:
    // Decides about a call before, or after, it takes effect.
    using gate = std::function<std::optional<response>(request const&)>;
    using filter = std::function<response(request const&, response const&)>;

    worker(std::string const& ip, std::string id, std::string zone, std::string rack,
           std::int64_t cpu, store& platform, run_log& log, std::string kind = "standard")
        : id_(std::move(id))
        , kind_(std::move(kind))
        , zone_(std::move(zone))
        , rack_(std::move(rack))
        , cpu_(cpu)
        , platform_(platform)
        , log_(log)
        , born_(unix_ms())
        , born_at_(steady::now())
        , server_(ip, 0, [this](request const& call) { return serve(call); })
    {
        std::thread([this] { report(); }).detach();
        std::thread([this] { advance(); }).detach();
    }

    std::string const& id() const { return id_; }
    std::string        address() const { return server_.address(); }
    void               reset_all() { server_.reset_all(); }
    void               drain() { draining_ = true; write_entry(); }
    void               set_gate(gate value)
    {
        std::lock_guard const lock(hook_mutex_);
        gate_ = std::move(value);
    }
    void set_filter(filter value)
    {
        std::lock_guard const lock(hook_mutex_);
        filter_ = std::move(value);
    }
    // The process of the worker ends with all that it runs. After the pause it
    // starts again under its id, maybe as one of another kind, and registers.
    void crash(std::int64_t pause_ms, std::string const& kind, std::int64_t entry_ms = 0)
    {
        {
            std::lock_guard const lock(mutex_);
            down_ = true;
            std::vector<std::string> tasks;
            for (auto const& [task, run] : running_)
            {
                tasks.push_back(task);
            }
            for (std::string const& task : tasks)
            {
                end(task, "crashed");
            }
            ends_.clear();
            over_.clear();
            last_end_ = 0;
            fence_ = 0;
            lease_ms_ = 0;
        }
        server_.reset_all();
        sleep_ms(pause_ms);
        {
            std::lock_guard const lock(mutex_);
            born_ = unix_ms();
            born_at_ = steady::now();
            kind_ = kind;
            down_ = false;
        }
        record::line("worker %s: starts again, kind %s", id_.c_str(), kind.c_str());
        sleep_ms(entry_ms);
        write_entry();
        record::line("worker %s: its new entry is stored", id_.c_str());
    }
    std::size_t count_ends()
    {
        std::lock_guard const lock(mutex_);
        return ends_.size();
    }
    std::vector<std::string> list_running()
    {
        std::lock_guard const    lock(mutex_);
        std::vector<std::string> names;
        for (auto const& [task, run] : running_)
        {
            names.push_back(task);
        }
        return names;
    }

private:
    struct running
    {
        std::int64_t run_ = 0;
        std::int64_t began_ms_ = 0;
        std::int64_t work_ms_ = 0; // -1: for ever
        std::int64_t stops_at_ms_ = -1;
    };

    std::int64_t clock_ms() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(steady::now() - born_at_)
            .count();
    }

    response serve(request const& call)
    {
        gate   before;
        filter after;
        {
            std::lock_guard const lock(hook_mutex_);
            before = gate_;
            after = filter_;
        }
        if (before)
        {
            if (auto const decided = before(call))
            {
                return *decided;
            }
        }
        if (down_)
        {
            return {0, "", response::fate::reset};
        }
        auto const instance = call.headers_.find("x-fescuevane-expected-instance");
        if (instance != call.headers_.end() && instance->second != id_)
        {
            return {421, "{}"};
        }
        json const body = json::parse(call.body_);
        response   result{404, "{}"};
        if (call.path_ == "/run-start")
        {
            result = start(body);
        }
        else if (call.path_ == "/run-stop")
        {
            result = stop(body);
        }
        else if (call.path_ == "/hold")
        {
            result = hold(body);
        }
        else if (call.path_ == "/pace")
        {
            result = {200, clock().dump()};
        }
        return after ? after(call, result) : result;
    }

    json clock() const { return {{"clockMs", clock_ms()}, {"born", born_}}; }

    response refuse(char const* reason) const
    {
        json body = clock();
        body["reason"] = reason;
        return {409, body.dump()};
    }

    void extend(json const& body)
    {
        std::int64_t const wanted =
            std::min(body.value("deadlineMs", std::int64_t{0}), clock_ms() + 6000);
        lease_ms_ = std::max(lease_ms_, wanted);
    }

    bool take_fence(json const& body)
    {
        std::int64_t const fence = body.value("fence", std::int64_t{0});
        if (fence < fence_)
        {
            return false;
        }
        fence_ = fence;
        return true;
    }

    response start(json const& body)
    {
        std::lock_guard const lock(mutex_);
        if (!take_fence(body))
        {
            return refuse("fence");
        }
        std::string const  task = body.at("task");
        std::int64_t const run = body.at("run");
        auto const         there = running_.find(task);
        if (there != running_.end() && there->second.run_ == run)
        {
            extend(body);
            return {200, clock().dump()};
        }
        if (body.at("deadlineMs").get<std::int64_t>() <= clock_ms())
        {
            return refuse("late");
        }
        extend(body);
        auto const ended = over_.find(task);
        if ((ended != over_.end() && run <= ended->second) || there != running_.end())
        {
            return refuse("old");
        }
        std::string const text = body.value("taskSpec", "");
        running           fresh{run, now_ms(), 1000, -1};
        if (text.rfind("work ", 0) == 0)
        {
            fresh.work_ms_ = text == "work forever" ? -1 : std::stoll(text.substr(5));
        }
        running_[task] = fresh;
        log_.add({now_ms(), id_, "start", task, run, fence_});
        return {200, clock().dump()};
    }

    response stop(json const& body)
    {
        std::lock_guard const lock(mutex_);
        if (!take_fence(body))
        {
            return refuse("fence");
        }
        std::string const  task = body.at("task");
        std::int64_t const run = body.at("run");
        over_[task] = std::max(over_[task], run);
        auto const there = running_.find(task);
        if (there != running_.end() && there->second.run_ <= run && there->second.stops_at_ms_ < 0)
        {
            there->second.stops_at_ms_ = now_ms() + 100;
        }
        return {200, clock().dump()};
    }

    response hold(json const& body)
    {
        std::unique_lock lock(mutex_);
        if (!take_fence(body))
        {
            return refuse("fence");
        }
        extend(body);
        std::int64_t const seen = body.value("lastSeen", std::int64_t{0});
        while (!ends_.empty() && ends_.front().at(0).get<std::int64_t>() <= seen)
        {
            ends_.pop_front();
        }
        std::int64_t const wait = std::min<std::int64_t>(2000, body.value("waitMs", 0));
        ended_.wait_for(lock, std::chrono::milliseconds(wait), [this] { return !ends_.empty(); });
        json reply = clock();
        reply["running"] = json::array();
        for (auto const& [task, run] : running_)
        {
            std::int64_t const percent =
                run.work_ms_ <= 0 ? 100
                                  : std::min<std::int64_t>(
                                        99, (now_ms() - run.began_ms_) * 100 / run.work_ms_);
            reply["running"].push_back({task, run.run_, "", percent, 100});
        }
        reply["terminated"] = json::array();
        for (json const& end : ends_)
        {
            if (reply["terminated"].size() < 500)
            {
                reply["terminated"].push_back(end);
            }
        }
        return {200, reply.dump()};
    }

    void end(std::string const& task, char const* how)
    {
        running const run = running_.at(task);
        running_.erase(task);
        over_[task] = std::max(over_[task], run.run_);
        ends_.push_back(json::array({++last_end_, task, run.run_, how, ""}));
        log_.add({now_ms(), id_, how, task, run.run_, fence_});
        ended_.notify_all();
    }

    void advance()
    {
        for (;;)
        {
            sleep_ms(5);
            std::lock_guard const                            lock(mutex_);
            std::vector<std::pair<std::string, char const*>> over;
            for (auto const& [task, run] : running_)
            {
                if (clock_ms() > lease_ms_)
                {
                    over.emplace_back(task, "lapsed");
                }
                else if (run.stops_at_ms_ >= 0 && run.stops_at_ms_ <= now_ms())
                {
                    over.emplace_back(task, "stopped");
                }
                else if (run.work_ms_ >= 0 && run.began_ms_ + run.work_ms_ <= now_ms())
                {
                    over.emplace_back(task, "done");
                }
            }
            for (auto const& [task, how] : over)
            {
                end(task, how);
            }
        }
    }

    void write_entry()
    {
        std::unique_lock lock(mutex_);
        json             entry{{"service", "desk"},
                   {"addr", address()},
                   {"zone", zone_},
                   {"version", "1"},
                   {"slots", 8},
                   {"state", draining_ ? "draining" : "ready"},
                   {"coldRemainingMs", 0},
                   {"seq", ++seq_},
                   {"machine", "m-" + id_},
                   {"born", born_},
                   {"labels", {kind_, rack_}},
                   {"capacity", {{"cpu", cpu_}, {"memMb", 65536}, {"gpu", 0}}}};
        if (draining_)
        {
            entry["remainingMs"] = 5000;
        }
        lock.unlock();
        platform_.put("servers", id_, entry.dump());
    }

    void report()
    {
        for (;;)
        {
            if (!down_)
            {
                write_entry();
            }
            sleep_ms(1500);
        }
    }

    std::string const              id_;
    std::string                    kind_;
    std::string const              zone_;
    std::string const              rack_;
    std::int64_t const             cpu_;
    store&                         platform_;
    run_log&                       log_;
    std::int64_t                   born_;
    steady::time_point             born_at_;
    std::atomic<bool>              down_{false};
    std::mutex                     hook_mutex_;
    gate                           gate_;
    filter                         filter_;
    std::mutex                     mutex_;
    std::condition_variable        ended_;
    std::map<std::string, running> running_;
    std::map<std::string, std::int64_t> over_; // highest run that ended or was stopped
    std::deque<json>               ends_;
    std::int64_t                   last_end_ = 0;
    std::int64_t                   fence_ = 0;
    std::int64_t                   lease_ms_ = 0;
    std::atomic<std::int64_t>      seq_{0};
    std::atomic<bool>              draining_{false};
    server                         server_;
};

// 7. Processes of the cell

inline int find_free_port(std::string const& ip, int count)
{
    // The kernel's choice, with some consecutive ports that are free as well.
    for (int attempt = 0; attempt < 200; ++attempt)
    {
        std::vector<int> held;
        int              first = 0;
        bool             all = true;
        for (int k = 0; k < count && all; ++k)
        {
            int const   fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
            sockaddr_in address = make_address(ip, first == 0 ? 0 : first + k);
            held.push_back(fd);
            all = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
            if (all && first == 0)
            {
                socklen_t size = sizeof address;
                getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
                first = ntohs(address.sin_port);
            }
        }
        for (int const fd : held)
        {
            close(fd);
        }
        if (all && first < 64000)
        {
            return first;
        }
    }
    std::fprintf(stderr, "no free ports on %s\n", ip.c_str());
    std::exit(2);
}

struct host_options
{
    std::string              name_;
    std::string              ip_;
    std::string              zone_;
    std::vector<std::string> zones_;
    std::string              store_;      // address
    std::string              policy_ = ""; // address
};

class host
{
public:
    host(host_options options, std::string folder)
        : options_(std::move(options)), folder_(std::move(folder))
    {
        int const port = find_free_port(options_.ip_, 6);
        peer_ = options_.ip_ + ":" + std::to_string(port);
        front_ = options_.ip_ + ":" + std::to_string(port + 4);
        ready_ = options_.ip_ + ":" + std::to_string(port + 5);
        std::string zones;
        for (std::string const& zone : options_.zones_)
        {
            zones += (zones.empty() ? "" : ",") + json(zone).dump();
        }
        // deploy/settings.yaml.in, filled in with the figures of siphona-amman.
        std::ofstream(settings()) << "host: " << json(options_.name_).dump()
                                  << "\naddress: " << json(options_.ip_).dump()
                                  << "\nfailure_domain: " << json(options_.zone_).dump()
                                  << "\nfailure_domains: [" << zones << "]\nfront: "
                                  << json(front_).dump() << "\nready: " << json(ready_).dump()
                                  << "\nfirst_port: " << port << "\ncpu_share: 0.25\nstore: "
                                  << json(options_.store_).dump() << "\nrow_bytes: 65536"
                                  << "\npolicy_service: " << json(options_.policy_).dump()
                                  << "\nmachines: \"\"\nmax_lease_ms: 6000\nearly_start_ms: 250"
                                  << "\nremote_rack_factor: 3\nstop_grace_s: 6\n";
    }
    host(host const&) = delete;
    ~host() { end(); }

    std::string const& front() const { return front_; }
    std::string const& peer() const { return peer_; }
    std::string const& name() const { return options_.name_; }
    std::string        log_path() const { return folder_ + "/" + options_.name_ + ".log"; }

    void start()
    {
        pid_ = fork();
        if (pid_ == 0)
        {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // it never outlives this program
            int const log = ::open(log_path().c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            setenv("GSETTINGS_BACKEND", "memory", 1);
            setenv("GIO_USE_PROXY_RESOLVER", "dummy", 1);
            std::string const program = "target/bin/fescuevane";
            std::string const file = settings();
            execl(program.c_str(), program.c_str(), "cell", "--settings", file.c_str(),
                  static_cast<char*>(nullptr));
            std::_Exit(127);
        }
        record::line("process %s starts, pid %d", options_.name_.c_str(), static_cast<int>(pid_));
    }
    void signal(int number)
    {
        if (pid_ > 0)
        {
            record::line("process %s gets signal %d", options_.name_.c_str(), number);
            kill(pid_, number);
        }
    }
    // True when it has ended within the time.
    bool wait(std::int64_t ms)
    {
        bool const gone = wait_until(ms, [this] { return !is_running(); });
        return gone;
    }
    bool is_running()
    {
        if (pid_ <= 0)
        {
            return false;
        }
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_)
        {
            record::line("process %s ended, %s %d", options_.name_.c_str(),
                         WIFSIGNALED(status) ? "signal" : "code",
                         WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
            pid_ = -1;
        }
        return pid_ > 0;
    }
    bool is_ready()
    {
        return call(ready_, "GET", "/readiness", "x", "", "", 300).status_ == 200;
    }
    void end()
    {
        if (is_running())
        {
            kill(pid_, SIGCONT);
            kill(pid_, SIGKILL);
            wait(2000);
        }
    }
    // Lines of its log that hold the text.
    int count_log(std::string const& text) const
    {
        std::ifstream file(log_path());
        std::string   line;
        int           count = 0;
        while (std::getline(file, line))
        {
            count += line.find(text) != std::string::npos ? 1 : 0;
        }
        return count;
    }

private:
    std::string settings() const { return folder_ + "/" + options_.name_ + ".yaml"; }

    host_options const options_;
    std::string const  folder_;
    std::string        peer_;
    std::string        front_;
    std::string        ready_;
    pid_t              pid_ = -1;
};

// 8. The operator

inline json make_config(int version, json const& more_routes = json::array(), std::int64_t limit = 0)
{
    json routes = json::array({{{"name", "main"},
                                {"host", "desk.example"},
                                {"prefix", "/jobs/"},
                                {"service", "desk"},
                                {"priority", 0},
                                {"maxAttempts", 3},
                                {"slackFactor", 4},
                                {"sloMs", 3000}}});
    for (json const& route : more_routes)
    {
        routes.push_back(route);
    }
    json tenant{{"name", "cafe"}, {"weight", 5}, {"apiKeys", {"key-cafe"}}};
    if (limit > 0)
    {
        tenant["upperBound"] = {{"cpu", limit}, {"memMb", 0}, {"gpu", 0}};
    }
    return {{"version", version},
            {"routes", routes},
            {"services", {{{"name", "desk"}, {"enforcesCapacity", false}}}},
            {"tenants", json::array({tenant})},
            {"limits", {{"maxBodyBytes", 262144}}}};
}

inline json make_job(std::string const& text, int count, std::int64_t cpu)
{
    return {{"taskSpec", text},
            {"steps", json::array({{{"count", count}, {"cpu", cpu}, {"memMb", 64}, {"estimateMs", 1000}}})}};
}

inline bool is_trouble()
{
    char const* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

// A folder for settings and logs, removed by `finish` unless KEEP is set.
class temporary_folder
{
public:
    temporary_folder()
    {
        char name[] = "/tmp/fescuevane-review-XXXXXX";
        if (mkdtemp(name) == nullptr)
        {
            std::exit(2);
        }
        made() = name;
    }
    std::string const& path() const { return made(); }
    static void        remove()
    {
        if (!made().empty() && std::getenv("KEEP") == nullptr)
        {
            std::error_code ignored;
            std::filesystem::remove_all(made(), ignored);
        }
    }

private:
    static std::string& made()
    {
        static std::string path;
        return path;
    }
};

// Ends the processes and this program. The threads of the stand-ins still run,
// so nothing that they use may be destroyed.
[[noreturn]] inline void finish(std::vector<std::unique_ptr<host>>& hosts, int code)
{
    for (auto& one : hosts)
    {
        one->end();
    }
    temporary_folder::remove();
    std::fflush(nullptr);
    std::_Exit(code);
}

} // namespace harness
