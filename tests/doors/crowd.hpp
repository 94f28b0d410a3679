// Purpose: clients that send what no ordinary client sends.
#ifndef FESCUEVANE_TESTS_DOORS_CROWD_HPP
#define FESCUEVANE_TESTS_DOORS_CROWD_HPP

#include <cstddef>
#include <string>
#include <vector>

namespace fescuevane::doors
{

// What each connection sends: the head once, then the unit again and again,
// each by a call of its own.
struct flood
{
    std::string const head_;
    std::string const unit_;
    std::size_t const units_ = 0;
    std::size_t const connections_ = 0;
};

// Connections that stay open until the crowd ends. Nothing is read.
class crowd
{
public:
    // Sends until all is sent, each connection was closed by the process, or it
    // takes nothing more.
    crowd(std::string const& address, flood const& sent);
    ~crowd();
    crowd(crowd const&) = delete;
    crowd& operator=(crowd const&) = delete;

private:
    struct sender
    {
        int         socket_ = -1;
        std::size_t unit_ = 0; // 0: the head
        std::size_t offset_ = 0;
    };

    bool advance(sender& own, flood const& sent);

    std::vector<sender> senders_;
};

int connect_to(std::string const& address); // -1 when it fails

// Status of one request on a new connection; 0 when there was no answer.
int request(std::string const& address, std::string const& text);

} // namespace fescuevane::doors

#endif
